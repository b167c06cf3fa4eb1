/**
 * When callers that were refused should come back. Guards against refused callers that return together: they
 * would be refused together again.
 */

import { MILLIS_PER_SECOND } from '@bamboowell/types/time';
import { hashOf } from './routing.js';

/** Bounds of the time after which a refused caller should try again, seconds. */
const MIN_SECONDS = 1;
const MAX_SECONDS = 5;
/** Number of whole seconds over which those that are refused at the same time are spread. */
const SPREAD_SECONDS = 3;

/**
 * Whole seconds after which to try again. The same caller gets the same answer.
 *
 * @param waitMillis until the work is forecast to be served.
 * @param patienceMillis how long the caller goes on in all: it must have a second left when it returns.
 */
export function retryAfterSeconds(id: string, waitMillis: number, patienceMillis: number): number {
  const latest = clamp(Math.floor(patienceMillis / MILLIS_PER_SECOND) - 1, MAX_SECONDS);
  const wanted = clamp(Math.ceil(waitMillis / MILLIS_PER_SECOND), latest);
  const width = Math.min(SPREAD_SECONDS, latest);
  const earliest = Math.min(wanted, latest - width + 1);
  return earliest + (hashOf([id]) % width);
}

function clamp(seconds: number, latest: number): number {
  return Math.min(latest, Math.max(MIN_SECONDS, seconds));
}
