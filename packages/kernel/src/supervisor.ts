/** Restarts tasks that fail, within a limit. */

import { deadlineAfter, hasPassed, type Deadline } from '@bamboowell/types/time';
import type { Clock } from './clock.js';
import type { MailboxAddress, PostResult } from './mailbox.js';
import type { Task } from './task.js';

/** A task that fails more often than this within the window is not restarted any more. */
export const MAX_RESTARTS = 5;
export const RESTART_WINDOW_MILLIS = 10_000;

/** Is notified when a supervised task fails. */
export interface Watcher {
  /** The task failed and is restarted. The messages in its mailbox are lost. */
  restarted(task: string, error: unknown): void;
  /** The task failed too often and is not restarted. */
  gaveUp(task: string, error: unknown): void;
}

/**
 * A task with a stable address that is replaced by a new instance after each failure.
 *
 * `isLasting` selects messages, such as subscriptions, that apply for as long as the address
 * exists: each new instance receives them again.
 */
export class SupervisedTask<Message> implements MailboxAddress<Message> {
  private current: Task<Message> | undefined;
  /** For each recent failure, until when it counts. */
  private failures: Deadline[] = [];
  private stopping = false;
  /** Accepted messages that every new instance receives again, in order. */
  private readonly lasting: Message[] = [];

  constructor(
    private readonly createTask: () => Task<Message>,
    private readonly clock: Clock,
    private readonly watcher: Watcher,
    private readonly isLasting: (message: Message) => boolean = () => false,
  ) {}

  async start(): Promise<void> {
    const task = this.createTask();
    this.current = task;
    for (const message of this.lasting) {
      task.post(message);
    }
    await task.start((error) => {
      this.handleFailure(task.name, error);
    });
  }

  async stop(): Promise<void> {
    this.stopping = true;
    await this.current?.stop();
  }

  post(message: Message): PostResult {
    const posted = this.current?.post(message) ?? 'stopped';
    if (posted === 'accepted' && this.isLasting(message)) {
      this.lasting.push(message);
    }
    return posted;
  }

  private handleFailure(name: string, error: unknown): void {
    this.current = undefined;
    if (this.stopping) {
      return;
    }
    if (this.hasFailedTooOften()) {
      this.watcher.gaveUp(name, error);
      return;
    }
    this.watcher.restarted(name, error);
    this.start().catch((failure: unknown) => {
      this.handleFailure(name, failure);
    });
  }

  /**
   * Records this failure. Returns whether there are now more than `MAX_RESTARTS` within the window.
   */
  private hasFailedTooOften(): boolean {
    const now = this.clock.now();
    this.failures = this.failures.filter((until) => !hasPassed(until, now));
    this.failures.push(deadlineAfter(now, RESTART_WINDOW_MILLIS));
    return this.failures.length > MAX_RESTARTS;
  }
}
