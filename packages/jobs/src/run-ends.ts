/** When runs are expected to end. */

import { NEVER, deadlineAfter, later, type Deadline, type Instant } from '@bamboowell/types/time';
import type { Run, Step } from './model.js';
import { OVERRUN_FACTOR } from './run-times.js';

/** Progress below this, percent, tells too little about when a run will end. */
const MIN_PERCENT_TO_ESTIMATE = 15;
/**
 * When the run is expected to have ended: by its progress or, as long as that tells too little, by its
 * caller's estimate. `NEVER` for a lasting task; not before `now`.
 */
export function expectedEndOf(run: Run, now: Instant): Deadline {
  const soonest = deadlineAfter(now, 0);
  if (run.phase === 'stopping') {
    return soonest;
  }
  if (run.task.step.plan.isLasting) {
    return NEVER;
  }
  return later(soonest, endByProgress(run) ?? endByEstimate(run, now));
}

/**
 * By when a run of the step that starts now ends, also if it outlives its estimate; `NEVER` for a lasting task
 * and for one without an estimate.
 */
export function lateEndIfStarted({ plan }: Step, now: Instant): Deadline {
  return plan.isLasting || plan.estimateMillis === 0
    ? NEVER
    : deadlineAfter(now, OVERRUN_FACTOR * plan.estimateMillis);
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

function endByEstimate({ task, confirmedAt }: Run, now: Instant): Deadline {
  const begin = confirmedAt ?? now;
  let estimateMillis = Math.max(1, task.step.plan.estimateMillis);
  while (begin + estimateMillis < now) {
    estimateMillis *= OVERRUN_FACTOR;
  }
  return deadlineAfter(begin, estimateMillis);
}
