/** Tracks the checkpoints of a stream and tells when the next one is needed. */

import type { Offset } from '@bamboowell/types/ids';
import type { Stamped } from '@bamboowell/types/records';
import type { Instant } from '@bamboowell/types/time';
import { asCheckpointPart, CheckpointAssembler } from './checkpoint-parts.js';
import {
  CheckpointSchedule,
  type CheckpointNeed,
  type LogRetention,
} from './checkpoint-schedule.js';

export class CheckpointTracker {
  private schedule: CheckpointSchedule | undefined;
  private assembler = new CheckpointAssembler();
  /** When the latest read that reached the end of the stream was sent. */
  private caughtUpAt: Instant | undefined;

  constructor(private readonly retention: LogRetention) {}

  /** Starts over: the reader continues with the entries from this offset on. */
  restored(from: Offset, now: Instant): void {
    this.schedule = new CheckpointSchedule(this.retention, from, now);
    this.assembler = new CheckpointAssembler();
    this.caughtUpAt = undefined;
  }

  recordCaughtUp(readAt: Instant): void {
    this.caughtUpAt = readAt;
  }

  recordEntry(offset: Offset, bytes: number): void {
    this.schedule?.recordEntry(offset, bytes);
  }

  recordParts(records: readonly Stamped<{ readonly kind: string }>[]): void {
    for (const { record } of records) {
      const part = asCheckpointPart(record);
      const complete = part === undefined ? undefined : this.assembler.add(part);
      if (complete !== undefined) {
        this.schedule?.recordComplete(complete.upTo, this.caughtUpAt);
      }
    }
  }

  recordWriteStarted(now: Instant): void {
    this.schedule?.recordWriteStarted(now);
  }

  need(now: Instant): CheckpointNeed {
    return this.schedule?.need(now) ?? 'none';
  }
}
