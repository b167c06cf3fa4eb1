/**
 * Points in time. State stores deadlines, not durations; durations are named constants or plain
 * numbers whose names end in `Millis`.
 */

import { brandAs, type Branded } from './ids.js';

/** A reading of this process's monotonic clock, milliseconds. Comparable within one process. */
export type Instant = Branded<number, 'Instant'>;

/** The instant at which something stops being allowed or useful, milliseconds. */
export type Deadline = Branded<number, 'Deadline'>;

/** A reading of a worker's own monotonic clock, milliseconds. Comparable for one incarnation. */
export type WorkerInstant = Branded<number, 'WorkerInstant'>;

export const MILLIS_PER_SECOND = 1000;
export const MILLIS_PER_MINUTE = 60 * MILLIS_PER_SECOND;

/** A deadline that never passes. */
export const NEVER: Deadline = brandAs<Deadline>(Number.MAX_SAFE_INTEGER);

/** The deadline `millis` after `instant`. */
export function deadlineAfter(instant: Instant, millis: number): Deadline {
  return brandAs<Deadline>(instant + millis);
}

/** Whether the deadline has passed at `now`. */
export function hasPassed(deadline: Deadline, now: Instant): boolean {
  return now >= deadline;
}

/** Milliseconds from `now` until the deadline; zero once it has passed. */
export function millisUntil(deadline: Deadline, now: Instant): number {
  return Math.max(0, deadline - now);
}

export function earlier(left: Deadline, right: Deadline): Deadline {
  return left < right ? left : right;
}

export function later(left: Deadline, right: Deadline): Deadline {
  return left >= right ? left : right;
}
