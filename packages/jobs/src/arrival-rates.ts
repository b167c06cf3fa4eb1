/** How much demand was accepted of late by queue, as the measure of what will arrive next. */

import type { QueueId } from '@bamboowell/types/ids';
import type { JobQueue } from '@bamboowell/types/job';
import type { Instant } from '@bamboowell/types/time';
import { NO_DEMAND, type Demand } from './waiting-demand.js';

/** Time constant of the moving average, milliseconds: several arrivals of a queue with few large jobs. */
const TIME_CONSTANT_MILLIS = 3000;
/** An average over a shorter time than this, milliseconds, would show a single arrival as a high rate. */
const MIN_SPAN_MILLIS = 1000;

interface Arrivals extends Demand {
  readonly priority: number;
  readonly at: Instant;
}

/** An exponentially weighted moving average of what is accepted. */
export class ArrivalRates {
  private readonly arrivals = new Map<QueueId, Arrivals>();
  private since: Instant | undefined;

  record({ id, priority }: JobQueue, { millicores, work }: Demand, now: Instant): void {
    this.since ??= now;
    const known = this.arrivals.get(id);
    const decay = known === undefined ? 0 : decayOf(now - known.at);
    const before = known ?? NO_DEMAND;
    this.arrivals.set(id, {
      millicores: before.millicores * decay + millicores,
      work: before.work * decay + work,
      priority,
      at: now,
    });
  }

  /**
   * Processor time, thousandths of a core, that the arrivals of priorities before this one take all the time
   * if they go on: the work that arrives in a millisecond.
   */
  usageBefore(priority: number, now: Instant): number {
    let usage = 0;
    for (const arrivals of this.arrivals.values()) {
      usage += arrivals.priority < priority ? this.ratesOf(arrivals, now).work : 0;
    }
    return usage;
  }

  /** Processor time, thousandths of a core, that what arrives within the time takes at its end. */
  neededWithin(millis: number, now: Instant): number {
    let needed = 0;
    for (const arrivals of this.arrivals.values()) {
      const { millicores, work } = this.ratesOf(arrivals, now);
      // What arrives runs for work / millicores, and leaves its room again after that.
      needed += Math.min(millicores * millis, work);
    }
    return needed;
  }

  /** Demand by millisecond. */
  private ratesOf({ millicores, work, at }: Arrivals, now: Instant): Demand {
    const span = Math.max(MIN_SPAN_MILLIS, now - (this.since ?? now));
    // The average is over less than its time constant as long as that has not passed.
    const factor = decayOf(now - at) / (TIME_CONSTANT_MILLIS * (1 - decayOf(span)));
    return { millicores: millicores * factor, work: work * factor };
  }
}

function decayOf(millis: number): number {
  return Math.exp(-millis / TIME_CONSTANT_MILLIS);
}
