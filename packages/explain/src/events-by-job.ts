/** Groups the events in members' logs by the job that they concern. */

import { parseLine, type LoggedEvent } from '@bamboowell/logger/parse-line';
import { fieldOf } from './phases.js';

/**
 * Limit on the jobs held in memory. The logs of a day with 130,000 jobs have to be read in parts.
 */
const MAX_JOBS = 50_000;

export class EventsByJob {
  readonly jobs = new Map<string, LoggedEvent[]>();
  /** Number of events about jobs beyond the limit. */
  dropped = 0;

  add(line: string): void {
    const event = parseLine(line);
    const job = event === undefined ? undefined : jobOf(event);
    if (event === undefined || job === undefined) {
      return;
    }
    const existing = this.jobs.get(job);
    if (existing !== undefined) {
      existing.push(event);
    } else if (this.jobs.size < MAX_JOBS) {
      this.jobs.set(job, [event]);
    } else {
      this.dropped += 1;
    }
  }
}

/**
 * Returns the id of the job that an event concerns, as its job, task, step or path says; undefined
 * if it concerns none.
 */
function jobOf(event: LoggedEvent): string | undefined {
  const taskOrStep = fieldOf(event, 'task') || fieldOf(event, 'step');
  const id = fieldOf(event, 'job') || taskOrStep.slice(0, Math.max(0, taskOrStep.indexOf('.')));
  const lastPathSegment = fieldOf(event, 'path').split('/').at(-1) ?? '';
  return id || lastPathSegment || undefined;
}
