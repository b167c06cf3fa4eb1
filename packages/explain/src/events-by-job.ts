/** Groups the lines of members' logs by the job that they concern. */

import { parseLine, type LoggedEvent } from '@bamboowell/logger/parse-line';
import { fieldOf } from './phases.js';

/** Jobs whose lines are kept; a day of 130,000 jobs is read in parts. */
const MAX_JOBS = 50_000;

export class EventsByJob {
  readonly jobs = new Map<string, LoggedEvent[]>();
  /** Lines about further jobs. */
  dropped = 0;

  add(line: string): void {
    const event = parseLine(line);
    const job = event === undefined ? undefined : jobOf(event);
    if (event === undefined || job === undefined) {
      return;
    }
    const known = this.jobs.get(job);
    if (known !== undefined) {
      known.push(event);
    } else if (this.jobs.size < MAX_JOBS) {
      this.jobs.set(job, [event]);
    } else {
      this.dropped += 1;
    }
  }
}

/** The job that an event is about; absent if it is about none. */
function jobOf(event: LoggedEvent): string | undefined {
  const part = fieldOf(event, 'task') || fieldOf(event, 'step');
  const name = fieldOf(event, 'job') || part.slice(0, Math.max(0, part.indexOf('.')));
  const last = fieldOf(event, 'path').split('/').at(-1) ?? '';
  return name || last || undefined;
}
