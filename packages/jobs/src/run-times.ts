/** What the scheduler expects of the run times of tasks. */

import type { Instant } from '@bamboowell/types/time';
import type { Run, Step } from './model.js';

export abstract class RunTimes {
  /** Expected run time of one task of the step on a worker of usual speed, milliseconds; zero if unknown. */
  abstract expectedMillis(step: Step): number;

  /** Run time that nearly all tasks of the step stay below, milliseconds; zero if unknown. */
  abstract lateMillis(step: Step): number;

  /** Records a run that has ended `done` at `endedAt`. */
  abstract record(run: Run, endedAt: Instant): void;
}

/** How many times as long as estimated a run is allowed for: estimates are rough. */
export const OVERRUN_FACTOR = 2;

/** Takes run times as callers declare them. */
export class DeclaredRunTimes extends RunTimes {
  expectedMillis({ plan }: Step): number {
    return plan.estimateMillis;
  }

  lateMillis({ plan }: Step): number {
    return OVERRUN_FACTOR * plan.estimateMillis;
  }

  record(): void {
    // Declared run times don't change.
  }
}
