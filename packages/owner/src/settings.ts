/** Lengths of time that an owner works with. */

import { MILLIS_PER_MINUTE, MILLIS_PER_SECOND } from '@bamboowell/types/time';

export interface OwnerSettings {
  /** Length of a lease on a worker, milliseconds of the worker's clock. */
  readonly leaseMillis: number;
  /** From one renewal to the next, milliseconds. */
  readonly renewMillis: number;
  /** Longest time that an owner acts without having read the log's tail, milliseconds. */
  readonly freshnessWindowMillis: number;
  /** Longest time that leases are renewed while the log is down, milliseconds. */
  readonly outageRenewalMillis: number;
  /** A start that reaches the worker later than this after its last heartbeat is refused. */
  readonly startTimeoutMillis: number;
  /** From a void take to the next one for the same team, milliseconds. */
  readonly takeRetryMillis: number;
}

export const DEFAULT_OWNER_SETTINGS: OwnerSettings = {
  leaseMillis: 15 * MILLIS_PER_SECOND,
  renewMillis: 5 * MILLIS_PER_SECOND,
  freshnessWindowMillis: 3 * MILLIS_PER_SECOND,
  outageRenewalMillis: 120 * MILLIS_PER_MINUTE,
  startTimeoutMillis: 5 * MILLIS_PER_SECOND,
  takeRetryMillis: MILLIS_PER_SECOND,
};

/** Clocks of workers run at most one in this many faster or slower than ours. */
export const CLOCK_DRIFT_DIVISOR = 100;

/** The longest time, by our clock, that `millis` of a worker's clock can take. */
export function withMaxClockDrift(millis: number): number {
  return millis + Math.ceil(millis / CLOCK_DRIFT_DIVISOR);
}
