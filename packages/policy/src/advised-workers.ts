/**
 * Chooses which workers a call for advice names. Each one makes the call longer, and only a part
 * of them will be granted. Pure.
 */

import type { WorkerId } from '@bamboowell/types/ids';

/** Most workers that one call names; the platform takes no more. */
export const MAX_ADVICE_WORKERS = 100;
/** Named even if fewer would do: the platform reckons with a call about so many workers. */
export const MIN_ADVICE_WORKERS = 30;
/** Room is named for so many times the tasks: some of it is taken before the advice comes. */
const ROOM_FACTOR = 2;

/** A worker that may be named. */
export interface AdviceCandidate {
  readonly worker: WorkerId;
  /** Tasks of the step that fit there now. */
  readonly fittingTasks: number;
  readonly freeMillicores: number;
  /** Whether earlier advice allows the step there. */
  readonly isAllowed: boolean;
}

export interface AdviceNeed {
  readonly tasks: number;
  /** All tasks must start together. */
  readonly isGang: boolean;
  /** Part of the workers named that is usually granted, from 0 to 1. */
  readonly grantedFraction: number;
}

/** Those with room first, until they will do for all tasks; the roomiest of the others fill up. */
export function workersForAdvice(candidates: readonly AdviceCandidate[], need: AdviceNeed) {
  const ranked = [...candidates].sort((left, right) => order(left, right, need));
  const wanted = ROOM_FACTOR * need.tasks;
  const named: WorkerId[] = [];
  let expectedTasks = 0;
  for (const { worker, fittingTasks, isAllowed } of ranked) {
    const isEnough = expectedTasks >= wanted || fittingTasks === 0;
    if (named.length >= MAX_ADVICE_WORKERS || (isEnough && named.length >= MIN_ADVICE_WORKERS)) {
      break;
    }
    named.push(worker);
    expectedTasks += fittingTasks * (isAllowed ? 1 : need.grantedFraction);
  }
  return named;
}

function order(left: AdviceCandidate, right: AdviceCandidate, { isGang }: AdviceNeed): number {
  const byRoom = Number(right.fittingTasks > 0) - Number(left.fittingTasks > 0);
  if (byRoom !== 0) {
    return byRoom;
  }
  const byAllowance = Number(right.isAllowed) - Number(left.isAllowed);
  if (byAllowance !== 0) {
    return byAllowance;
  }
  // Tasks that may start one by one fill what is nearly full, and leave large room to gangs.
  const isPacked = left.fittingTasks > 0 && !isGang;
  const byFreeRoom = right.freeMillicores - left.freeMillicores;
  return isPacked ? -byFreeRoom : byFreeRoom;
}
