/** What is lost while a step waits. */

import type { JobContext } from './context.js';
import { allocationOf, waitingTasks, type Step } from './model.js';
import { MAX_LATENESS_FACTOR, latencyObjectiveMillis, sizeOf } from './ordering.js';

/** Fraction of its value that a job keeps once it is past its objective. */
const LATE_VALUE_FRACTION = 0.2;
/** Less time than this, milliseconds, is about what a start takes. */
const MIN_SLACK_MILLIS = 100;

/**
 * Value that the step's job loses for each millisecond of delay and each core that the step needs. The value of
 * a job is its size. It falls to a fifth at the job's objective and to nothing at three times that; the loss is
 * spread over the time that is left until the next fall.
 */
export function costOfDelay(step: Step, context: JobContext): number {
  const { job, occurrence } = step;
  const value = occurrence.steps.reduce((sum, each) => sum + sizeOf(each, context.runTimes), 0);
  const millicores = waitingTasks(step).length * allocationOf(step.plan).millicores;
  const objectiveMillis = latencyObjectiveMillis(step, context.runTimes);
  const endsAfter = context.wall - job.acceptedAt + remainingMillis(step, context);
  const slack = objectiveMillis - endsAfter;
  const lateSlack = MAX_LATENESS_FACTOR * objectiveMillis - endsAfter;
  const cores = Math.max(1, millicores / 1000);
  if (slack >= 0) {
    return ((1 - LATE_VALUE_FRACTION) * value) / cores / Math.max(MIN_SLACK_MILLIS, slack);
  }
  return lateSlack < 0
    ? 0
    : (LATE_VALUE_FRACTION * value) / cores / Math.max(MIN_SLACK_MILLIS, lateSlack);
}

/** Expected run time along the longest chain of steps that begins with this one. */
function remainingMillis(step: Step, { runTimes }: JobContext): number {
  const ends = new Map<number, number>([[step.index, runTimes.expectedMillis(step)]]);
  let longest = ends.get(step.index) ?? 0;
  for (const later of step.occurrence.steps.slice(step.index + 1)) {
    const begins = later.plan.after.flatMap((index) => ends.get(index) ?? []);
    if (begins.length > 0) {
      const end = Math.max(...begins) + runTimes.expectedMillis(later);
      ends.set(later.index, end);
      longest = Math.max(longest, end);
    }
  }
  return longest;
}
