/** Builds log lines of members. */

import { lineOf, type Fields } from '@bamboowell/logger/line';
import { JobEventCollector } from './job-event-collector.js';

export const JOB = '5c0e7a21d94b36f8';

/** Formats an event that a member logs `at` milliseconds after the start of the log. */
export function logLine(at: number, member: string, name: string, fields: Fields = {}): string {
  return lineOf(name, { at: 1_700_000_000_000 + at, member, ...fields });
}

/** What an owner logs about a job whose single task succeeds in its first run. */
export function completedJobLines(): string[] {
  const task = `${JOB}.0.0.0`;
  return [
    logLine(0, 'm1', 'job.taken', { job: JOB, queue: 'q', excess: false }),
    logLine(30, 'm1', 'advice.taken', { step: `${JOB}.0.0`, granted: 5 }),
    logLine(50, 'm1', 'task.placed', { task, run: 1, worker: 'w1' }),
    logLine(700, 'm1', 'task.ended', { task, run: 1, worker: 'w1', end: 'done' }),
    logLine(701, 'm1', 'job.ended', {
      job: JOB,
      state: 'completed',
      reason: 'all tasks done',
      afterMillis: 701,
    }),
  ];
}

export function collectorOf(lines: readonly string[]): JobEventCollector {
  const collector = new JobEventCollector(JOB);
  lines.forEach((line) => {
    collector.add(line);
  });
  return collector;
}
