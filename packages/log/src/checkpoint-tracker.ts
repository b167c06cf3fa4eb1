/** Follows a stream's checkpoints and says when the next one is needed. */

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
  private plan: CheckpointSchedule | undefined;
  private assembler = new CheckpointAssembler();
  /** When the newest read was sent that reached the end of the stream. */
  private caughtUpAt: Instant | undefined;

  constructor(private readonly retention: LogRetention) {}

  /** The reader starts anew with the entries from this offset on. */
  restored(from: Offset, now: Instant): void {
    this.plan = new CheckpointSchedule(this.retention, from, now);
    this.assembler = new CheckpointAssembler();
    this.caughtUpAt = undefined;
  }

  recordCaughtUp(readAt: Instant): void {
    this.caughtUpAt = readAt;
  }

  recordEntry(offset: Offset, bytes: number): void {
    this.plan?.recordEntry(offset, bytes);
  }

  recordParts(records: readonly Stamped<{ readonly kind: string }>[]): void {
    for (const { record } of records) {
      const part = asCheckpointPart(record);
      const whole = part === undefined ? undefined : this.assembler.add(part);
      if (whole !== undefined) {
        this.plan?.recordComplete(whole.upTo, this.caughtUpAt);
      }
    }
  }

  recordWriteStarted(now: Instant): void {
    this.plan?.recordWriteStarted(now);
  }

  need(now: Instant): CheckpointNeed {
    return this.plan?.need(now) ?? 'none';
  }
}
