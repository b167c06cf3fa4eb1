/** Plans when and where a gang that has no room now is expected to start. */

import { add, type Resources } from '@bamboowell/types/resources';
import { NEVER, deadlineAfter, type Deadline, type Instant } from '@bamboowell/types/time';
import { countFitting, type AvailableWorker } from './available-workers.js';
import { allocationOf, type Step, type Worker } from './model.js';
import { expectedEndOf } from './run-ends.js';

export interface GangPlan {
  /** When there is expected to be room for all its tasks. */
  readonly startsAt: Deadline;
  readonly tasksByWorker: ReadonlyMap<Worker, number>;
}

/** A worker, and what ends there when. */
interface Outlook {
  readonly candidate: AvailableWorker;
  readonly ends: readonly RunEnd[];
}

interface RunEnd {
  readonly at: Deadline;
  readonly frees: Resources;
}

/**
 * The earliest plan by the expected ends of the runs on the candidates; undefined if these runs leave no room
 * for the gang when all are over that end by themselves.
 */
export function planGang(
  step: Step,
  candidates: readonly AvailableWorker[],
  now: Instant,
): GangPlan | undefined {
  const outlooks = candidates.map((candidate) => outlookOf(candidate, now));
  const hasRoomAt = (at: Deadline): boolean => {
    let missing = step.plan.count;
    for (const outlook of outlooks) {
      missing -= tasksThatFitAt(step, outlook, at);
      if (missing <= 0) {
        return true;
      }
    }
    return false;
  };
  const instants = outlooks
    .flatMap(({ ends }) => ends.map(({ at }) => at))
    .filter((at) => at !== NEVER)
    .sort((left, right) => left - right);
  const startsAt = firstThat([deadlineAfter(now, 0), ...instants], hasRoomAt);
  return startsAt === undefined
    ? undefined
    : { startsAt, tasksByWorker: distribute(step, outlooks, startsAt) };
}

/** The free resources of the worker at that time, if nothing more is started there. */
export function freeAt(candidate: AvailableWorker, at: Deadline, now: Instant): Resources {
  return freeOnceEnded(outlookOf(candidate, now), at);
}

function outlookOf(candidate: AvailableWorker, now: Instant): Outlook {
  const ends = [...candidate.worker.runs.values()].map((run) => ({
    at: expectedEndOf(run, now),
    frees: allocationOf(run.task.step.plan),
  }));
  return { candidate, ends };
}

function freeOnceEnded({ candidate, ends }: Outlook, at: Deadline): Resources {
  return ends
    .filter((end) => end.at <= at)
    .reduce((free, { frees }) => add(free, frees), candidate.free);
}

function tasksThatFitAt({ plan }: Step, outlook: Outlook, at: Deadline): number {
  return countFitting(allocationOf(plan), freeOnceEnded(outlook, at), plan.maxPerWorker);
}

/** The first of the sorted instants at which the condition holds; once it holds, it holds for all later ones. */
function firstThat(
  instants: readonly Deadline[],
  holds: (at: Deadline) => boolean,
): Deadline | undefined {
  let low = 0;
  let high = instants.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    const at = instants[middle];
    if (at !== undefined && holds(at)) {
      high = middle;
    } else {
      low = middle + 1;
    }
  }
  return instants[low];
}

/** Workers on which most tasks fit come first, then those with the most free cores. */
function distribute(
  step: Step,
  outlooks: readonly Outlook[],
  at: Deadline,
): ReadonlyMap<Worker, number> {
  const ranked = outlooks
    .map((outlook) => ({
      candidate: outlook.candidate,
      tasks: tasksThatFitAt(step, outlook, at),
    }))
    .sort(
      (left, right) =>
        right.tasks - left.tasks ||
        right.candidate.free.millicores - left.candidate.free.millicores,
    );
  const tasksByWorker = new Map<Worker, number>();
  let missing = step.plan.count;
  for (const { candidate, tasks } of ranked) {
    const share = Math.min(tasks, missing);
    if (share > 0) {
      tasksByWorker.set(candidate.worker, share);
      missing -= share;
    }
  }
  return tasksByWorker;
}
