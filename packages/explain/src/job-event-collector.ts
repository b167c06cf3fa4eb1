/** Keeps, of all log lines, those that concern a job or that tell what the members were going through. */

import { parseLine, type LoggedEvent } from '@bamboowell/logger/parse-line';

/** Events without a job that may explain what happens to one. */
const CONTEXT = new Set([
  'owner.lost',
  'owner.ended',
  'owner.claiming',
  'owner.elected',
  'owner.ready',
  'owner.stood_down',
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

/** Context lines that are kept; a day has a few thousand. */
const MAX_CONTEXT = 50_000;

export class JobEventCollector {
  readonly jobEvents: LoggedEvent[] = [];
  readonly contextEvents: LoggedEvent[] = [];
  /** Context lines beyond what is kept. */
  dropped = 0;

  constructor(private readonly job: string) {}

  add(line: string): void {
    const isOfJob = line.includes(this.job);
    const event = isOfJob || line.includes('event=') ? parseLine(line) : undefined;
    if (event === undefined) {
      return;
    }
    if (isOfJob) {
      this.jobEvents.push(event);
    } else if (CONTEXT.has(event.name)) {
      this.addContext(event);
    }
  }

  private addContext(event: LoggedEvent): void {
    if (this.contextEvents.length < MAX_CONTEXT) {
      this.contextEvents.push(event);
    } else {
      this.dropped += 1;
    }
  }
}
