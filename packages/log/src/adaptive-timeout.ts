/**
 * Timeout of requests to the log. It follows the log's latency, so that a log that is slow for
 * hours stays usable.
 */

import { deadlineAfter, type Deadline, type Instant } from '@bamboowell/types/time';

const MIN_MILLIS = 2000;
const MAX_MILLIS = 30_000;

/** The next answer may take this many times as long as the last one. */
const TIMEOUT_FACTOR = 2;

export class AdaptiveTimeout {
  private millis = MIN_MILLIS;

  deadline(now: Instant): Deadline {
    return deadlineAfter(now, this.millis);
  }

  answered(sentAt: Instant, now: Instant): void {
    this.millis = clamp((now - sentAt) * TIMEOUT_FACTOR);
  }

  /** Records that a request was not answered: the next one gets more time. */
  timedOut(): void {
    this.millis = clamp(this.millis * TIMEOUT_FACTOR);
  }
}

function clamp(millis: number): number {
  return Math.min(MAX_MILLIS, Math.max(MIN_MILLIS, millis));
}
