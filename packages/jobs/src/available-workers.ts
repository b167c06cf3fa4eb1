/** The workers that can get work in one placement pass, and the resources that are free on each. */

import type { RackId, WorkerId } from '@bamboowell/types/ids';
import { fits, subtract, type Resources } from '@bamboowell/types/resources';
import { allocationOf, type Step, type Worker } from './model.js';

/** A worker that can get work in this pass, and its free resources. */
export interface AvailableWorker {
  readonly worker: Worker;
  free: Resources;
  /** Whether an isolated run was placed there in this pass. */
  isClosed: boolean;
}

export function availableWorker(worker: Worker): AvailableWorker {
  return { worker, free: subtract(worker.registration.capacity, worker.used), isClosed: false };
}

/** Whether the worker could run a task of the step if nothing else ran there. */
export function isEligible({ registration }: Worker, { plan, job }: Step): boolean {
  return (
    registration.service === job.queue.service &&
    (plan.neededLabel === undefined || registration.labels.includes(plan.neededLabel)) &&
    fits(allocationOf(plan), registration.capacity)
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

/** Allocates a task's demand on the worker and counts the task there. */
export function allocate(
  available: AvailableWorker,
  demand: Resources,
  countByWorker: Map<WorkerId, number>,
): void {
  available.free = subtract(available.free, demand);
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
