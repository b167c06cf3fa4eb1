/** How long a machine takes to take the cluster's work over. Pure. */

import { MILLIS_PER_SECOND } from '@bamboowell/types/time';
import type { Machine } from './settings.js';

/** What a takeover brings over the new owner's link: the open jobs, the workers' lists, requests that wait. From the figures of members with 250 workers and 300 open jobs. */
const TAKEOVER_MEGABITS = 10;
/** Processor time until the new owner serves, core-milliseconds; from the same figures. */
const TAKEOVER_CORE_MILLIS = 30;

/** Milliseconds; what the store takes is not in it. */
export function takeoverMillisOf({ cores, linkMbps }: Machine): number {
  return (TAKEOVER_MEGABITS / linkMbps) * MILLIS_PER_SECOND + TAKEOVER_CORE_MILLIS / cores;
}
