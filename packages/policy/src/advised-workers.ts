/**
 * Selects the workers that a call for advice asks about. Each worker makes the call take longer,
 * and the adviser grants only some of them.
 */

import type { WorkerId } from '@bamboowell/types/ids';

/** Maximum number of workers in one call; the platform accepts no more. */
export const MAX_ADVICE_WORKERS = 100;
/**
 * Minimum number of workers in one call, also if fewer would be enough: the platform expects calls
 * of this size.
 */
export const MIN_ADVICE_WORKERS = 30;
/**
 * Workers are selected for this multiple of the tasks, as some of them fill up before the advice
 * arrives.
 */
export const SPARE_FACTOR = 2;

/**
 * A worker without room counts for so many tasks of a gang, which gathers room on the workers that advice
 * allows. Asking about more of them at once takes less time than a second call.
 */
const GANG_TASKS_ON_FULL_WORKER = 1;

/** A worker that the call may ask about. */
export interface AdviceCandidate {
  readonly worker: WorkerId;
  /** Number of tasks of the step that fit on the worker now. */
  readonly fittingTasks: number;
  readonly freeMillicores: number;
  /** Whether earlier advice already allows the step on the worker. */
  readonly isAllowed: boolean;
}

/** The step that needs advice. */
export interface AdviceNeed {
  readonly tasks: number;
  /** Whether all tasks must start together. */
  readonly isGang: boolean;
  /** Usual fraction of the workers in a call that the adviser grants, from 0 to 1. */
  readonly grantedFraction: number;
}

/**
 * Workers on which a task fits come first, then the others with the most free cores; of these only a gang
 * needs more than the minimum. Selects workers in this order until the expected grants cover `SPARE_FACTOR` times the tasks, but at
 * least `MIN_ADVICE_WORKERS` and at most `MAX_ADVICE_WORKERS`.
 */
export function workersForAdvice(candidates: readonly AdviceCandidate[], need: AdviceNeed) {
  const ranked = [...candidates].sort((left, right) => compareCandidates(left, right, need));
  const wantedTasks = SPARE_FACTOR * need.tasks;
  const selected: WorkerId[] = [];
  let expectedTasks = 0;
  for (const { worker, fittingTasks, isAllowed } of ranked) {
    const usableTasks =
      need.isGang && fittingTasks === 0 ? GANG_TASKS_ON_FULL_WORKER : fittingTasks;
    const isEnough = expectedTasks >= wantedTasks || usableTasks === 0;
    if (
      selected.length >= MAX_ADVICE_WORKERS ||
      (isEnough && selected.length >= MIN_ADVICE_WORKERS)
    ) {
      break;
    }
    selected.push(worker);
    expectedTasks += usableTasks * (isAllowed ? 1 : need.grantedFraction);
  }
  return selected;
}

function compareCandidates(
  left: AdviceCandidate,
  right: AdviceCandidate,
  { isGang }: AdviceNeed,
): number {
  const byFit = Number(right.fittingTasks > 0) - Number(left.fittingTasks > 0);
  if (byFit !== 0) {
    return byFit;
  }
  const byAllowance = Number(right.isAllowed) - Number(left.isAllowed);
  if (byAllowance !== 0) {
    return byAllowance;
  }
  // Tasks that may start individually go to nearly full workers, so that large gaps stay free for
  // gangs.
  const prefersFullWorkers = left.fittingTasks > 0 && !isGang;
  const byFreeCores = right.freeMillicores - left.freeMillicores;
  return prefersFullWorkers ? -byFreeCores : byFreeCores;
}
