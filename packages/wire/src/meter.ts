/** Destination of the counts of messages, bytes and errors. */

export abstract class Meter {
  /** Adds `by` to the counter `name`. */
  abstract count(name: string, by: number): void;
}

/** Keeps the counts in memory. */
export class MemoryMeter extends Meter {
  private readonly counts = new Map<string, number>();

  count(name: string, by: number): void {
    this.counts.set(name, this.read(name) + by);
  }

  /** The sum so far; zero if nothing was counted. */
  read(name: string): number {
    return this.counts.get(name) ?? 0;
  }

  /** All counters, sorted by name. */
  entries(): [string, number][] {
    return [...this.counts].sort(([left], [right]) => left.localeCompare(right));
  }
}

/** Drops all counts. */
export class DiscardingMeter extends Meter {
  count(): void {
    return undefined;
  }
}
