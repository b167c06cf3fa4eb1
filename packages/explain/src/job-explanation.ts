/** What became of one job: a timeline and its findings. */

import type { LoggedEvent } from '@bamboowell/logger/parse-line';
import { findingsOf } from './findings.js';
import type { JobEventCollector } from './job-event-collector.js';
import { sortedByTime, fieldOf } from './phases.js';

export interface TimelineRow {
  /** Since the first line that names the job, milliseconds. */
  readonly afterMillis: number;
  readonly member: string;
  readonly event: string;
  /** The other fields as `key=value`. */
  readonly detail: string;
}

export interface JobExplanation {
  readonly rows: readonly TimelineRow[];
  readonly findings: readonly string[];
}

/** Fields that each line has, or that every line of the story shares. */
const OWN_CELLS = new Set(['event', 'at', 'member', 'job']);

export function explanationOf({
  jobEvents: ofJob,
  contextEvents: context,
  dropped,
}: JobEventCollector): JobExplanation {
  const events = sortedByTime(ofJob);
  const from = events[0]?.at ?? 0;
  const rows = events.map((event) => ({
    afterMillis: event.at - from,
    member: fieldOf(event, 'member'),
    event: event.name,
    detail: detailOf(event),
  }));
  const findings = findingsOf(events, sortedByTime(context));
  const note = dropped === 0 ? [] : [`${dropped} lines about owners and the store were left out`];
  return { rows, findings: [...findings, ...note] };
}

function detailOf({ fields }: LoggedEvent): string {
  return [...fields]
    .filter(([key]) => !OWN_CELLS.has(key))
    .map(([key, value]) => `${key}=${value}`)
    .join(' ');
}
