/** Sends the appends of a stream task, one at a time. */

import { match } from 'ts-pattern';
import type { Alarm, Clock } from '@bamboowell/kernel/clock';
import type { Sequence, StreamName } from '@bamboowell/types/ids';
import type { Deadline, Instant } from '@bamboowell/types/time';
import { AdaptiveTimeout } from './adaptive-timeout.js';
import type { AppendPace } from './append-pace.js';
import { AppendQueue, type Stamp } from './append-queue.js';
import type { Backoff } from './backoff.js';
import type { EncodedRecord } from './entry-format.js';
import type { LogAppendResult, Log } from './log.js';
import type { Self } from './self.js';

/** Messages that the loop posts to its task. */
export type AppendLoopMessage =
  | { readonly kind: 'send_due' }
  | {
      readonly kind: 'append_answered';
      readonly append: number;
      readonly sentAt: Instant;
      readonly appended: LogAppendResult;
    };

export interface AppendCounts {
  readonly appends: number;
  readonly retries: number;
  readonly appendedBytes: number;
  readonly queued: number;
  readonly latencyMillis: number;
}

export class AppendLoop {
  private readonly queue = new AppendQueue();
  private readonly timeout = new AdaptiveTimeout();
  /** Number of the latest append; answers to earlier ones are ignored. */
  private append = 0;
  private isAnswerAwaited = false;
  private sendAlarm: Alarm | undefined;
  private retries = 0;
  private bytes = 0;

  constructor(
    private readonly stream: StreamName,
    private readonly log: Log,
    private readonly clock: Clock,
    private readonly pace: AppendPace,
    private readonly backoff: Backoff,
    private readonly self: Self<AppendLoopMessage>,
  ) {}

  /** Whether a checkpoint is still being written. */
  get isWritingCheckpoint(): boolean {
    return this.queue.hasCheckpointParts;
  }

  counts(): AppendCounts {
    return {
      appends: this.append,
      retries: this.retries,
      appendedBytes: this.bytes,
      queued: this.queue.size,
      latencyMillis: this.pace.latencyMillis,
    };
  }

  /** Queues records. Returns those that are too long or for which the queue has no room. */
  add(records: readonly EncodedRecord[]): EncodedRecord[] {
    const rejected = records.filter((record) => !this.queue.add(record));
    this.scheduleSend();
    return rejected;
  }

  addCheckpointParts(parts: readonly EncodedRecord[]): void {
    this.queue.addCheckpointParts(parts);
    this.scheduleSend();
  }

  /** Removes a queued record that is not in flight. Returns whether it was found. */
  withdraw(sequence: Sequence): boolean {
    return this.queue.withdraw(sequence);
  }

  receive(message: AppendLoopMessage): void {
    match(message)
      .with({ kind: 'send_due' }, () => {
        this.send();
      })
      .with({ kind: 'append_answered' }, ({ append, sentAt, appended }) => {
        if (append === this.append && this.isAnswerAwaited) {
          this.handleAnswer(appended, sentAt);
        }
      })
      .exhaustive();
  }

  /**
   * Records what was read back. Once all records in flight are, neither an answer nor a retry is
   * needed.
   */
  readBack(stamps: readonly Stamp[]): void {
    if (!this.queue.readBack(stamps)) {
      return;
    }
    this.isAnswerAwaited = false;
    this.backoff.succeeded();
    this.sendAlarm?.cancel();
    this.sendAlarm = undefined;
    this.scheduleSend();
  }

  /** Schedules the next append, not before `notBefore`. */
  private scheduleSend(notBefore?: Deadline): void {
    if (this.isAnswerAwaited || this.sendAlarm !== undefined || !this.queue.hasWork) {
      return;
    }
    const due = this.pace.nextSend(this.clock.now());
    const at = notBefore === undefined || due > notBefore ? due : notBefore;
    this.sendAlarm = this.self.postAt(at, { kind: 'send_due' });
  }

  private send(): void {
    this.sendAlarm = undefined;
    const body = this.isAnswerAwaited ? undefined : this.queue.nextBody();
    if (body === undefined) {
      return;
    }
    const sentAt = this.clock.now();
    this.append += 1;
    const { append } = this;
    this.isAnswerAwaited = true;
    this.bytes += Buffer.byteLength(body);
    this.pace.sent(sentAt);
    void this.log
      .append(this.stream, body, this.timeout.deadline(sentAt))
      .catch((error: unknown): LogAppendResult => ({ kind: 'unknown', detail: String(error) }))
      .then((appended) => {
        this.self.post({ kind: 'append_answered', append, sentAt, appended });
      });
  }

  private handleAnswer(appended: LogAppendResult, sentAt: Instant): void {
    const now = this.clock.now();
    this.isAnswerAwaited = false;
    match(appended)
      .with({ kind: 'appended' }, () => {
        this.timeout.answered(sentAt, now);
        this.pace.answered(sentAt, now);
        this.backoff.succeeded();
        this.queue.acknowledge();
        this.scheduleSend();
      })
      .with({ kind: 'refused' }, () => {
        this.queue.markRefused();
        this.scheduleRetry(now);
      })
      .with({ kind: 'unknown' }, () => {
        this.timeout.timedOut();
        this.queue.markUnknown();
        this.scheduleRetry(now);
      })
      .exhaustive();
  }

  private scheduleRetry(now: Instant): void {
    this.retries += 1;
    this.scheduleSend(this.backoff.failed(now));
  }
}
