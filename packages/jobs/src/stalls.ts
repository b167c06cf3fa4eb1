/** Detects stalled runs and stops them, so that their tasks start elsewhere. */

import { brandAs } from '@bamboowell/types/ids';
import { deadlineAfter, hasPassed, type Deadline } from '@bamboowell/types/time';
import type { JobContext } from './context.js';
import { recordFailedOn, type Run, type Worker } from './model.js';
import type { Orders } from './orders.js';

/**
 * A run whose progress hasn't changed for this long, milliseconds, is stalled: a run of ten seconds
 * advances by a percent every tenth of a second, and on a slow worker still several times a second.
 */
const STALL_MILLIS = 2500;
/** Pause in new work for a worker on which a run stalled, milliseconds. */
const STALLED_COOLDOWN_MILLIS = 3000;

/** Interval between checks, milliseconds. */
const CHECK_INTERVAL_MILLIS = 250;

export class Stalls {
  private nextCheckAt: Deadline = brandAs<Deadline>(0);

  constructor(
    private readonly context: JobContext,
    private readonly orders: Orders,
  ) {}

  check(): void {
    if (!hasPassed(this.nextCheckAt, this.context.now)) {
      return;
    }
    this.nextCheckAt = deadlineAfter(this.context.now, CHECK_INTERVAL_MILLIS);
    for (const worker of this.context.workers.values()) {
      if (worker.isReachable && worker.hasReported) {
        this.checkWorker(worker);
      }
    }
  }

  private checkWorker(worker: Worker): void {
    for (const run of [...worker.runs.values()]) {
      if (run.phase === 'running' && this.isStalled(run)) {
        this.stopStalled(worker, run);
      }
    }
  }

  /** Lasting tasks report no progress, and a gang at zero percent may wait for its members. */
  private isStalled(run: Run): boolean {
    const { plan } = run.task.step;
    const { progress } = run;
    if (progress === undefined || plan.isLasting) {
      return false;
    }
    const { percent, firstSeenAt, lastSeenAt } = progress;
    const isGangAssembling = plan.isGang && percent === 0;
    return !isGangAssembling && percent < 100 && lastSeenAt - firstSeenAt >= STALL_MILLIS;
  }

  private stopStalled(worker: Worker, run: Run): void {
    const { task } = run;
    this.context.event('run.stalled', {
      task: task.id,
      run: run.number,
      worker: worker.id,
      percent: run.progress?.percent ?? 0,
    });
    recordFailedOn(task, worker.id);
    worker.cooldownUntil = deadlineAfter(this.context.now, STALLED_COOLDOWN_MILLIS);
    if (task.step.plan.isGang) {
      this.orders.stopGang(task.step, run.number);
    } else {
      this.orders.stop(run);
    }
  }
}
