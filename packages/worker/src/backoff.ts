/** Exponential backoff with full jitter. */

const BASE_MILLIS = 100;
const MAX_MILLIS = 5000;

export class Backoff {
  private failures = 0;

  /** `random` returns a number from 0 up to, not including, 1. */
  constructor(private readonly random: () => number) {}

  /** How long to wait before the next try, milliseconds. */
  nextMillis(): number {
    const bound = Math.min(MAX_MILLIS, BASE_MILLIS * 2 ** this.failures);
    this.failures += 1;
    return this.random() * bound;
  }

  reset(): void {
    this.failures = 0;
  }
}
