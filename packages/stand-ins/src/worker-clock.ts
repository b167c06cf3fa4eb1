/**
 * The worker's own clock, far ahead of the local one so that code that relies on equal clocks
 * fails.
 */

import type { Clock } from '@bamboowell/kernel/clock';
import { brandAs } from '@bamboowell/types/ids';
import type { Deadline, WorkerInstant } from '@bamboowell/types/time';

/** How far the worker's clock is ahead of the local one. */
const OFFSET_MILLIS = 7_654_321_987;

export class WorkerClock {
  constructor(readonly local: Clock) {}

  now(): WorkerInstant {
    return brandAs<WorkerInstant>(Math.round(this.local.now()) + OFFSET_MILLIS);
  }

  /** Converts a time of the worker's clock to a local deadline. */
  deadlineOf(instant: WorkerInstant): Deadline {
    return brandAs<Deadline>(instant - OFFSET_MILLIS);
  }
}
