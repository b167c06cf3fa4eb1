/** Finds runs that stand still and starts them elsewhere. */

import { deadlineAfter } from '@bamboowell/types/time';
import type { JobContext } from './context.js';
import type { Run, Worker } from './model.js';
import type { Orders } from './orders.js';

/**
 * A run whose progress hasn't moved for so long, milliseconds, stands still: a run of ten seconds
 * moves by a percent every tenth of a second, and on a slow worker still several times a second.
 */
const STALL_MILLIS = 2500;
/** A worker on which runs stand still gets no new work for so long, milliseconds. */
const STALLED_REST_MILLIS = 3000;

export class Stalls {
  constructor(
    private readonly context: JobContext,
    private readonly orders: Orders,
  ) {}

  check(): void {
    for (const worker of this.context.workers.values()) {
      if (worker.isReachable && worker.hasReported) {
        this.checkWorker(worker);
      }
    }
  }

  private checkWorker(worker: Worker): void {
    for (const run of [...worker.runs.values()]) {
      if (run.phase === 'running' && this.isStalled(run)) {
        this.giveUp(worker, run);
      }
    }
  }

  /** A lasting task has no progress to show, and a gang may wait for its members. */
  private isStalled(run: Run): boolean {
    const { plan } = run.task.step;
    const { progress } = run;
    if (progress === undefined || plan.isLasting) {
      return false;
    }
    const { percent, firstSeenAt, lastSeenAt } = progress;
    const isGathering = plan.isGang && percent === 0;
    return !isGathering && percent < 100 && lastSeenAt - firstSeenAt >= STALL_MILLIS;
  }

  private giveUp(worker: Worker, run: Run): void {
    const { task } = run;
    this.context.event('run.stalled', {
      task: task.id,
      run: run.number,
      worker: worker.id,
      percent: run.progress?.percent ?? 0,
    });
    task.failedOn.add(worker.id);
    worker.cooldownUntil = deadlineAfter(this.context.now, STALLED_REST_MILLIS);
    if (task.step.plan.isGang) {
      this.orders.stopGang(task.step, run.number);
    } else {
      this.orders.stop(run);
    }
  }
}
