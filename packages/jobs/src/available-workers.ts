/** The workers that may get work in one pass of placement, and the room that is left on each. */

import type { RackId, WorkerId } from '@bamboowell/types/ids';
import { fits, subtract, type Resources } from '@bamboowell/types/resources';
import { allocationOf, type Step, type Worker } from './model.js';

/** A worker that may get work in this pass, and the room that is left on it. */
export interface AvailableWorker {
  readonly worker: Worker;
  free: Resources;
}

export function availableWorker(worker: Worker): AvailableWorker {
  return { worker, free: subtract(worker.registration.capacity, worker.used) };
}

/** Whether the worker could hold a task of the step if it were empty. */
export function isEligible({ registration }: Worker, { plan, job }: Step): boolean {
  return (
    registration.service === job.queue.service &&
    (plan.neededLabel === undefined || registration.labels.includes(plan.neededLabel)) &&
    fits(allocationOf(plan), registration.capacity)
  );
}

/** Tasks without any demand fit without end. */
const MAX_COUNTED = 1000;

/** How many tasks fit into the room, up to the bound on one worker; a bound of zero is none. */
export function countFitting(demand: Resources, room: Resources, maxPerWorker: number): number {
  const most = maxPerWorker > 0 ? maxPerWorker : MAX_COUNTED;
  let left = room;
  let count = 0;
  while (count < most && fits(demand, left)) {
    left = subtract(left, demand);
    count += 1;
  }
  return count;
}

/** Takes a task's room from the site and counts it among those of its step there. */
export function allocate(
  site: AvailableWorker,
  demand: Resources,
  onWorker: Map<WorkerId, number>,
): void {
  site.free = subtract(site.free, demand);
  onWorker.set(site.worker.id, (onWorker.get(site.worker.id) ?? 0) + 1);
}

/** The racks of the sites, those with the most room first. */
export function racksByFreeCores(sites: readonly AvailableWorker[]): (RackId | undefined)[] {
  const rooms = new Map<RackId | undefined, number>();
  for (const { worker, free: room } of sites) {
    const { rack } = worker.registration;
    rooms.set(rack, (rooms.get(rack) ?? 0) + room.millicores);
  }
  return [...rooms].sort(([, left], [, right]) => right - left).map(([rack]) => rack);
}
