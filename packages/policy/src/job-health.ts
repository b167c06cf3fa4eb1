/** Finds work that fails on several healthy workers, so that it is set aside and not retried. */

import type { WorkerId, WorkId } from '@bamboowell/types/ids';

/**
 * Number of trusted workers on which work must fail, without a success in between, to be set aside.
 */
export const MIN_FAILED_WORKERS = 3;

export class JobHealth {
  private readonly failedOn = new Map<WorkId, Set<WorkerId>>();

  /**
   * Records that a task of the work failed on a worker. `workerIsTrusted` is the result of
   * `WorkerHealth.isTrusted` before the failure was recorded there. Returns true if the work is to
   * be set aside from now on.
   */
  recordFailure(work: WorkId, worker: WorkerId, workerIsTrusted: boolean): boolean {
    if (!workerIsTrusted || this.isSetAside(work)) {
      return false;
    }
    const workers = this.failedOn.get(work) ?? new Set<WorkerId>();
    this.failedOn.set(work, workers);
    workers.add(worker);
    return this.isSetAside(work);
  }

  /** Called when a task of the work succeeded or an operator lets the work run again. */
  clearFailures(work: WorkId): void {
    this.failedOn.delete(work);
  }

  /** Called when the work has ended. */
  forget(work: WorkId): void {
    this.failedOn.delete(work);
  }

  isSetAside(work: WorkId): boolean {
    return (this.failedOn.get(work)?.size ?? 0) >= MIN_FAILED_WORKERS;
  }
}
