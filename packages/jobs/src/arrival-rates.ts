/** How much demand was accepted of late, as the measure of what will arrive next. */

import type { Instant } from '@bamboowell/types/time';
import { NO_DEMAND, type Demand } from './waiting-demand.js';

/** Time constant of the moving average, milliseconds: several arrivals of a queue with few large jobs. */
const TIME_CONSTANT_MILLIS = 3000;
/** An average over a shorter time than this, milliseconds, would show a single arrival as a high rate. */
const MIN_SPAN_MILLIS = 1000;

interface Arrivals extends Demand {
  readonly at: Instant;
}

/** What is accepted by priority, as an exponentially weighted moving average. */
export class ArrivalRates {
  private readonly arrivals = new Map<number, Arrivals>();
  private since: Instant | undefined;

  record(priority: number, { millicores, work }: Demand, now: Instant): void {
    this.since ??= now;
    const known = this.arrivals.get(priority);
    const decay = known === undefined ? 0 : decayOf(now - known.at);
    const before = known ?? NO_DEMAND;
    this.arrivals.set(priority, {
      millicores: before.millicores * decay + millicores,
      work: before.work * decay + work,
      at: now,
    });
  }

  /**
   * Processor time, thousandths of a core, that the arrivals of priorities before this one take all the time
   * if they go on: the work that arrives in a millisecond.
   */
  usageBefore(priority: number, now: Instant): number {
    const span = Math.max(MIN_SPAN_MILLIS, now - (this.since ?? now));
    // The average is over less than its time constant as long as that has not passed.
    const weight = TIME_CONSTANT_MILLIS * (1 - decayOf(span));
    let usage = 0;
    for (const [own, { work, at }] of this.arrivals) {
      usage += own < priority ? (work * decayOf(now - at)) / weight : 0;
    }
    return usage;
  }
}

function decayOf(millis: number): number {
  return Math.exp(-millis / TIME_CONSTANT_MILLIS);
}
