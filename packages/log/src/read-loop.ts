/**
 * The part of a stream task that reads the stream and hands events to the subscriber. One read is
 * in flight at a time, and only while the subscriber has taken all events of the read before.
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
 * How long a read waits at the end of the stream. `caught_up` comes at least this often, and tells
 * of a state that is at most this much older.
 */
export const READ_WAIT_MILLIS = 1000;

/** Least time between two reads that find nothing, should the log not wait as it was asked to. */
const EMPTY_READ_MILLIS = 100;

/** When events are offered again to a subscriber whose mailbox was full. */
const REDELIVERY_MILLIS = 20;

/** Messages of the loop to its task. */
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
  private isDeliveryPlanned = false;
  private mayWait = false;
  /** When the newest read that was answered was sent. */
  private answeredAt: Instant;
  private reads = 0;
  private bytes = 0;
  private skipped = 0;

  constructor(
    private readonly stream: StreamName,
    private readonly log: Log,
    private readonly clock: Clock,
    private readonly tail: Tail<Entry>,
    private readonly outbox: Outbox<Entry>,
    private readonly watch: CheckpointTracker,
    private readonly backoff: Backoff,
    private readonly self: Self<ReadLoopMessage>,
  ) {
    this.answeredAt = clock.now();
  }

  counts(): ReadCounts {
    return { reads: this.reads, readBytes: this.bytes, skipped: this.skipped };
  }

  start(): void {
    this.read();
  }

  /** Hands an event of the task to the subscriber, after those that wait. */
  emit(event: StreamEvent<Entry>): void {
    this.outbox.add(event);
    this.deliver();
  }

  /** Returns the records that were read. */
  receive(message: ReadLoopMessage): readonly Stamped<Entry>[] {
    return match(message)
      .with({ kind: 'read_due' }, () => {
        this.isReadPending = false;
        this.deliver();
        return [];
      })
      .with({ kind: 'delivery_due' }, () => {
        this.isDeliveryPlanned = false;
        this.deliver();
        return [];
      })
      .with({ kind: 'read_answered' }, ({ page, readAt }) => this.answered(page, readAt))
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

  private answered(page: Page, readAt: Instant): readonly Stamped<Entry>[] {
    if (page.kind === 'unavailable') {
      this.self.postAt(this.backoff.failed(this.clock.now()), { kind: 'read_due' });
      this.emit({ kind: 'unavailable', since: this.answeredAt, detail: page.detail });
      return [];
    }
    const isEmpty = page.kind === 'entries' && page.entries.length === 0;
    const isTooEarly = isEmpty && (this.mayWait || !page.atEnd);
    this.backoff.succeeded();
    this.answeredAt = readAt;
    const records = this.take(page, readAt);
    this.planRead(isTooEarly ? deadlineAfter(readAt, EMPTY_READ_MILLIS) : undefined);
    this.deliver();
    return records;
  }

  /** Reads on as soon as all is delivered, but not before the deadline. */
  private planRead(notBefore: Deadline | undefined): void {
    if (notBefore === undefined || hasPassed(notBefore, this.clock.now())) {
      this.isReadPending = false;
    } else {
      this.self.postAt(notBefore, { kind: 'read_due' });
    }
  }

  private take(page: AnsweredPage, readAt: Instant): readonly Stamped<Entry>[] {
    const step = this.tail.handlePage(page, readAt);
    this.mayWait = step.mayWait;
    this.noteEntries(page);
    this.watch.recordParts(step.records);
    for (const event of step.events) {
      this.outbox.add(event);
      this.note(event);
    }
    return step.records;
  }

  private noteEntries(page: AnsweredPage): void {
    for (const { offset, body } of page.kind === 'entries' ? page.entries : []) {
      const bytes = Buffer.byteLength(body);
      this.bytes += bytes;
      this.watch.recordEntry(offset, bytes);
    }
  }

  private note(event: StreamEvent<Entry>): void {
    if (event.kind === 'skipped') {
      this.skipped += 1;
    }
    if (event.kind === 'restored') {
      this.watch.restored(this.tail.from, this.clock.now());
    }
    if (event.kind === 'caught_up') {
      this.watch.recordCaughtUp(event.readAt);
      this.tellCheckpointNeed();
    }
  }

  private tellCheckpointNeed(): void {
    const need = this.watch.need(this.clock.now());
    if (need !== 'none') {
      this.outbox.add({ kind: 'checkpoint_due', overdue: need === 'overdue' });
    }
  }

  private deliver(): void {
    this.outbox.deliver();
    if (!this.outbox.isEmpty) {
      this.planDelivery();
    } else if (!this.isReadPending) {
      this.read();
    }
  }

  private planDelivery(): void {
    if (!this.isDeliveryPlanned) {
      this.isDeliveryPlanned = true;
      const at = deadlineAfter(this.clock.now(), REDELIVERY_MILLIS);
      this.self.postAt(at, { kind: 'delivery_due' });
    }
  }
}
