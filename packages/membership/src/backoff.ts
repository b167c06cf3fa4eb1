/** When to dial a member again. */

import { deadlineAfter, type Deadline, type Instant } from '@bamboowell/types/time';

const FIRST_DELAY_MILLIS = 500;
const MAX_DELAY_MILLIS = 10_000;

/**
 * Returns the instant of the next attempt, with full jitter over a delay that doubles with each
 * failure.
 * @param random uniform in [0, 1)
 */
export function nextAttempt(failures: number, now: Instant, random: () => number): Deadline {
  const ceiling = Math.min(MAX_DELAY_MILLIS, FIRST_DELAY_MILLIS * 2 ** Math.min(failures, 16));
  return deadlineAfter(now, Math.ceil(random() * ceiling));
}
