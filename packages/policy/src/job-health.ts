/** Which work is set aside because it fails wherever it runs. */

import type { WorkerId, WorkId } from '@bamboowell/types/ids';

/** Good workers on which a piece of work must have failed, with no success between. */
export const MIN_FAILED_WORKERS = 3;

export class JobHealth {
  private readonly failedOn = new Map<WorkId, Set<WorkerId>>();

  /**
   * A task of the work failed on a worker. `workerIsGood` comes from `WorkerHealth.isGood`, asked
   * before the failure was counted there. True if the work is to be set aside from now on.
   */
  recordFailure(work: WorkId, worker: WorkerId, workerIsGood: boolean): boolean {
    if (!workerIsGood || this.isSetAside(work)) {
      return false;
    }
    const workers = this.failedOn.get(work) ?? new Set<WorkerId>();
    this.failedOn.set(work, workers);
    workers.add(worker);
    return this.isSetAside(work);
  }

  /** A task of the work succeeded, or an operator lets it run again. */
  clearFailures(work: WorkId): void {
    this.failedOn.delete(work);
  }

  /** The work has ended. */
  forget(work: WorkId): void {
    this.failedOn.delete(work);
  }

  isSetAside(work: WorkId): boolean {
    return (this.failedOn.get(work)?.size ?? 0) >= MIN_FAILED_WORKERS;
  }
}
