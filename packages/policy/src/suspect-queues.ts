/** Queues whose work fails wherever it runs. */

import type { QueueId, WorkerId } from '@bamboowell/types/ids';

/** Workers on which a queue's work must have failed, with no success between. */
export const MIN_FAILED_WORKERS = 3;

/** Keeps at most `SUSPECT_WORKERS` workers for each queue that has failed. */
export class SuspectQueues {
  private readonly failedOn = new Map<QueueId, Set<WorkerId>>();
  private readonly successes = new Map<QueueId, number>();

  recordFailure(queue: QueueId, worker: WorkerId): void {
    const workers = this.failedOn.get(queue) ?? new Set<WorkerId>();
    this.failedOn.set(queue, workers);
    if (workers.size < MIN_FAILED_WORKERS) {
      workers.add(worker);
    }
  }

  recordSuccess(queue: QueueId): void {
    this.failedOn.delete(queue);
    this.successes.set(queue, this.successesOf(queue) + 1);
  }

  /** Number of attempts of the queue's work that succeeded. */
  successesOf(queue: QueueId): number {
    return this.successes.get(queue) ?? 0;
  }

  isSuspect(queue: QueueId): boolean {
    return (this.failedOn.get(queue)?.size ?? 0) >= MIN_FAILED_WORKERS;
  }
}
