/** Restarts tasks that fail, within a limit. */

import { deadlineAfter, hasPassed, type Deadline } from '@bamboowell/types/time';
import type { Clock } from './clock.js';
import type { MailboxAddress, PostResult } from './mailbox.js';
import type { Task } from './task.js';

/** More failures than this within the window end the supervised task for good. */
export const MAX_RESTARTS = 5;
export const RESTART_WINDOW_MILLIS = 10_000;

export interface Watcher {
  /** The task failed and runs again. Messages that its mailbox held are gone. */
  restarted(task: string, error: unknown): void;
  /** The task failed too often and stays down. */
  gaveUp(task: string, error: unknown): void;
}

/**
 * A task with a stable address, made anew after each failure.
 *
 * `isLasting` names messages, such as subscriptions, that hold for as long as the address does: a
 * task that is made anew gets them again.
 */
export class SupervisedTask<Message> implements MailboxAddress<Message> {
  private current: Task<Message> | undefined;
  private failures: Deadline[] = [];
  private stopping = false;
  /** Accepted messages that every later task gets again, in order. */
  private readonly lasting: Message[] = [];

  constructor(
    private readonly make: () => Task<Message>,
    private readonly clock: Clock,
    private readonly watcher: Watcher,
    private readonly isLasting: (message: Message) => boolean = () => false,
  ) {}

  async start(): Promise<void> {
    const task = this.make();
    this.current = task;
    for (const message of this.lasting) {
      task.post(message);
    }
    await task.start((error) => {
      this.failed(task.name, error);
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

  private failed(name: string, error: unknown): void {
    this.current = undefined;
    if (this.stopping) {
      return;
    }
    if (this.isAtLimit()) {
      this.watcher.gaveUp(name, error);
      return;
    }
    this.watcher.restarted(name, error);
    this.start().catch((failure: unknown) => {
      this.failed(name, failure);
    });
  }

  /** Counts this failure; whether the window already held the most allowed. */
  private isAtLimit(): boolean {
    const now = this.clock.now();
    this.failures = this.failures.filter((until) => !hasPassed(until, now));
    this.failures.push(deadlineAfter(now, RESTART_WINDOW_MILLIS));
    return this.failures.length > MAX_RESTARTS;
  }
}
