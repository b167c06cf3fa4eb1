/**
 * A task owns its sockets and its state and handles messages one at a time.
 * Nothing outside reads its state: to query it, send a message that carries a reply function.
 */

import type { Deadline } from '@bamboowell/types/time';
import type { Alarm, Clock } from './clock.js';
import {
  DEFAULT_MAILBOX_CAPACITY,
  Mailbox,
  type MailboxAddress,
  type PostResult,
} from './mailbox.js';

type Phase = 'idle' | 'open' | 'stopped';

/** Called once with the error that ended the task. */
export type FailureListener = (error: unknown) => void;

export abstract class Task<Message> implements MailboxAddress<Message> {
  private readonly mailbox: Mailbox<Message>;
  private phase: Phase = 'idle';
  private draining: Promise<void> | undefined;
  private released = false;
  private onFailure: FailureListener = () => undefined;
  private readonly alarms = new Set<Alarm>();

  constructor(
    readonly name: string,
    protected readonly clock: Clock,
    capacity: number = DEFAULT_MAILBOX_CAPACITY,
  ) {
    this.mailbox = new Mailbox<Message>(capacity);
  }

  /** Handles one message. The next one waits until the returned promise settles. */
  protected abstract receive(message: Message): Promise<void> | void;

  /** Acquires sockets and timers. Runs before the first message. */
  protected onStart(): Promise<void> | void {
    return undefined;
  }

  /** Releases what `onStart` acquired. Runs after the last message, also after a failure. */
  protected onStop(): Promise<void> | void {
    return undefined;
  }

  async start(onFailure: FailureListener = () => undefined): Promise<void> {
    this.onFailure = onFailure;
    await this.onStart();
    this.phase = 'open';
    this.wake();
  }

  /** Accepts no further messages, handles those in the mailbox, then releases the resources. */
  async stop(): Promise<void> {
    if (this.phase === 'stopped') {
      return;
    }
    this.phase = 'stopped';
    await this.draining;
    await this.drain();
    await this.release();
  }

  post(message: Message): PostResult {
    if (this.phase === 'stopped') {
      return 'stopped';
    }
    if (!this.mailbox.push(message)) {
      return 'full';
    }
    this.wake();
    return 'accepted';
  }

  /** Posts the message to this task when the deadline has passed. */
  protected postAt(deadline: Deadline, message: Message): Alarm {
    const alarm = this.clock.wakeAt(deadline, () => {
      this.alarms.delete(alarm);
      this.post(message);
    });
    this.alarms.add(alarm);
    return {
      cancel: () => {
        this.alarms.delete(alarm);
        alarm.cancel();
      },
    };
  }

  private wake(): void {
    if (this.phase !== 'open' || this.draining !== undefined) {
      return;
    }
    this.draining = Promise.resolve()
      .then(() => this.drain())
      .finally(() => {
        this.draining = undefined;
        if (this.mailbox.size > 0) {
          this.wake();
        }
      });
  }

  private async drain(): Promise<void> {
    for (
      let message = this.mailbox.shift();
      message !== undefined;
      message = this.mailbox.shift()
    ) {
      try {
        await this.receive(message);
      } catch (error) {
        await this.fail(error);
        return;
      }
    }
  }

  private async fail(error: unknown): Promise<void> {
    this.phase = 'stopped';
    await this.release();
    this.onFailure(error);
  }

  private async release(): Promise<void> {
    if (this.released) {
      return;
    }
    this.released = true;
    for (const alarm of this.alarms) {
      alarm.cancel();
    }
    this.alarms.clear();
    await this.onStop();
  }
}
