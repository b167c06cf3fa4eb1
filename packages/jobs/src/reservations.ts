/** Keeps room for a gang that can't start yet, so that smaller work behind it doesn't take it piece by piece. */

import { add, type Resources } from '@bamboowell/types/resources';
import { allocationOf, type Step, type Worker } from './model.js';
import { countFitting } from './available-workers.js';

/** Part of the workers that may be kept in one pass: the rest goes on with what fits. */
const MAX_KEPT_PART = 0.5;

/** A worker and the room that is left on it in this pass. */
export interface Availability {
  readonly worker: Worker;
  readonly free: Resources;
}

export class Reservations {
  private readonly kept = new Set<Worker>();

  /** @param workers how many there are. */
  constructor(private readonly workers: number) {}

  /** Whether no more may be kept in this pass. */
  get isFull(): boolean {
    return this.kept.size >= this.workers * MAX_KEPT_PART;
  }

  /** Whether the worker is kept for a step that goes before. */
  isReserved(worker: Worker): boolean {
    return this.kept.has(worker);
  }

  /** Keeps the workers on which the step will have room first, until they hold all of it. */
  reserve(step: Step, sites: readonly Availability[]): void {
    const ranked = sites
      .filter(({ worker }) => !this.kept.has(worker))
      .map((site) => ({ site, tasks: tasksThatFit(step, site) }))
      .sort((left, right) => right.tasks - left.tasks || roomier(left.site, right.site));
    let missing = step.plan.count;
    for (const { site, tasks } of ranked) {
      if (missing <= 0 || this.isFull) {
        return;
      }
      this.kept.add(site.worker);
      missing -= tasks;
    }
  }
}

function roomier(left: Availability, right: Availability): number {
  return right.free.millicores - left.free.millicores;
}

/** Tasks that fit once what is less urgent has ended. */
function tasksThatFit(step: Step, { worker, free: room }: Availability): number {
  const { priority } = step.job.queue;
  let free = room;
  for (const { task } of worker.runs.values()) {
    if (task.step.job.queue.priority > priority) {
      free = add(free, allocationOf(task.step.plan));
    }
  }
  return countFitting(allocationOf(step.plan), free, step.plan.maxPerWorker);
}
