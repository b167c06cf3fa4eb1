/** How much of each service's workers is in use, and what work may expect of a service of which little is. */

import { deadlineAfter, hasPassed, type Instant } from '@bamboowell/types/time';
import type { AvailableWorker } from './available-workers.js';

/**
 * A service counts as busy if this fraction of its processor time is taken. The promise to start waiting work
 * holds while less than half is in use; starts and stops under way are counted here.
 */
const BUSY_FRACTION = 0.6;
/**
 * How long work for which there is room is held up by what waits before it, milliseconds, while little of its
 * service is in use: it is promised a start within three seconds.
 */
export const MAX_HELD_UP_MILLIS = 2000;
/** A service counts as idle once it has not been busy for so long, milliseconds: the rest of that time. */
const IDLE_AFTER_MILLIS = 500;

/** Processor time, thousandths of a core. */
interface Use {
  taken: number;
  capacity: number;
}

export class ServiceUse {
  private readonly uses = new Map<string, Use>();
  /** Since when a service has not been busy. */
  private readonly quietSince = new Map<string, Instant>();

  /** Looks at the workers that can get work at present. */
  update(workers: readonly AvailableWorker[], now: Instant): void {
    this.uses.clear();
    for (const { worker } of workers) {
      const { service, capacity } = worker.registration;
      const use = this.uses.get(service) ?? { taken: 0, capacity: 0 };
      use.taken += worker.used.millicores;
      use.capacity += capacity.millicores;
      this.uses.set(service, use);
    }
    for (const service of this.uses.keys()) {
      if (this.isBusy(service)) {
        this.quietSince.delete(service);
      } else if (!this.quietSince.has(service)) {
        this.quietSince.set(service, now);
      }
    }
  }

  isBusy(service: string): boolean {
    const use = this.uses.get(service);
    return use !== undefined && use.taken >= BUSY_FRACTION * use.capacity;
  }

  /** Whether much of the service has been free for a while: what waits there is not using it. */
  isIdle(service: string, now: Instant): boolean {
    const since = this.quietSince.get(service);
    return since !== undefined && hasPassed(deadlineAfter(since, IDLE_AFTER_MILLIS), now);
  }
}
