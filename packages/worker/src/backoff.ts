/** Exponential backoff with full jitter. */

const BASE_MILLIS = 100;
const MAX_MILLIS = 5000;

export class Backoff {
  private failures = 0;

  /** @param random returns numbers in [0, 1) */
  constructor(private readonly random: () => number) {}

  /** Returns the delay before the next attempt, milliseconds. */
  nextMillis(): number {
    const bound = Math.min(MAX_MILLIS, BASE_MILLIS * 2 ** this.failures);
    this.failures += 1;
    return this.random() * bound;
  }

  reset(): void {
    this.failures = 0;
  }
}
