/** Queues whose work fails wherever it runs. */

import type { QueueId, WorkerId } from '@bamboowell/types/ids';

/** Workers on which a queue's work must have failed, with no success between. */
export const SUSPECT_WORKERS = 3;

/** Keeps at most `SUSPECT_WORKERS` workers for each queue that has failed. */
export class QueueSuspicion {
  private readonly failedOn = new Map<QueueId, Set<WorkerId>>();

  failed(queue: QueueId, worker: WorkerId): void {
    const workers = this.failedOn.get(queue) ?? new Set<WorkerId>();
    this.failedOn.set(queue, workers);
    if (workers.size < SUSPECT_WORKERS) {
      workers.add(worker);
    }
  }

  succeeded(queue: QueueId): void {
    this.failedOn.delete(queue);
  }

  isSuspect(queue: QueueId): boolean {
    return (this.failedOn.get(queue)?.size ?? 0) >= SUSPECT_WORKERS;
  }
}
