/** Estimates how long a machine needs to take the cluster's work over. */

import { MILLIS_PER_SECOND } from '@bamboowell/types/time';
import type { Machine } from './settings.js';

/**
 * Data that a takeover moves over the new owner's link: open jobs, workers' run lists and waiting
 * requests, for 250 workers and 300 open jobs.
 */
const TAKEOVER_MEGABITS = 10;
/** Processor time until the new owner serves, for the same load. */
const TAKEOVER_CORE_MILLIS = 30;

/** Returns the expected milliseconds, without the latency of the store. */
export function takeoverMillisOf({ cores, linkMbps }: Machine): number {
  return (TAKEOVER_MEGABITS / linkMbps) * MILLIS_PER_SECOND + TAKEOVER_CORE_MILLIS / cores;
}
