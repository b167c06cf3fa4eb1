/** Schedules the maintenance that goes over all state of an owner, so that most steps skip it. */

import { brandAs } from '@bamboowell/types/ids';
import {
  deadlineAfter,
  earlier,
  hasPassed,
  type Deadline,
  type Instant,
} from '@bamboowell/types/time';
import type { Input } from './messages.js';

/** Maximum interval between two rounds of maintenance, milliseconds. */
const MAX_INTERVAL_MILLIS = 1_000;

export class MaintenanceSchedule {
  private dueAt: Deadline = brandAs<Deadline>(0);

  /** Whether this input changes state that maintenance depends on. */
  private static isTriggeredBy(input: Input): boolean {
    if (input.kind === 'report') {
      return (
        input.report.kind !== 'usage' &&
        input.report.kind !== 'started' &&
        input.report.kind !== 'ended'
      );
    }
    return TRIGGERING_INPUTS.has(input.kind);
  }

  /** Whether this input may allow waiting work to start. */
  static mayUnblockWork(input: Input): boolean {
    if (input.kind === 'report') {
      return input.report.kind !== 'usage' && input.report.kind !== 'started';
    }
    // Submitted work starts to wait when its record is read back, which is another input. Records
    // are rejected when the append queue is full, and new ones would be rejected as well.
    return input.kind !== 'submit' && input.kind !== 'rejected';
  }

  isDue(input: Input, now: Instant): boolean {
    return MaintenanceSchedule.isTriggeredBy(input) || hasPassed(this.dueAt, now);
  }

  /** Records a round of maintenance. The next is due at `next`, or after a fixed time at most. */
  done(next: Deadline, now: Instant): void {
    this.dueAt = earlier(next, deadlineAfter(now, MAX_INTERVAL_MILLIS));
  }

  /** Makes maintenance due no later than this deadline. */
  noteDeadline(deadline: Deadline): void {
    this.dueAt = earlier(this.dueAt, deadline);
  }

  get deadline(): Deadline {
    return this.dueAt;
  }
}

const TRIGGERING_INPUTS: ReadonlySet<Input['kind']> = new Set([
  'restored',
  'cell',
  'authority',
  'epoch_known',
  'workers',
  'drain',
  'tick',
]);
