/** Plans when and where a gang that has no room now is expected to start. */

import { add, type Resources } from '@bamboowell/types/resources';
import { NEVER, deadlineAfter, type Deadline, type Instant } from '@bamboowell/types/time';
import { countFitting, type AvailableWorker } from './available-workers.js';
import { allocationOf, type Step, type Worker } from './model.js';
import { expectedEndOf } from './run-ends.js';
import type { RunTimes } from './run-times.js';

export interface GangPlan {
  /** When there is expected to be room for all its tasks. */
  readonly startsAt: Deadline;
  readonly tasksByWorker: ReadonlyMap<Worker, number>;
}

/** A worker, and when its runs are expected to end, in order; without those that never do. */
export interface Outlook {
  readonly candidate: AvailableWorker;
  readonly ends: readonly RunEnd[];
}

interface RunEnd {
  readonly at: Deadline;
  readonly frees: Resources;
}

/** From then on so many more tasks of the gang fit on the worker. */
interface Gain {
  readonly at: Deadline;
  readonly tasks: number;
  readonly candidate: AvailableWorker;
}

/**
 * The earliest plan by the expected ends of the runs on the candidates; undefined if these runs leave no room
 * for the gang when all are over that end by themselves.
 */
export function planGang(
  step: Step,
  candidates: readonly Outlook[],
  now: Instant,
): GangPlan | undefined {
  const gains = candidates
    .flatMap((outlook) => gainsOf(step, outlook, now))
    .sort((left, right) => left.at - right.at);
  let missing = step.plan.count;
  const last = gains.find(({ tasks }) => {
    missing -= tasks;
    return missing <= 0;
  });
  if (last === undefined) {
    return undefined;
  }
  const startsAt = last.at;
  const usable = gains.filter(({ at }) => at <= startsAt);
  return { startsAt, tasksByWorker: distribute(step.plan.count, usable) };
}

export function outlookOf(candidate: AvailableWorker, now: Instant, runTimes?: RunTimes): Outlook {
  const ends = [...candidate.worker.runs.values()]
    .map((run) => ({
      at: expectedEndOf(run, now, runTimes),
      frees: allocationOf(run.task.step.plan),
    }))
    .filter(({ at }) => at !== NEVER)
    .sort((left, right) => left.at - right.at);
  return { candidate, ends };
}

/** The free resources of the worker at that time, if nothing more is started there. */
export function freeAt({ candidate, ends }: Outlook, at: Deadline): Resources {
  return ends
    .filter((end) => end.at <= at)
    .reduce((free, { frees }) => add(free, frees), candidate.free);
}

function gainsOf({ plan }: Step, { candidate, ends }: Outlook, now: Instant): Gain[] {
  const demand = allocationOf(plan);
  let { free } = candidate;
  let fitting = countFitting(demand, free, plan.maxPerWorker);
  const gains: Gain[] = [];
  if (fitting > 0) {
    gains.push({ at: deadlineAfter(now, 0), tasks: fitting, candidate });
  }
  for (const { at, frees } of ends) {
    free = add(free, frees);
    const fittingThen = countFitting(demand, free, plan.maxPerWorker);
    if (fittingThen > fitting) {
      gains.push({ at, tasks: fittingThen - fitting, candidate });
      fitting = fittingThen;
    }
  }
  return gains;
}

/** Workers on which most tasks fit come first, then those with the most free cores. */
function distribute(count: number, gains: readonly Gain[]): ReadonlyMap<Worker, number> {
  const fitting = new Map<AvailableWorker, number>();
  for (const { candidate, tasks } of gains) {
    fitting.set(candidate, (fitting.get(candidate) ?? 0) + tasks);
  }
  const ranked = [...fitting].sort(
    ([left, leftTasks], [right, rightTasks]) =>
      rightTasks - leftTasks || right.free.millicores - left.free.millicores,
  );
  const tasksByWorker = new Map<Worker, number>();
  let missing = count;
  for (const [{ worker }, tasks] of ranked) {
    const share = Math.min(tasks, missing);
    if (share > 0) {
      tasksByWorker.set(worker, share);
      missing -= share;
    }
  }
  return tasksByWorker;
}
