/** Which workers are trusted with work, by how the work on them ended. */

import { brandAs, type QueueId, type WorkerId, type WorkId } from '@bamboowell/types/ids';
import type { JobId } from '@bamboowell/types/job';
import type { Instant } from '@bamboowell/types/time';
import { WorkerHealth } from '@bamboowell/policy/worker-health';

/** The first quarantine of a worker that fails jobs, milliseconds: about the length of a spell of failures. */
const QUARANTINE_MILLIS = 4000;
/** The longest quarantine, milliseconds. */
const LONGEST_QUARANTINE_MILLIS = 30_000;
/** Largest part of the workers that may be quarantined at once. */
const MAX_QUARANTINED_PART = 0.3;
/** Jobs of one queue that must have failed on a worker, with none done there between. */
const FAILED_JOBS = 3;

export class Quarantines {
  private readonly health = new WorkerHealth({
    quarantineMillis: QUARANTINE_MILLIS,
    longestQuarantineMillis: LONGEST_QUARANTINE_MILLIS,
    maxQuarantinedFraction: MAX_QUARANTINED_PART,
    minFailedWorks: FAILED_JOBS,
  });

  setWorkerCount(workers: number): void {
    this.health.setWorkerCount(workers);
  }

  mayPlace(worker: WorkerId): boolean {
    return this.health.mayPlace(worker);
  }

  placed(worker: WorkerId): void {
    this.health.recordPlacement(worker);
  }

  succeeded(worker: WorkerId, queue: QueueId | undefined): void {
    if (queue !== undefined) {
      this.health.recordSuccess(worker, queue);
    }
  }

  failed(worker: WorkerId, queue: QueueId | undefined, job: JobId, now: Instant): void {
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
