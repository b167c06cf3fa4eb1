/** When runs are expected to end. */

import { NEVER, deadlineAfter, later, type Deadline, type Instant } from '@bamboowell/types/time';
import type { Run, Step } from './model.js';
import { DECLARED_RUN_TIMES, OVERRUN_FACTOR, type RunTimes } from './run-times.js';

/** Progress below this, percent, tells too little about when a run will end. */
const MIN_PERCENT_TO_ESTIMATE = 15;

/**
 * When the run is expected to have ended: by its progress or, as long as that tells too little, by its
 * expected run time. `NEVER` for a lasting task; not before `now`.
 */
export function expectedEndOf(
  run: Run,
  now: Instant,
  runTimes: RunTimes = DECLARED_RUN_TIMES,
): Deadline {
  const soonest = deadlineAfter(now, 0);
  if (run.phase === 'stopping') {
    return soonest;
  }
  if (run.task.step.plan.isLasting) {
    return NEVER;
  }
  return later(soonest, endByProgress(run) ?? endByEstimate(run, now, runTimes));
}

/**
 * By when a run of the step that starts now ends, also if it outlives its estimate; `NEVER` for a lasting task
 * and for one without an estimate.
 */
export function lateEndIfStarted(
  step: Step,
  now: Instant,
  runTimes: RunTimes = DECLARED_RUN_TIMES,
): Deadline {
  const lateMillis = step.plan.isLasting ? 0 : runTimes.lateMillis(step);
  return lateMillis === 0 ? NEVER : deadlineAfter(now, lateMillis);
}

/** When the run will end if it goes on as it did; undefined if its progress tells too little. */
export function endByProgress({ progress, confirmedAt }: Run): Deadline | undefined {
  if (
    progress === undefined ||
    confirmedAt === undefined ||
    progress.percent < MIN_PERCENT_TO_ESTIMATE
  ) {
    return undefined;
  }
  const { percent, lastSeenAt } = progress;
  const millisPerPercent = (lastSeenAt - confirmedAt) / percent;
  return deadlineAfter(lastSeenAt, millisPerPercent * (100 - percent));
}

/** A run that outlives its expected time is expected to be a late one, and then to take ever longer. */
export function endByEstimate(
  { task, worker, confirmedAt }: Run,
  now: Instant,
  runTimes: RunTimes,
): Deadline {
  const begin = confirmedAt ?? now;
  const speed = runTimes.speedOf(worker.id);
  let millis = Math.max(1, runTimes.expectedMillis(task.step) / speed);
  if (begin + millis < now) {
    millis = Math.max(millis, runTimes.lateMillis(task.step) / speed);
  }
  while (begin + millis < now) {
    millis *= OVERRUN_FACTOR;
  }
  return deadlineAfter(begin, millis);
}
