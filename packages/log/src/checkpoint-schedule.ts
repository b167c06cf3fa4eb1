/** When a stream needs its next checkpoint, in relation to how long the log keeps entries. Pure. */

import { brandAs, type Offset } from '@bamboowell/types/ids';
import {
  deadlineAfter,
  hasPassed,
  MILLIS_PER_MINUTE,
  NEVER,
  type Deadline,
  type Instant,
} from '@bamboowell/types/time';

/** How long the log keeps entries at least; null where it sets no such bound. */
export interface LogRetention {
  readonly entries: number | null;
  readonly millis: number | null;
}

/**
 * Part of the retention after which the next checkpoint is due, so that several can fail or fall
 * into an outage before the last one expires.
 */
const DUE_PART = 0.125;

/** Part of the retention after which nothing else matters more. */
const OVERDUE_PART = 0.5;

/** A checkpoint is also due once a restart would have to read this much. */
const MAX_BYTES_BETWEEN = 8_000_000;
const MAX_ENTRIES_BETWEEN = 20_000;

/** A snapshot that was handed over but not read back whole by then is written again. */
const WRITE_MILLIS = MILLIS_PER_MINUTE;

/** `overdue` means that history is lost if no checkpoint gets into the log soon. */
export type CheckpointNeed = 'none' | 'due' | 'overdue';

interface Mark {
  /** Below it, all entries are in the newest whole checkpoint. */
  readonly upTo: Offset;
  readonly dueAt: Deadline;
  readonly overdueAt: Deadline;
}

export class CheckpointSchedule {
  private mark: Mark;
  private next: Offset;
  private bytes = 0;
  private writeUntil: Deadline | undefined;

  /**
   * Starts from the offset that a reader was restored to. How old the entries from there on are is
   * not known, so that by age a checkpoint is due at once, unless the stream is empty.
   */
  constructor(
    private readonly retention: LogRetention,
    restoredUpTo: Offset,
    now: Instant,
  ) {
    this.mark = this.markAt(restoredUpTo, now, DUE_PART);
    this.next = restoredUpTo;
  }

  /** Notes an entry that was read. */
  recordEntry(offset: Offset, bytes: number): void {
    this.next = brandAs<Offset>(Math.max(this.next, offset + 1));
    this.bytes += bytes;
  }

  /**
   * Notes a checkpoint, of any writer, that was read whole. `writtenAfter` is an instant before
   * which it was not in the log; without one it may be as old as any entry that is kept.
   */
  recordComplete(upTo: Offset, writtenAfter: Instant | undefined): void {
    if (upTo < this.mark.upTo) {
      return;
    }
    this.bytes = 0;
    if (writtenAfter === undefined) {
      this.mark = { ...this.mark, upTo };
    } else {
      this.mark = this.markAt(upTo, writtenAfter, 0);
      this.writeUntil = undefined;
    }
  }

  /** Notes that a snapshot was handed over to be written. */
  recordWriteStarted(now: Instant): void {
    this.writeUntil = deadlineAfter(now, WRITE_MILLIS);
  }

  /** Whether a checkpoint should be written now. Not while one is being written. */
  need(now: Instant): CheckpointNeed {
    const isWriting = this.writeUntil !== undefined && !hasPassed(this.writeUntil, now);
    if (isWriting || this.next === 0) {
      return 'none';
    }
    const behind = this.next - this.mark.upTo;
    const kept = this.retention.entries ?? Number.POSITIVE_INFINITY;
    if (hasPassed(this.mark.overdueAt, now) || behind >= kept * OVERDUE_PART) {
      return 'overdue';
    }
    const isDue =
      hasPassed(this.mark.dueAt, now) ||
      behind >= Math.min(kept * DUE_PART, MAX_ENTRIES_BETWEEN) ||
      this.bytes >= MAX_BYTES_BETWEEN;
    return isDue ? 'due' : 'none';
  }

  /** The mark of a checkpoint that is already `agePart` of the retention old. */
  private markAt(upTo: Offset, now: Instant, agePart: number): Mark {
    const { millis } = this.retention;
    if (millis === null) {
      return { upTo, dueAt: NEVER, overdueAt: NEVER };
    }
    return {
      upTo,
      dueAt: deadlineAfter(now, millis * (DUE_PART - agePart)),
      overdueAt: deadlineAfter(now, millis * (OVERDUE_PART - agePart)),
    };
  }
}
