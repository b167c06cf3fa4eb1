/** Estimates when work that arrives now would start. */

import { brandAs, type QueueId } from '@bamboowell/types/ids';
import type { Instant } from '@bamboowell/types/time';

/** Weight of a new interval in the exponentially smoothed interval. */
const SMOOTHING_FACTOR = 0.1;

/** The smoothed interval between starts of a queue's work. */
interface Pace {
  readonly intervalMillis: number;
  readonly lastStart: Instant;
}

/** The waiting work of a queue. */
export interface Backlog {
  readonly queue: QueueId;
  readonly waiting: number;
  /** Since when the oldest work waits; `now` if none waits. */
  readonly oldestSince: Instant;
}

/**
 * Learns the interval between starts of each queue. Time in which no work waited does not count;
 * time in which work waits and nothing starts counts immediately.
 */
export class WaitEstimate {
  private readonly paces = new Map<QueueId, Pace>();

  /** Records that work of the queue that waited since `waitingSince` starts now. */
  recordStart(queue: QueueId, waitingSince: Instant, now: Instant): void {
    const pace = this.paces.get(queue);
    const busySince = Math.max(pace?.lastStart ?? waitingSince, waitingSince);
    const interval = now - busySince;
    const smoothed = pace?.intervalMillis ?? interval;
    const intervalMillis = smoothed + SMOOTHING_FACTOR * (interval - smoothed);
    this.paces.set(queue, { intervalMillis, lastStart: now });
  }

  forget(queue: QueueId): void {
    this.paces.delete(queue);
  }

  /** The estimated start of work that arrives behind the backlog. */
  estimateStart(backlog: Backlog, now: Instant): Instant {
    if (backlog.waiting === 0) {
      return now;
    }
    const pace = this.paces.get(backlog.queue);
    const stalledSince = Math.max(pace?.lastStart ?? backlog.oldestSince, backlog.oldestSince);
    const intervalMillis = Math.max(pace?.intervalMillis ?? 0, now - stalledSince);
    return brandAs<Instant>(now + Math.round(backlog.waiting * intervalMillis));
  }
}
