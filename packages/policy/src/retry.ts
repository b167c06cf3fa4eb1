/** Retry budgets of teams, and the delay before a retry. */

import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { brandAs, type TeamId } from '@bamboowell/types/ids';
import {
  deadlineAfter,
  hasPassed,
  millisUntil,
  type Deadline,
  type Instant,
} from '@bamboowell/types/time';

/** Size of a full budget: retries that a team may make at once. */
export const BURST_RETRIES = 50;
/** Interval at which a budget regains one retry. */
export const REFILL_MILLIS = 200;
/** Upper bound on the delay of the first retry. */
export const BASE_DELAY_MILLIS = 100;
/** Upper bound on the delay of any retry. */
export const MAX_DELAY_MILLIS = 30_000;

/** A token bucket for each team, stored as the time at which it is full again. */
export class RetryBudgets {
  private readonly fullAt = new Map<TeamId, Deadline>();

  /** Takes one retry from the team's budget; returns false if none is left. */
  spend(team: TeamId, now: Instant): boolean {
    const millisUntilFull = millisUntil(this.fullAt.get(team) ?? NEVER_SPENT, now);
    if (millisUntilFull + REFILL_MILLIS > BURST_RETRIES * REFILL_MILLIS) {
      return false;
    }
    this.fullAt.set(team, deadlineAfter(now, millisUntilFull + REFILL_MILLIS));
    return true;
  }

  /** The time at which the team has a retry available; `now` if it has one already. */
  nextAt(team: TeamId, now: Instant): Deadline {
    const millisUntilFull = millisUntil(this.fullAt.get(team) ?? NEVER_SPENT, now);
    const millisUntilRetry = millisUntilFull - (BURST_RETRIES - 1) * REFILL_MILLIS;
    return deadlineAfter(now, Math.max(0, millisUntilRetry));
  }

  /** Removes the entries of full budgets. */
  sweep(now: Instant): void {
    for (const [team, fullAt] of this.fullAt) {
      if (hasPassed(fullAt, now)) {
        this.fullAt.delete(team);
      }
    }
  }

  /** Number of stored budgets: those that were not full at the last `sweep`, or were used since. */
  get size(): number {
    return this.fullAt.size;
  }
}

/** A budget that was never used is full at any time. */
const NEVER_SPENT = brandAs<Deadline>(0);

/** Decides the delay before a retry. */
export abstract class Backoff {
  /** The time of the retry after `failures` consecutive failures; `failures` must be at least 1. */
  abstract retryAt(failures: number, now: Instant): Deadline;
}

/**
 * Exponential backoff with full jitter: a uniform delay from zero to a bound that doubles with each
 * failure.
 */
export class FullJitter extends Backoff {
  constructor(private readonly random: RandomGenerator) {
    super();
  }

  retryAt(failures: number, now: Instant): Deadline {
    return deadlineAfter(now, uniformInt(this.random, 0, maxDelayMillis(failures)));
  }
}

function maxDelayMillis(failures: number): number {
  return Math.min(MAX_DELAY_MILLIS, BASE_DELAY_MILLIS * 2 ** (failures - 1));
}
