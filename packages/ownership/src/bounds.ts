/** Timing constants of shard ownership. `docs/design/ownership.md` derives them. */

/** Interval between a member's heartbeats, milliseconds. */
export const HEARTBEAT_INTERVAL_MILLIS = 1000;

/** Interval between a member's heartbeats to members of other regions, milliseconds. */
export const REMOTE_HEARTBEAT_INTERVAL_MILLIS = 2 * HEARTBEAT_INTERVAL_MILLIS;

/** Maximum interval between two updates of the state that heartbeats carry, milliseconds. */
export const REPORT_INTERVAL_MILLIS = 500;

/** Time without a heartbeat after which a member is suspected, milliseconds. */
export const SUSPECT_AFTER_MILLIS = 3500;

/** Gap between two ticks of a process that counts as a pause of that process, milliseconds. */
export const PAUSE_THRESHOLD_MILLIS = 2 * HEARTBEAT_INTERVAL_MILLIS;

/** Age up to which a log read or a member's statement counts as fresh, milliseconds. */
export const FRESHNESS_WINDOW_MILLIS = 4000;

/** Maximum drift between two monotonic clocks within `FRESHNESS_WINDOW_MILLIS`, milliseconds. */
export const MAX_CLOCK_DRIFT_MILLIS = 100;

/** Time from reading a claim back until no earlier owner can be fresh, milliseconds. */
export const HANDOVER_DELAY_MILLIS = FRESHNESS_WINDOW_MILLIS + MAX_CLOCK_DRIFT_MILLIS;

/**
 * Maximum length of a lease, milliseconds. A restarted member doesn't know what its earlier
 * incarnations started; all of it has stopped after this time, unless a member that knows the
 * epoch has renewed the leases.
 */
export const MAX_LEASE_MILLIS = 30_000;

/** Delay between the claims of two successive members in the claim order, milliseconds. */
export const CLAIM_STAGGER_MILLIS = 1000;

/** Age up to which the configuration counts as fresh, milliseconds. */
export const CONFIGURATION_FRESHNESS_WINDOW_MILLIS = 5000;
