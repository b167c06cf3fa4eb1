/** Tells what keeps each waiting step from starting, for the log. */

import { fits } from '@bamboowell/types/resources';
import {
  availableWorker,
  countFitting,
  isEligible,
  type AvailableWorker,
} from './available-workers.js';
import type { Obstacle } from './obstacles.js';
import { allocationOf, waitingTasks, type Step, type Worker } from './model.js';

/** Why a step waits; the first that applies counts. */
export type WaitingReason =
  /** It can't start on the workers that are there. */
  | Obstacle
  /** Its team runs as much as it may, or too much for the whole gang. */
  | 'team_limit'
  /** It is behind the point up to which advice is asked for. */
  | 'behind'
  /** A call for advice is open. */
  | 'advice_open'
  /** It has no ticket, and no call for one is open: no member could make one yet. */
  | 'advice_not_asked'
  /** No worker that it has a ticket for can get work, or has room for a task. */
  | 'no_room_granted'
  /** The workers that it has tickets for have room for a part of the gang. */
  | 'no_room_for_gang'
  /** What room these have is reserved for gangs that wait before it. */
  | 'reserved_for_gangs'
  /** The owner starts no more at present, or hasn't come to it yet. */
  | 'owner_limit';

/** What the reasons depend on. */
export interface WaitingView {
  readonly parked: ReadonlySet<Step>;
  obstacleOf(step: Step): Obstacle | undefined;
  isWaitingForTeamLimit(step: Step): boolean;
  hasTicket(step: Step): boolean;
  admits(step: Step, worker: Worker): boolean;
  /** Whether the worker was reserved in the last pass. */
  isReserved(worker: Worker): boolean;
  /** The workers that can get work. */
  readonly workers: readonly Worker[];
}

/** Counts the steps by reason; reasons of no step are left out. */
export function waitingReasons(
  steps: Iterable<Step>,
  view: WaitingView,
): Partial<Record<WaitingReason, number>> {
  const counts: Partial<Record<WaitingReason, number>> = {};
  for (const step of steps) {
    const reason = reasonOf(step, view);
    counts[reason] = (counts[reason] ?? 0) + 1;
  }
  return counts;
}

function reasonOf(step: Step, view: WaitingView): WaitingReason {
  const obstacle = view.obstacleOf(step);
  if (obstacle !== undefined) {
    return obstacle;
  }
  if (view.isWaitingForTeamLimit(step)) {
    return 'team_limit';
  }
  if (!view.hasTicket(step)) {
    if (view.parked.has(step)) {
      return 'behind';
    }
    return step.workersInOpenCall === undefined ? 'advice_not_asked' : 'advice_open';
  }
  const demand = allocationOf(step.plan);
  const rooms = view.workers
    .filter((worker) => view.admits(step, worker) && isEligible(worker.registration, step))
    .map((worker) => availableWorker(worker))
    .filter(({ free }) => fits(demand, free));
  if (rooms.length === 0) {
    return 'no_room_granted';
  }
  const needed = step.plan.isGang ? waitingTasks(step).length : 1;
  const fittingIn = (within: readonly AvailableWorker[]): number =>
    within.reduce((sum, { free }) => sum + countFitting(demand, free, step.plan.maxPerWorker), 0);
  if (fittingIn(rooms) < needed) {
    return 'no_room_for_gang';
  }
  const unreserved = rooms.filter(({ worker }) => !view.isReserved(worker));
  return fittingIn(unreserved) < needed ? 'reserved_for_gangs' : 'owner_limit';
}
