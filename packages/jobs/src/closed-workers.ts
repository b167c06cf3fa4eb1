/**
 * Which work is tried on workers in quarantine. A worker that failed what it started for a while stays closed long
 * after it has recovered, and services that only it can run would wait as long (LOST). A failed run costs a lasting
 * task nothing, since it is started again however it ends; any other task would use up one of its attempts.
 */

import { availableWorker, type AvailableWorker } from './available-workers.js';
import type { Step, Worker } from './model.js';
import type { Quarantines } from './quarantines.js';

export class ClosedWorkers {
  /** Workers in quarantine that may be tried now. */
  readonly available: readonly AvailableWorker[];

  /** @param workers those that could get work but for their quarantine */
  constructor(workers: readonly Worker[], quarantines: Quarantines) {
    this.available = workers
      .filter(({ id }) => !quarantines.mayPlace(id) && quarantines.mayTry(id))
      .map((worker) => availableWorker(worker));
  }

  /** Whether the step, which has room nowhere else, may be tried on one of them. */
  mayTry({ plan }: Step): boolean {
    return this.available.length > 0 && plan.isLasting && !plan.isGang;
  }
}
