/**
 * Collects the events of one job, and those about owners, members, workers, the store and the
 * configuration that may explain them.
 */

import { parseLine, type LoggedEvent } from '@bamboowell/logger/parse-line';

/** Events that name no job but may explain what happened to one. */
const CONTEXT_EVENTS = new Set([
  'owner.suspected',
  'owner.lost',
  'owner.ended',
  'owner.claiming',
  'owner.elected',
  'owner.ready',
  'owner.stood_down',
  'store.suspected',
  'store.lost',
  'store.regained',
  'append.failed',
  'append.out_of_sequence',
  'member.starting',
  'member.stopping',
  'task.failed',
  'configuration.adopted',
  'worker.unreachable',
  'worker.unlisted',
]);

/** Limit on the context events held in memory. The logs of a day have a few thousand. */
const MAX_CONTEXT_EVENTS = 50_000;

export class JobEventCollector {
  readonly jobEvents: LoggedEvent[] = [];
  readonly contextEvents: LoggedEvent[] = [];
  /** Number of context events left out because of the limit. */
  dropped = 0;

  constructor(private readonly job: string) {}

  /** Takes one log line. A line belongs to the job if the job's id occurs anywhere in it. */
  add(line: string): void {
    const namesJob = line.includes(this.job);
    const event = namesJob || line.includes('event=') ? parseLine(line) : undefined;
    if (event === undefined) {
      return;
    }
    if (namesJob) {
      this.jobEvents.push(event);
    } else if (CONTEXT_EVENTS.has(event.name)) {
      this.addContext(event);
    }
  }

  private addContext(event: LoggedEvent): void {
    if (this.contextEvents.length < MAX_CONTEXT_EVENTS) {
      this.contextEvents.push(event);
    } else {
      this.dropped += 1;
    }
  }
}
