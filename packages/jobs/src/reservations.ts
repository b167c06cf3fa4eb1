/**
 * Reserves workers for a gang that cannot start yet, so that smaller tasks behind it don't take the
 * resources piece by piece.
 */

import { add, type Resources } from '@bamboowell/types/resources';
import { allocationOf, type Step, type Worker } from './model.js';
import { countFitting } from './available-workers.js';

/** Fraction of the workers that may be reserved in one pass: the rest takes whatever fits. */
const MAX_RESERVED_FRACTION = 0.5;

/** A worker and its free resources in this pass. */
export interface Availability {
  readonly worker: Worker;
  readonly free: Resources;
}

export class Reservations {
  private readonly reserved = new Set<Worker>();

  /**
   * @param workerCount number of available workers.
   * @param lowestPriority of all queues; a higher number is a lower priority.
   */
  constructor(
    private readonly workerCount: number,
    private readonly lowestPriority: number,
  ) {}

  /** Whether no more workers may be reserved in this pass. */
  get isFull(): boolean {
    return this.reserved.size >= this.workerCount * MAX_RESERVED_FRACTION;
  }

  /** Whether the worker is reserved for an earlier step. */
  isReserved(worker: Worker): boolean {
    return this.reserved.has(worker);
  }

  /**
   * Reserves workers until the whole step will fit, starting with those that will fit most tasks.
   */
  reserve(step: Step, candidates: readonly Availability[]): void {
    const ranked = candidates
      .filter(({ worker }) => !this.reserved.has(worker))
      .map((candidate) => ({
        candidate,
        tasks: tasksThatFit(step, candidate, this.lowestPriority),
      }))
      .sort(
        (left, right) =>
          right.tasks - left.tasks || compareFreeCores(left.candidate, right.candidate),
      );
    let missing = step.plan.count;
    for (const { candidate, tasks } of ranked) {
      if (missing <= 0 || this.isFull) {
        return;
      }
      this.reserved.add(candidate.worker);
      missing -= tasks;
    }
  }
}

function compareFreeCores(left: Availability, right: Availability): number {
  return right.free.millicores - left.free.millicores;
}

/** How many tasks of the step fit once all runs of lower priority have ended. */
function tasksThatFit(step: Step, { worker, free }: Availability, lowestPriority: number): number {
  const { priority } = step.job.queue;
  const runs = priority < lowestPriority ? worker.runs.values() : [];
  let freeLater = free;
  for (const { task } of runs) {
    if (task.step.job.queue.priority > priority) {
      freeLater = add(freeLater, allocationOf(task.step.plan));
    }
  }
  return countFitting(allocationOf(step.plan), freeLater, step.plan.maxPerWorker);
}
