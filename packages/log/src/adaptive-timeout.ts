/** How long a request to the log may take, so that a log that is slow for hours is still used. */

import { deadlineAfter, type Deadline, type Instant } from '@bamboowell/types/time';

const MIN_MILLIS = 2000;
const MAX_MILLIS = 30_000;

/** A slow answer may be followed by one that takes this many times as long. */
const HEADROOM = 2;

export class AdaptiveTimeout {
  private millis = MIN_MILLIS;

  deadline(now: Instant): Deadline {
    return deadlineAfter(now, this.millis);
  }

  answered(sentAt: Instant, now: Instant): void {
    this.millis = clamp((now - sentAt) * HEADROOM);
  }

  /** A request went unanswered: the next one gets more time. */
  timedOut(): void {
    this.millis = clamp(this.millis * HEADROOM);
  }
}

function clamp(millis: number): number {
  return Math.min(MAX_MILLIS, Math.max(MIN_MILLIS, millis));
}
