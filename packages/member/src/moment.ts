/**
 * Moments by both clocks of a process. The monotonic clock stands still while the machine is suspended, and
 * the time of day may be set.
 */

import type { Instant } from '@bamboowell/types/time';

export interface Moment {
  readonly at: Instant;
  /** The time of day, milliseconds since 1970. */
  readonly wallMillis: number;
}

/** The later of two moments of one process; `left` may be undefined. */
export function laterMoment(left: Moment | undefined, right: Moment): Moment {
  return left === undefined || left.at < right.at ? right : left;
}

/** Milliseconds from one moment to a later one, by the clock that shows more. */
export function millisBetween(start: Moment, end: Moment): number {
  return Math.max(end.at - start.at, Math.abs(end.wallMillis - start.wallMillis));
}
