/** When work that arrives now would likely start. */

import { brandAs, type QueueId } from '@bamboowell/types/ids';
import type { Instant } from '@bamboowell/types/time';

/** Part of a new interval in the smoothed one. */
const SMOOTHING = 0.1;

/** How fast a queue's work starts. */
interface Pace {
  readonly intervalMillis: number;
  readonly lastStart: Instant;
}

/** What of a queue waits already. */
export interface Backlog {
  readonly queue: QueueId;
  readonly waiting: number;
  /** Since when the oldest of it waits; `now` if nothing does. */
  readonly oldestSince: Instant;
}

/**
 * Learns the interval between starts of each queue while work waited in it. Time in which nothing
 * waited does not count; time in which work waits and nothing starts counts at once.
 */
export class WaitEstimate {
  private readonly paces = new Map<QueueId, Pace>();

  /** Work of the queue that waited since the given instant started now. */
  recordStart(queue: QueueId, waitingSince: Instant, now: Instant): void {
    const pace = this.paces.get(queue);
    const busySince = Math.max(pace?.lastStart ?? waitingSince, waitingSince);
    const interval = now - busySince;
    const smoothed = pace?.intervalMillis ?? interval;
    const intervalMillis = smoothed + SMOOTHING * (interval - smoothed);
    this.paces.set(queue, { intervalMillis, lastStart: now });
  }

  forget(queue: QueueId): void {
    this.paces.delete(queue);
  }

  /** The likely start of work that arrives behind the backlog. */
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
