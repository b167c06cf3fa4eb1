/** The workers that can get work in one placement pass, and the resources that are free on each. */

import type { RackId, WorkerId } from '@bamboowell/types/ids';
import type { WorkerRegistration } from '@bamboowell/types/job';
import { fits, subtract, type Resources } from '@bamboowell/types/resources';
import type { Deadline } from '@bamboowell/types/time';
import { allocationOf, openStartsOn, type Step, type Worker } from './model.js';

/** A part of a worker's resources that is kept for a gang until it is expected to start. */
export interface Hold {
  readonly until: Deadline;
  /** What other runs may take that end later than that. */
  readonly spare: Resources;
  /** Whether it keeps out only deferred work, and not what is owed a start in time. */
  readonly isOpen: boolean;
}

/** A worker that can get work in this pass, and its free resources. */
export interface AvailableWorker {
  readonly worker: Worker;
  free: Resources;
  hold: Hold | undefined;
  /** Whether an isolated run was placed there in this pass. */
  isClosed: boolean;
  /** How many more starts its link delivers in time. */
  startsLeft: number;
}

export function availableWorker(worker: Worker): AvailableWorker {
  const free = subtract(worker.registration.capacity, worker.used);
  const startsLeft = Math.max(0, worker.startLimit - openStartsOn([worker]));
  return { worker, free, hold: undefined, isClosed: false, startsLeft };
}

/**
 * Whether a run with this demand that ends by then may start there. One that is over before the gang starts
 * may use what is kept for the gang (backfilling).
 *
 * @param isDeferred whether the run belongs to deferred work.
 */
export function hasRoomFor(
  available: AvailableWorker,
  demand: Resources,
  endsBy: Deadline,
  isDeferred: boolean,
): boolean {
  return lackOfRoom(available, demand, endsBy, isDeferred) === undefined;
}

/** Why a run may not start there; undefined if it may. */
export type LackOfRoom =
  | 'no_room'
  | 'kept_for_gang'
  /** As many starts are under way as its link delivers in time. */
  | 'busy_link';

/** The reason for which `hasRoomFor` says no. */
export function lackOfRoom(
  { free, hold, startsLeft }: AvailableWorker,
  demand: Resources,
  endsBy: Deadline,
  isDeferred: boolean,
): LackOfRoom | undefined {
  if (!fits(demand, free)) {
    return 'no_room';
  }
  if (startsLeft === 0) {
    return 'busy_link';
  }
  const mayUseHeld = hold === undefined || (hold.isOpen && !isDeferred) || endsBy <= hold.until;
  return mayUseHeld || fits(demand, hold.spare) ? undefined : 'kept_for_gang';
}

/** Whether the worker could run a task of the step if nothing else ran there. */
export function isEligible(registration: WorkerRegistration, step: Step): boolean {
  return misfitOf(registration, step) === undefined;
}

/** Why a worker could not run a task of a step even if nothing else ran there. */
export type Misfit = 'other_service' | 'no_label' | 'too_small';

/** The reason for which `isEligible` says no. */
export function misfitOf(
  registration: WorkerRegistration,
  { plan, job }: Step,
): Misfit | undefined {
  if (registration.service !== job.queue.service) {
    return 'other_service';
  }
  if (plan.neededLabel !== undefined && !registration.labels.includes(plan.neededLabel)) {
    return 'no_label';
  }
  return fits(allocationOf(plan), registration.capacity) ? undefined : 'too_small';
}

/** Whether both let the same work be placed on the worker. */
export function isSameOffer(left: WorkerRegistration, right: WorkerRegistration): boolean {
  return (
    left.isDraining === right.isDraining &&
    left.service === right.service &&
    left.rack === right.rack &&
    left.labels.join() === right.labels.join() &&
    fits(left.capacity, right.capacity) &&
    fits(right.capacity, left.capacity)
  );
}

/** Bounds the count of tasks without demand, of which any number fits. */
const MAX_COUNT = 1000;

/** How many tasks fit into the free resources, at most `maxPerWorker`; zero means no bound. */
export function countFitting(demand: Resources, free: Resources, maxPerWorker: number): number {
  return Math.min(
    maxPerWorker > 0 ? maxPerWorker : MAX_COUNT,
    timesIn(demand.millicores, free.millicores),
    timesIn(demand.memoryMib, free.memoryMib),
    timesIn(demand.accelerators, free.accelerators),
    timesIn(demand.slots, free.slots),
  );
}

function timesIn(need: number, available: number): number {
  if (need > 0) {
    return Math.max(0, Math.floor(available / need));
  }
  return available >= 0 ? MAX_COUNT : 0;
}

/** Allocates a task's demand on the worker until then, and counts the task there. */
export function allocate(
  available: AvailableWorker,
  demand: Resources,
  endsBy: Deadline,
  countByWorker: Map<WorkerId, number>,
): void {
  const { hold } = available;
  available.free = subtract(available.free, demand);
  available.startsLeft -= 1;
  if (hold !== undefined && endsBy > hold.until) {
    available.hold = { ...hold, spare: subtract(hold.spare, demand) };
  }
  countByWorker.set(available.worker.id, (countByWorker.get(available.worker.id) ?? 0) + 1);
}

/** The racks of the workers, in descending order of free processor time. */
export function racksByFreeCores(workers: readonly AvailableWorker[]): (RackId | undefined)[] {
  const freeByRack = new Map<RackId | undefined, number>();
  for (const { worker, free } of workers) {
    const { rack } = worker.registration;
    freeByRack.set(rack, (freeByRack.get(rack) ?? 0) + free.millicores);
  }
  return [...freeByRack].sort(([, left], [, right]) => right - left).map(([rack]) => rack);
}
