/** The part of a stream task that appends. One append is in flight at a time. */

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

/** Messages of the loop to its task. */
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
  /** Number of the newest append; answers to earlier ones are ignored. */
  private append = 0;
  private isAwaited = false;
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

  /** Queues the records; returns those for which there was no room. */
  add(records: readonly EncodedRecord[]): EncodedRecord[] {
    const rejected = records.filter((record) => !this.queue.add(record));
    this.planSend();
    return rejected;
  }

  addCheckpointParts(parts: readonly EncodedRecord[]): void {
    this.queue.addCheckpointParts(parts);
    this.planSend();
  }

  /** Whether the record was taken back before it was sent. */
  withdraw(sequence: Sequence): boolean {
    return this.queue.withdraw(sequence);
  }

  receive(message: AppendLoopMessage): void {
    match(message)
      .with({ kind: 'send_due' }, () => {
        this.send();
      })
      .with({ kind: 'append_answered' }, ({ append, sentAt, appended }) => {
        if (append === this.append && this.isAwaited) {
          this.answered(appended, sentAt);
        }
      })
      .exhaustive();
  }

  /** Notes records read back; once all in flight are, neither answer nor retry is needed. */
  readBack(stamps: readonly Stamp[]): void {
    if (!this.queue.readBack(stamps)) {
      return;
    }
    this.isAwaited = false;
    this.backoff.succeeded();
    this.sendAlarm?.cancel();
    this.sendAlarm = undefined;
    this.planSend();
  }

  /** Plans the next append, at the earliest at `notBefore`. */
  private planSend(notBefore?: Deadline): void {
    if (this.isAwaited || this.sendAlarm !== undefined || !this.queue.hasWork) {
      return;
    }
    const due = this.pace.nextSend(this.clock.now());
    const at = notBefore === undefined || due > notBefore ? due : notBefore;
    this.sendAlarm = this.self.postAt(at, { kind: 'send_due' });
  }

  private send(): void {
    this.sendAlarm = undefined;
    const body = this.isAwaited ? undefined : this.queue.nextBody();
    if (body === undefined) {
      return;
    }
    const sentAt = this.clock.now();
    this.append += 1;
    const { append } = this;
    this.isAwaited = true;
    this.bytes += Buffer.byteLength(body);
    this.pace.sent(sentAt);
    void this.log
      .append(this.stream, body, this.timeout.deadline(sentAt))
      .catch((error: unknown): LogAppendResult => ({ kind: 'unknown', detail: String(error) }))
      .then((appended) => {
        this.self.post({ kind: 'append_answered', append, sentAt, appended });
      });
  }

  private answered(appended: LogAppendResult, sentAt: Instant): void {
    const now = this.clock.now();
    this.isAwaited = false;
    match(appended)
      .with({ kind: 'appended' }, () => {
        this.timeout.answered(sentAt, now);
        this.pace.answered(sentAt, now);
        this.backoff.succeeded();
        this.queue.acknowledge();
        this.planSend();
      })
      .with({ kind: 'refused' }, () => {
        this.queue.markRefused();
        this.planRetry(now);
      })
      .with({ kind: 'unknown' }, () => {
        this.timeout.timedOut();
        this.queue.markUnknown();
        this.planRetry(now);
      })
      .exhaustive();
  }

  private planRetry(now: Instant): void {
    this.retries += 1;
    this.planSend(this.backoff.failed(now));
  }
}
