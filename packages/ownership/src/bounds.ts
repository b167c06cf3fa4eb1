/** Lengths of time that ownership rests on. `docs/design/ownership.md` derives them. */

/** Interval at which a member sends heartbeats, milliseconds. */
export const HEARTBEAT_INTERVAL_MILLIS = 1000;

/** Interval at which a member sends heartbeats to other regions, milliseconds. */
export const REMOTE_HEARTBEAT_INTERVAL_MILLIS = 2 * HEARTBEAT_INTERVAL_MILLIS;

/** Longest interval between the reports that heartbeats carry, milliseconds. */
export const REPORT_INTERVAL_MILLIS = 500;

/** Silence after which a member is suspected, milliseconds. */
export const SUSPECT_AFTER_MILLIS = 3500;

/** Gap between a process's own ticks that counts as a pause of that process, milliseconds. */
export const PAUSE_THRESHOLD_MILLIS = 2 * HEARTBEAT_INTERVAL_MILLIS;

/** Age up to which a read of the log, or a member's statement, counts as fresh, milliseconds. */
export const FRESHNESS_WINDOW_MILLIS = 4000;

/** Most by which two monotonic clocks differ over `FRESH_MILLIS`, milliseconds. */
export const MAX_CLOCK_DRIFT_MILLIS = 100;

/** Time after a claim was read back until no earlier owner can be fresh, milliseconds. */
export const HANDOVER_DELAY_MILLIS = FRESHNESS_WINDOW_MILLIS + MAX_CLOCK_DRIFT_MILLIS;

/**
 * Longest lease, milliseconds. After that long, whatever a forgotten incarnation of a member
 * started has stopped, unless somebody who knows its epoch has renewed it.
 */
export const MAX_LEASE_MILLIS = 30_000;

/** Delay between the claims of two neighbours in the ranking, milliseconds. */
export const CLAIM_STAGGER_MILLIS = 1000;

/** Age up to which configuration counts as fresh, milliseconds. */
export const CONFIGURATION_FRESHNESS_WINDOW_MILLIS = 5000;
