/** Backoff of retries against the log. */

import { deadlineAfter, type Deadline, type Instant } from '@bamboowell/types/time';

const BASE_MILLIS = 50;
const MAX_MILLIS = 2000;

/** Exponential backoff with full jitter above a minimum delay. */
export class Backoff {
  private failures = 0;

  /** @param random returns numbers in [0, 1) */
  constructor(private readonly random: () => number) {}

  succeeded(): void {
    this.failures = 0;
  }

  /** Records a failure. Returns the earliest instant of the next retry. */
  failed(now: Instant): Deadline {
    const ceiling = Math.min(MAX_MILLIS, BASE_MILLIS * 2 ** this.failures);
    this.failures += 1;
    const jitter = this.random() * (ceiling - BASE_MILLIS);
    return deadlineAfter(now, BASE_MILLIS + jitter);
  }
}
