/**
 * Whether the ticket of a start is still valid when the start arrives. Guards against starts that were recorded
 * before an outage of the store and sent after it: their workers rejected 413 of them, and each cost its step
 * an answer and its worker's room meanwhile.
 */

import type { Instant } from '@bamboowell/types/time';
import type { Run } from './model.js';

/**
 * A start may take this long to a worker in another region that is busy. It is less than what a ticket has left
 * when it is used, less the time that a record takes to be stored.
 */
const START_TRANSIT_MILLIS = 100;

/** A gang starts only together: the ticket of each of its runs must last. */
export function expiresInTransit(run: Run, now: Instant): boolean {
  const { step } = run.task;
  const runs = step.plan.isGang
    ? step.tasks.flatMap((task) => task.runs.filter(({ number }) => number === run.number))
    : [run];
  return runs.some(({ grant }) => grant !== undefined && grant.until - now <= START_TRANSIT_MILLIS);
}
