/** Time settings of an owner. */

import { MILLIS_PER_MINUTE, MILLIS_PER_SECOND } from '@bamboowell/types/time';

export interface OwnerSettings {
  /** Length of a lease on a worker, milliseconds of the worker's clock. */
  readonly leaseMillis: number;
  /** Interval between renewals of a worker's leases, milliseconds. */
  readonly renewMillis: number;
  /** Maximum time that an owner acts without a read of the log's tail, milliseconds. */
  readonly freshnessWindowMillis: number;
  /** Maximum time that leases are renewed while the log is down, milliseconds. */
  readonly outageRenewalMillis: number;
  /** Time after a worker's last heartbeat within which it accepts a start, milliseconds. */
  readonly startTimeoutMillis: number;
  /** Delay between a void `take` and the next one for the same team, milliseconds. */
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

/** Workers' clocks run at most one part in this many faster or slower than ours. */
export const CLOCK_DRIFT_DIVISOR = 100;

/** Other members' clocks run at most one part in this many faster or slower than ours. */
export const MEMBER_CLOCK_DRIFT_DIVISOR = 40;

/** The longest time on our clock that `millis` on another member's clock can take. */
export function withMaxMemberClockDrift(millis: number): number {
  return millis + Math.ceil(millis / MEMBER_CLOCK_DRIFT_DIVISOR);
}

/** The longest time on our clock that `millis` on a worker's clock can take. */
export function withMaxClockDrift(millis: number): number {
  return millis + Math.ceil(millis / CLOCK_DRIFT_DIVISOR);
}
