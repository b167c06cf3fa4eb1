/** Keeps work away from workers on which jobs keep failing. */

import { brandAs, type QueueId, type WorkerId, type WorkId } from '@bamboowell/types/ids';
import type { JobId } from '@bamboowell/types/job';
import { WorkerHealth, type HealthChange } from '@bamboowell/policy/worker-health';
import type { JobContext } from './context.js';

/** First quarantine of a worker, milliseconds: about as long as a typical period of failures. */
const QUARANTINE_MILLIS = 4000;
/** Longest quarantine, milliseconds. */
const LONGEST_QUARANTINE_MILLIS = 30_000;
/** The platform allows a job to wait for a worker that could run it this long, milliseconds. */
const LONGEST_WAIT_MILLIS = 3000;
/** Time for a placement pass, the record of a start and the start itself, milliseconds. */
const START_MILLIS = 1000;
/**
 * A worker on probation gets its next run after this long even if the last one goes on, milliseconds. A quarantined
 * one is tried as often with lasting work that can run nowhere else.
 */
const TRIAL_MILLIS = LONGEST_WAIT_MILLIS - START_MILLIS;
/** Largest fraction of the workers that may be in quarantine at once. */
const MAX_QUARANTINED_FRACTION = 0.3;
/**
 * Failed jobs of one queue on a worker, with none done there in between, before it is quarantined.
 */
const FAILED_JOBS = 3;

export class Quarantines {
  private readonly health = new WorkerHealth({
    quarantineMillis: QUARANTINE_MILLIS,
    trialMillis: TRIAL_MILLIS,
    longestQuarantineMillis: LONGEST_QUARANTINE_MILLIS,
    maxQuarantinedFraction: MAX_QUARANTINED_FRACTION,
    minFailedWorks: FAILED_JOBS,
  });

  constructor(private readonly context: JobContext) {}

  setWorkerCount(workers: number): void {
    this.health.setWorkerCount(workers);
  }

  mayPlace(worker: WorkerId): boolean {
    return this.health.mayPlace(worker);
  }

  /** Whether lasting work that can run nowhere else may be tried on the worker, which is closed to other work. */
  mayTry(worker: WorkerId): boolean {
    return this.health.mayTry(worker, this.context.now);
  }

  recordPlacement(worker: WorkerId): void {
    this.health.recordPlacement(worker, this.context.now);
  }

  /** Records that a run is over, before it is known whether its end says anything about the worker. */
  recordEnd(worker: WorkerId): void {
    this.health.recordInconclusive(worker);
  }

  recordSuccess(worker: WorkerId, queue: QueueId | undefined): void {
    if (queue !== undefined) {
      this.log(this.health.recordSuccess(worker, queue));
    }
  }

  recordFailure(worker: WorkerId, queue: QueueId | undefined, job: JobId): void {
    if (queue !== undefined) {
      this.log(this.health.recordFailure(worker, queue, brandAs<WorkId>(job), this.context.now));
    }
  }

  endQuarantines(): void {
    this.health.endQuarantines(this.context.now).forEach((change) => {
      this.log(change);
    });
  }

  forget(worker: WorkerId): void {
    this.health.forget(worker);
  }

  private log(change: HealthChange | undefined): void {
    if (change !== undefined) {
      const { worker, state } = change;
      this.context.event('worker.health', { worker, standing: state });
    }
  }
}
