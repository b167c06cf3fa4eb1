/** Finds queues whose work fails on several workers, which says nothing about these workers. */

import type { QueueId, WorkerId } from '@bamboowell/types/ids';

/**
 * Number of workers on which work of a queue must fail, without a success in between, to make it
 * suspect.
 */
export const MIN_FAILED_WORKERS = 3;

/** Stores at most `MIN_FAILED_WORKERS` workers for each queue with failures. */
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

  /** Number of successful attempts of the queue's work. */
  successesOf(queue: QueueId): number {
    return this.successes.get(queue) ?? 0;
  }

  isSuspect(queue: QueueId): boolean {
    return (this.failedOn.get(queue)?.size ?? 0) >= MIN_FAILED_WORKERS;
  }
}
