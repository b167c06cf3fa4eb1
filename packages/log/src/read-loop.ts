/**
 * Reads the stream for a stream task and delivers events to the subscriber. At most one read is in
 * flight, and none before the subscriber has accepted all events of the previous read.
 */

import { match } from 'ts-pattern';
import type { Clock } from '@bamboowell/kernel/clock';
import type { StreamName } from '@bamboowell/types/ids';
import type { Stamped } from '@bamboowell/types/records';
import { deadlineAfter, hasPassed, type Deadline, type Instant } from '@bamboowell/types/time';
import type { Backoff } from './backoff.js';
import type { CheckpointTracker } from './checkpoint-tracker.js';
import type { Log, Page } from './log.js';
import type { Outbox } from './outbox.js';
import type { Self } from './self.js';
import type { StreamEvent } from './stream-messages.js';
import type { AnsweredPage, Tail } from './tail.js';

/**
 * How long a read waits at the end of the stream. Apart from the latency of the log, `caught_up` is
 * sent at least this often, and its `readAt` is at most this far in the past.
 */
export const READ_WAIT_MILLIS = 1000;

/**
 * Minimum time between two reads that return nothing, in case the log doesn't wait as requested.
 */
const MIN_EMPTY_READ_INTERVAL_MILLIS = 100;

/** Delay before events are offered again to a subscriber whose mailbox was full. */
const REDELIVERY_DELAY_MILLIS = 20;

/** Messages that the loop posts to its task. */
export type ReadLoopMessage =
  | { readonly kind: 'read_due' }
  | { readonly kind: 'read_answered'; readonly readAt: Instant; readonly page: Page }
  | { readonly kind: 'delivery_due' };

export interface ReadCounts {
  readonly reads: number;
  readonly readBytes: number;
  readonly skipped: number;
}

export class ReadLoop<Entry extends { readonly kind: string }> {
  private isReadPending = false;
  private isDeliveryScheduled = false;
  private mayWait = false;
  /** When the latest read that was answered was sent. */
  private lastAnsweredReadAt: Instant;
  private reads = 0;
  private bytes = 0;
  private skipped = 0;

  constructor(
    private readonly stream: StreamName,
    private readonly log: Log,
    private readonly clock: Clock,
    private readonly tail: Tail<Entry>,
    private readonly outbox: Outbox<Entry>,
    private readonly checkpoints: CheckpointTracker,
    private readonly backoff: Backoff,
    private readonly self: Self<ReadLoopMessage>,
  ) {
    this.lastAnsweredReadAt = clock.now();
  }

  counts(): ReadCounts {
    return { reads: this.reads, readBytes: this.bytes, skipped: this.skipped };
  }

  start(): void {
    this.read();
  }

  /** Delivers an event of the task to the subscriber, after the events already queued. */
  emit(event: StreamEvent<Entry>): void {
    this.outbox.add(event);
    this.deliver();
  }

  /** Handles a message. Returns the records that were read. */
  receive(message: ReadLoopMessage): readonly Stamped<Entry>[] {
    return match(message)
      .with({ kind: 'read_due' }, () => {
        this.isReadPending = false;
        this.deliver();
        return [];
      })
      .with({ kind: 'delivery_due' }, () => {
        this.isDeliveryScheduled = false;
        this.deliver();
        return [];
      })
      .with({ kind: 'read_answered' }, ({ page, readAt }) => this.handleAnswer(page, readAt))
      .exhaustive();
  }

  private read(): void {
    const readAt = this.clock.now();
    const waitUntil = deadlineAfter(readAt, this.mayWait ? READ_WAIT_MILLIS : 0);
    this.isReadPending = true;
    this.reads += 1;
    void this.log
      .read(this.stream, this.tail.from, waitUntil)
      .catch((error: unknown): Page => ({ kind: 'unavailable', detail: String(error) }))
      .then((page) => {
        this.self.post({ kind: 'read_answered', readAt, page });
      });
  }

  private handleAnswer(page: Page, readAt: Instant): readonly Stamped<Entry>[] {
    if (page.kind === 'unavailable') {
      this.self.postAt(this.backoff.failed(this.clock.now()), { kind: 'read_due' });
      this.emit({ kind: 'unavailable', since: this.lastAnsweredReadAt, detail: page.detail });
      return [];
    }
    const isEmpty = page.kind === 'entries' && page.entries.length === 0;
    const mustDelayNextRead = isEmpty && (this.mayWait || !page.atEnd);
    this.backoff.succeeded();
    this.lastAnsweredReadAt = readAt;
    const records = this.handlePage(page, readAt);
    this.scheduleRead(
      mustDelayNextRead ? deadlineAfter(readAt, MIN_EMPTY_READ_INTERVAL_MILLIS) : undefined,
    );
    this.deliver();
    return records;
  }

  /** Allows the next read once all events are delivered, but not before `notBefore`. */
  private scheduleRead(notBefore: Deadline | undefined): void {
    if (notBefore === undefined || hasPassed(notBefore, this.clock.now())) {
      this.isReadPending = false;
    } else {
      this.self.postAt(notBefore, { kind: 'read_due' });
    }
  }

  private handlePage(page: AnsweredPage, readAt: Instant): readonly Stamped<Entry>[] {
    const result = this.tail.handlePage(page, readAt);
    this.mayWait = result.mayWait;
    this.recordEntries(page);
    this.checkpoints.recordParts(result.records);
    for (const event of result.events) {
      this.outbox.add(event);
      this.recordEvent(event);
    }
    return result.records;
  }

  private recordEntries(page: AnsweredPage): void {
    for (const { offset, body } of page.kind === 'entries' ? page.entries : []) {
      const bytes = Buffer.byteLength(body);
      this.bytes += bytes;
      this.checkpoints.recordEntry(offset, bytes);
    }
  }

  private recordEvent(event: StreamEvent<Entry>): void {
    if (event.kind === 'skipped') {
      this.skipped += 1;
    }
    if (event.kind === 'restored') {
      this.checkpoints.restored(this.tail.from, this.clock.now());
    }
    if (event.kind === 'caught_up') {
      this.checkpoints.recordCaughtUp(event.readAt);
      this.emitCheckpointDue();
    }
  }

  private emitCheckpointDue(): void {
    const need = this.checkpoints.need(this.clock.now());
    if (need !== 'none') {
      this.outbox.add({ kind: 'checkpoint_due', overdue: need === 'overdue' });
    }
  }

  private deliver(): void {
    this.outbox.deliver();
    if (!this.outbox.isEmpty) {
      this.scheduleDelivery();
    } else if (!this.isReadPending) {
      this.read();
    }
  }

  private scheduleDelivery(): void {
    if (!this.isDeliveryScheduled) {
      this.isDeliveryScheduled = true;
      const at = deadlineAfter(this.clock.now(), REDELIVERY_DELAY_MILLIS);
      this.self.postAt(at, { kind: 'delivery_due' });
    }
  }
}
