/** Room that is kept for work that has waited long and fits nowhere. */

import type { WorkId } from '@bamboowell/types/ids';
import {
  add,
  DIMENSIONS,
  multiply,
  NO_RESOURCES,
  positivePart,
  subtract,
  type Resources,
} from '@bamboowell/types/resources';
import { deadlineAfter, hasPassed, type Deadline, type Instant } from '@bamboowell/types/time';
import type { Candidate, Size } from './ordering.js';

/** Length of time after which twice as much room is kept. */
export const HOLD_WIDEN_MILLIS = 30_000;
/** Length of time after which a hold ends, whether its candidate could start or not. */
export const MAX_HOLD_MILLIS = 600_000;

const WIDEN_FACTOR = 2;

/**
 * Keeps amounts that end from going to other work until the candidate fits. At first the size of
 * the candidate is kept; as that may be scattered over workers, the room doubles step by step.
 */
export class CapacityHold {
  readonly work: WorkId;
  private readonly total: Resources;
  private readonly endsAt: Deadline;
  private widenAt: Deadline;
  private kept: Resources;
  /** Ended since the hold began and not taken by other work. */
  private room: Resources = NO_RESOURCES;

  constructor(candidate: Candidate, now: Instant) {
    this.work = candidate.work;
    this.total = totalDemandOf(candidate);
    this.kept = this.total;
    this.widenAt = deadlineAfter(now, HOLD_WIDEN_MILLIS);
    this.endsAt = deadlineAfter(now, MAX_HOLD_MILLIS);
  }

  /** Counts what was started (positive) or ended (negative amounts). */
  addUsage(amount: Resources): void {
    this.room = positivePart(subtract(this.room, amount));
  }

  /** Widens the hold when it is due; false once it has ended. */
  advance(now: Instant): boolean {
    if (hasPassed(this.widenAt, now)) {
      this.kept = multiply(this.kept, WIDEN_FACTOR);
      this.widenAt = deadlineAfter(now, HOLD_WIDEN_MILLIS);
    }
    return !hasPassed(this.endsAt, now);
  }

  /** Whether the other work leaves enough room, in each dimension that both need. */
  admits(other: Size): boolean {
    const needed = add(this.kept, totalDemandOf(other));
    return DIMENSIONS.every(
      (dimension) =>
        this.total[dimension] === 0 ||
        other.demand[dimension] === 0 ||
        needed[dimension] <= this.room[dimension],
    );
  }
}

/** The size of all tasks that must start together. */
export function totalDemandOf(size: Size): Resources {
  return multiply(size.demand, size.gangSize);
}
