/** How many tasks of a step the workers could hold if nothing else ran there. */

import type { WorkerRegistration } from '@bamboowell/types/job';
import { countFitting, isEligible, isSameOffer } from './available-workers.js';
import { allocationOf, type Step, type Worker } from './model.js';

export class FleetCapacity {
  private workers: readonly Worker[] = [];
  private registrations: readonly WorkerRegistration[] = [];
  /** By step, until a worker or a queue changes: thousands of steps may wait. */
  private counts = new WeakMap<Step, number>();

  /** Registrations of the workers that can get work. */
  get placeable(): readonly WorkerRegistration[] {
    return this.registrations;
  }

  /**
   * Returns whether they are others than before, or offer something else.
   *
   * @param workers those that are present, reachable and not draining.
   */
  setWorkers(workers: readonly Worker[]): boolean {
    const { registrations } = this;
    this.workers = workers;
    const isUnchanged =
      workers.length === registrations.length &&
      workers.every(({ registration }, index) => isKnownOffer(registration, registrations[index]));
    if (!isUnchanged) {
      this.registrations = workers.map(({ registration }) => registration);
      this.forgetCounts();
    }
    return !isUnchanged;
  }

  /** Called when the services of queues may have changed. */
  forgetCounts(): void {
    this.counts = new WeakMap();
  }

  /** Number of the step's tasks that fit at the same time on all workers together, at most all of them. */
  tasksThatFit(step: Step): number {
    const known = this.counts.get(step);
    if (known !== undefined) {
      return known;
    }
    const count = this.countTasks(step);
    this.counts.set(step, count);
    return count;
  }

  /** Whether the links to the workers deliver the starts of all tasks soon enough for these to meet. */
  canStartTogether(step: Step): boolean {
    const { maxPerWorker, count: wanted } = step.plan;
    const demand = allocationOf(step.plan);
    let count = 0;
    for (const { registration, startLimit } of this.workers) {
      if (count >= wanted) {
        break;
      }
      if (isEligible(registration, step)) {
        const fitting = countFitting(demand, registration.capacity, maxPerWorker);
        count += Math.min(fitting, startLimit);
      }
    }
    return count >= wanted;
  }

  private countTasks(step: Step): number {
    const { maxPerWorker, count: wanted } = step.plan;
    const demand = allocationOf(step.plan);
    let count = 0;
    for (const registration of this.registrations) {
      if (count >= wanted) {
        break;
      }
      if (isEligible(registration, step)) {
        count += countFitting(demand, registration.capacity, maxPerWorker);
      }
    }
    return Math.min(count, wanted);
  }
}

/** A registration that was only renewed is another object with the same offer. */
function isKnownOffer(
  registration: WorkerRegistration,
  known: WorkerRegistration | undefined,
): boolean {
  return (
    known !== undefined &&
    (registration === known || (registration.id === known.id && isSameOffer(registration, known)))
  );
}
