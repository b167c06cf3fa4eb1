/** Holds back freed capacity for work that has waited long and fits on no worker. */

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

/** Interval at which the held amount doubles. */
export const HOLD_WIDEN_MILLIS = 30_000;
/** Maximum duration of a hold, whether its candidate could start or not. */
export const MAX_HOLD_MILLIS = 600_000;

const WIDEN_FACTOR = 2;

/**
 * Keeps capacity that is freed after the hold began from being used by other work until the
 * candidate fits. At first it holds the total demand of the candidate; as the freed capacity may be
 * scattered over workers, the held amount doubles at intervals.
 */
export class CapacityHold {
  readonly work: WorkId;
  private readonly totalDemand: Resources;
  private readonly endsAt: Deadline;
  private widenAt: Deadline;
  private heldAmount: Resources;
  /** Capacity that was freed since the hold began and not used by other work. */
  private freed: Resources = NO_RESOURCES;

  constructor(candidate: Candidate, now: Instant) {
    this.work = candidate.work;
    this.totalDemand = totalDemandOf(candidate);
    this.heldAmount = this.totalDemand;
    this.widenAt = deadlineAfter(now, HOLD_WIDEN_MILLIS);
    this.endsAt = deadlineAfter(now, MAX_HOLD_MILLIS);
  }

  /** Accounts for tasks that started (positive amounts) or ended (negative amounts). */
  addUsage(amount: Resources): void {
    this.freed = positivePart(subtract(this.freed, amount));
  }

  /** Doubles the held amount when that is due; returns false once the hold has ended. */
  advance(now: Instant): boolean {
    if (hasPassed(this.widenAt, now)) {
      this.heldAmount = multiply(this.heldAmount, WIDEN_FACTOR);
      this.widenAt = deadlineAfter(now, HOLD_WIDEN_MILLIS);
    }
    return !hasPassed(this.endsAt, now);
  }

  /**
   * Whether enough freed capacity is left if the other work starts, in each dimension that both
   * need.
   */
  admits(other: Size): boolean {
    const needed = add(this.heldAmount, totalDemandOf(other));
    return DIMENSIONS.every(
      (dimension) =>
        this.totalDemand[dimension] === 0 ||
        other.demand[dimension] === 0 ||
        needed[dimension] <= this.freed[dimension],
    );
  }
}

/** Demand of all tasks that must start together. */
export function totalDemandOf(size: Size): Resources {
  return multiply(size.demand, size.gangSize);
}
