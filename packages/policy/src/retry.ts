/** How often and when failed work is tried again. */

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

/** Retries that a team may make at once after a quiet time. */
export const BURST_RETRIES = 50;
/** Length of time in which a team regains one retry. */
export const REFILL_MILLIS = 200;
/** Longest first delay of a retry. */
export const BASE_DELAY_MILLIS = 100;
/** Longest delay of any retry. */
export const MAX_DELAY_MILLIS = 30_000;

/** A token bucket for each team, kept as the instant at which it is full again. */
export class RetryBudgets {
  private readonly fullAt = new Map<TeamId, Deadline>();

  /** Takes one retry from the team's budget; false if none is left. */
  spend(team: TeamId, now: Instant): boolean {
    const missingMillis = millisUntil(this.fullAt.get(team) ?? NEVER_SPENT, now);
    if (missingMillis + REFILL_MILLIS > BURST_RETRIES * REFILL_MILLIS) {
      return false;
    }
    this.fullAt.set(team, deadlineAfter(now, missingMillis + REFILL_MILLIS));
    return true;
  }

  /** When the team has a retry again; `now` if it has one. */
  nextAt(team: TeamId, now: Instant): Deadline {
    const missingMillis = millisUntil(this.fullAt.get(team) ?? NEVER_SPENT, now);
    const surplus = missingMillis - (BURST_RETRIES - 1) * REFILL_MILLIS;
    return deadlineAfter(now, Math.max(0, surplus));
  }

  /** Drops the budgets that are full. */
  sweep(now: Instant): void {
    for (const [team, fullAt] of this.fullAt) {
      if (hasPassed(fullAt, now)) {
        this.fullAt.delete(team);
      }
    }
  }

  /** Number of budgets that are not known to be full. */
  get size(): number {
    return this.fullAt.size;
  }
}

const NEVER_SPENT = brandAs<Deadline>(0);

/** A rule for the delay before a retry. */
export abstract class Backoff {
  /** When to try again after so many failures in a row, at least 1. */
  abstract retryAt(failures: number, now: Instant): Deadline;
}

/** A delay drawn evenly from zero to a bound that doubles with each failure. */
export class FullJitter extends Backoff {
  constructor(private readonly random: RandomGenerator) {
    super();
  }

  retryAt(failures: number, now: Instant): Deadline {
    return deadlineAfter(now, uniformInt(this.random, 0, longestDelayMillis(failures)));
  }
}

function longestDelayMillis(failures: number): number {
  return Math.min(MAX_DELAY_MILLIS, BASE_DELAY_MILLIS * 2 ** (failures - 1));
}
