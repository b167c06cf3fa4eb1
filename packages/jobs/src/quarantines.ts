/** Keeps work away from workers on which jobs keep failing. */

import { brandAs, type QueueId, type WorkerId, type WorkId } from '@bamboowell/types/ids';
import type { JobId } from '@bamboowell/types/job';
import type { Instant } from '@bamboowell/types/time';
import { WorkerHealth } from '@bamboowell/policy/worker-health';

/** First quarantine of a worker, milliseconds: about as long as a typical period of failures. */
const QUARANTINE_MILLIS = 4000;
/** Longest quarantine, milliseconds. */
const LONGEST_QUARANTINE_MILLIS = 30_000;
/** Largest fraction of the workers that may be in quarantine at once. */
const MAX_QUARANTINED_FRACTION = 0.3;
/**
 * Failed jobs of one queue on a worker, with none done there in between, before it is quarantined.
 */
const FAILED_JOBS = 3;

export class Quarantines {
  private readonly health = new WorkerHealth({
    quarantineMillis: QUARANTINE_MILLIS,
    longestQuarantineMillis: LONGEST_QUARANTINE_MILLIS,
    maxQuarantinedFraction: MAX_QUARANTINED_FRACTION,
    minFailedWorks: FAILED_JOBS,
  });

  setWorkerCount(workers: number): void {
    this.health.setWorkerCount(workers);
  }

  mayPlace(worker: WorkerId): boolean {
    return this.health.mayPlace(worker);
  }

  recordPlacement(worker: WorkerId): void {
    this.health.recordPlacement(worker);
  }

  recordSuccess(worker: WorkerId, queue: QueueId | undefined): void {
    if (queue !== undefined) {
      this.health.recordSuccess(worker, queue);
    }
  }

  recordFailure(worker: WorkerId, queue: QueueId | undefined, job: JobId, now: Instant): void {
    if (queue !== undefined) {
      this.health.recordFailure(worker, queue, brandAs<WorkId>(job), now);
    }
  }

  endQuarantines(now: Instant): void {
    this.health.endQuarantines(now);
  }

  forget(worker: WorkerId): void {
    this.health.forget(worker);
  }
}
