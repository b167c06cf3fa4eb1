/** Decides when a stream needs its next checkpoint, from the retention of the log. Does no I/O. */

import { brandAs, type Offset } from '@bamboowell/types/ids';
import {
  deadlineAfter,
  hasPassed,
  MILLIS_PER_MINUTE,
  NEVER,
  type Deadline,
  type Instant,
} from '@bamboowell/types/time';

/** Minimum retention of the log's entries; null where the log sets no such bound. */
export interface LogRetention {
  readonly entries: number | null;
  readonly millis: number | null;
}

/**
 * Fraction of the retention after which the next checkpoint is due. It leaves room for several to
 * fail or to fall into an outage before the last one expires.
 */
const DUE_FRACTION = 0.125;

/** Fraction of the retention after which writing a checkpoint has priority over everything else. */
const OVERDUE_FRACTION = 0.5;

/** A checkpoint is also due once a restart would have to read this much. */
const MAX_BYTES_BETWEEN_CHECKPOINTS = 8_000_000;
const MAX_ENTRIES_BETWEEN_CHECKPOINTS = 20_000;

/** A snapshot that is not read back completely within this time is written again. */
const WRITE_TIMEOUT_MILLIS = MILLIS_PER_MINUTE;

/** `overdue` means that history is lost if no checkpoint gets into the log soon. */
export type CheckpointNeed = 'none' | 'due' | 'overdue';

interface LastCheckpoint {
  /** The newest complete checkpoint includes all entries below this offset. */
  readonly upTo: Offset;
  readonly dueAt: Deadline;
  readonly overdueAt: Deadline;
}

export class CheckpointSchedule {
  private last: LastCheckpoint;
  private next: Offset;
  private bytes = 0;
  private writeDeadline: Deadline | undefined;

  /**
   * Starts from the offset that a reader was restored to. The age of the entries from there on is
   * unknown, so that by age a checkpoint is due at once, unless the stream is empty.
   */
  constructor(
    private readonly retention: LogRetention,
    restoredUpTo: Offset,
    now: Instant,
  ) {
    this.last = this.checkpointOfAge(restoredUpTo, now, DUE_FRACTION);
    this.next = restoredUpTo;
  }

  /** Records an entry that was read. */
  recordEntry(offset: Offset, bytes: number): void {
    this.next = brandAs<Offset>(Math.max(this.next, offset + 1));
    this.bytes += bytes;
  }

  /**
   * Records a complete checkpoint of any writer that was read. It was not in the log before
   * `writtenAfter`; if that is undefined, it may be as old as the oldest entry kept.
   */
  recordComplete(upTo: Offset, writtenAfter: Instant | undefined): void {
    if (upTo < this.last.upTo) {
      return;
    }
    this.bytes = 0;
    if (writtenAfter === undefined) {
      this.last = { ...this.last, upTo };
    } else {
      this.last = this.checkpointOfAge(upTo, writtenAfter, 0);
      this.writeDeadline = undefined;
    }
  }

  /** Records that a snapshot is being written. */
  recordWriteStarted(now: Instant): void {
    this.writeDeadline = deadlineAfter(now, WRITE_TIMEOUT_MILLIS);
  }

  /** Whether a checkpoint should be written now; `none` while one is being written. */
  need(now: Instant): CheckpointNeed {
    const isWriting = this.writeDeadline !== undefined && !hasPassed(this.writeDeadline, now);
    if (isWriting || this.next === 0) {
      return 'none';
    }
    const entriesBehind = this.next - this.last.upTo;
    const retainedEntries = this.retention.entries ?? Number.POSITIVE_INFINITY;
    if (
      hasPassed(this.last.overdueAt, now) ||
      entriesBehind >= retainedEntries * OVERDUE_FRACTION
    ) {
      return 'overdue';
    }
    const isDue =
      hasPassed(this.last.dueAt, now) ||
      entriesBehind >= Math.min(retainedEntries * DUE_FRACTION, MAX_ENTRIES_BETWEEN_CHECKPOINTS) ||
      this.bytes >= MAX_BYTES_BETWEEN_CHECKPOINTS;
    return isDue ? 'due' : 'none';
  }

  /** A checkpoint whose age is already the given fraction of the retention. */
  private checkpointOfAge(upTo: Offset, now: Instant, ageFraction: number): LastCheckpoint {
    const { millis } = this.retention;
    if (millis === null) {
      return { upTo, dueAt: NEVER, overdueAt: NEVER };
    }
    return {
      upTo,
      dueAt: deadlineAfter(now, millis * (DUE_FRACTION - ageFraction)),
      overdueAt: deadlineAfter(now, millis * (OVERDUE_FRACTION - ageFraction)),
    };
  }
}
