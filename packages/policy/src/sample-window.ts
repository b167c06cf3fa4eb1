/** The newest of a series of numbers, so that estimates follow changes and memory stays bounded. */

export class SampleWindow {
  private readonly samples: number[] = [];
  private next = 0;

  constructor(private readonly capacity: number) {}

  get size(): number {
    return this.samples.length;
  }

  /** Adds a sample in place of the oldest one if the window is full. */
  add(sample: number): void {
    this.samples[this.next] = sample;
    this.next = (this.next + 1) % this.capacity;
  }

  /** In no particular order; windows of equal capacity that are filled together have the same. */
  get values(): readonly number[] {
    return this.samples;
  }
}

/** @param fraction between 0 and 1; the result is interpolated between neighbours. */
export function quantileOf(sorted: readonly number[], fraction: number): number {
  const position = fraction * (sorted.length - 1);
  const low = sorted[Math.floor(position)] ?? 0;
  const high = sorted[Math.ceil(position)] ?? low;
  return low + (position - Math.floor(position)) * (high - low);
}

export function sortedOf(values: readonly number[]): number[] {
  return [...values].sort((left, right) => left - right);
}

export function medianOf(values: readonly number[]): number {
  return quantileOf(sortedOf(values), 0.5);
}
