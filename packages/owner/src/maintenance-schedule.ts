/** When an owner's work that goes over all of its state is due, so that most steps leave it out. */

import { brandAs } from '@bamboowell/types/ids';
import {
  deadlineAfter,
  earlier,
  hasPassed,
  type Deadline,
  type Instant,
} from '@bamboowell/types/time';
import type { Input } from './messages.js';

/** Longest time between two rounds of upkeep, milliseconds. */
const UPKEEP_MILLIS = 1_000;

export class MaintenanceSchedule {
  private dueAt: Deadline = brandAs<Deadline>(0);

  /** Whether this input changes what upkeep looks at. */
  private static isCausedBy(input: Input): boolean {
    if (input.kind === 'report') {
      return (
        input.report.kind !== 'usage' &&
        input.report.kind !== 'started' &&
        input.report.kind !== 'ended'
      );
    }
    return UPKEEP_INPUTS.has(input.kind);
  }

  /** Whether an input of this kind may let waiting work start. */
  static mayUnblockWork(input: Input): boolean {
    if (input.kind === 'report') {
      return input.report.kind !== 'usage' && input.report.kind !== 'started';
    }
    // Submitted work waits only once its record was read back, which is another input, and what was
    // rejected for want of room would be rejected again.
    return input.kind !== 'submit' && input.kind !== 'rejected';
  }

  isDue(input: Input, now: Instant): boolean {
    return MaintenanceSchedule.isCausedBy(input) || hasPassed(this.dueAt, now);
  }

  /** Upkeep was done; the next is due at `next` or after a fixed time. */
  done(next: Deadline, now: Instant): void {
    this.dueAt = earlier(next, deadlineAfter(now, UPKEEP_MILLIS));
  }

  /** Something has a deadline of its own. */
  noteDeadline(deadline: Deadline): void {
    this.dueAt = earlier(this.dueAt, deadline);
  }

  get deadline(): Deadline {
    return this.dueAt;
  }
}

const UPKEEP_INPUTS: ReadonlySet<Input['kind']> = new Set([
  'restored',
  'cell',
  'authority',
  'epoch_known',
  'workers',
  'drain',
  'tick',
]);
