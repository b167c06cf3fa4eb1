/** Explains what happened to one job: a timeline of its events, and findings. */

import type { LoggedEvent } from '@bamboowell/logger/parse-line';
import { findingsOf } from './findings.js';
import type { JobEventCollector } from './job-event-collector.js';
import { sortedByTime, fieldOf } from './phases.js';

export interface TimelineRow {
  /** Milliseconds since the first event of the job. */
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

/**
 * Fields that are left out of `detail`: those with a column of their own, and the job, which all
 * rows share.
 */
const OMITTED_FIELDS = new Set(['event', 'at', 'member', 'job']);

export function explanationOf({
  jobEvents,
  contextEvents,
  dropped,
}: JobEventCollector): JobExplanation {
  const events = sortedByTime(jobEvents);
  const firstAt = events[0]?.at ?? 0;
  const rows = events.map((event) => ({
    afterMillis: event.at - firstAt,
    member: fieldOf(event, 'member'),
    event: event.name,
    detail: detailOf(event),
  }));
  const findings = findingsOf(events, sortedByTime(contextEvents));
  const note =
    dropped === 0
      ? []
      : [
          `${dropped} lines about owners, members, workers, the store and the configuration were left out`,
        ];
  return { rows, findings: [...findings, ...note] };
}

function detailOf({ fields }: LoggedEvent): string {
  return [...fields]
    .filter(([key]) => !OMITTED_FIELDS.has(key))
    .map(([key, value]) => `${key}=${value}`)
    .join(' ');
}
