/** Records metrics: counters, gauges and timings. */

import { StatsD } from 'hot-shots';
import type { CounterName, GaugeName, TimingName } from './names.js';

/**
 * Tags of one observation, such as `{ kind: 'batch' }`. Each tag has few values, from a bounded set.
 */
export type Tags = Readonly<Record<string, string>>;

/** Records observations. Never throws, and never waits for the receiver. */
export abstract class Counters {
  abstract increment(name: CounterName, tags?: Tags, by?: number): void;
  abstract gauge(name: GaugeName, value: number): void;
  abstract timing(name: TimingName, millis: number, tags?: Tags): void;

  /** Sends what is buffered and releases the socket. */
  abstract close(): Promise<void>;
}

/** Address of a statsd receiver. */
export interface StatsdAddress {
  readonly host: string;
  readonly port: number;
}

const PREFIX = 'bamboowell.';
const MAX_BUFFER_BYTES = 1400;
const FLUSH_INTERVAL_MILLIS = 1000;

/**
 * Sends metrics to statsd over UDP, several in one datagram. They are lost while the receiver is
 * down.
 */
export class StatsdCounters extends Counters {
  private readonly client: StatsD;

  /** @param onError is called for each datagram that could not be sent. */
  constructor(receiver: StatsdAddress, onError: (error: Error) => void) {
    super();
    this.client = new StatsD({
      host: receiver.host,
      port: receiver.port,
      prefix: PREFIX,
      maxBufferSize: MAX_BUFFER_BYTES,
      bufferFlushInterval: FLUSH_INTERVAL_MILLIS,
      errorHandler: onError,
    });
  }

  increment(name: CounterName, tags: Tags = {}, by = 1): void {
    this.client.increment(name, by, { ...tags });
  }

  gauge(name: GaugeName, value: number): void {
    this.client.gauge(name, value);
  }

  timing(name: TimingName, millis: number, tags: Tags = {}): void {
    this.client.timing(name, millis, { ...tags });
  }

  close(): Promise<void> {
    return new Promise((resolve) => {
      this.client.close(() => {
        resolve();
      });
    });
  }
}

/**
 * Keeps totals in memory, for tests and where no receiver is configured. Counters are kept for each
 * combination of tags, timings for each name.
 */
export class MemoryCounters extends Counters {
  private readonly counts: Count[] = [];
  private readonly gauges = new Map<GaugeName, number>();
  private readonly timings = new Map<TimingName, Timing>();

  increment(name: CounterName, tags: Tags = {}, by = 1): void {
    const found = this.counts.find((count) => count.name === name && areEqual(count.tags, tags));
    if (found === undefined) {
      this.counts.push({ name, tags, sum: by });
    } else {
      found.sum += by;
    }
  }

  gauge(name: GaugeName, value: number): void {
    this.gauges.set(name, value);
  }

  timing(name: TimingName, millis: number): void {
    const { count, totalMillis } = this.timings.get(name) ?? { count: 0, totalMillis: 0 };
    this.timings.set(name, { count: count + 1, totalMillis: totalMillis + millis });
  }

  close(): Promise<void> {
    return Promise.resolve();
  }

  /**
   * Sum of a counter over all its tags, or over those that include `tags`; zero if it was not
   * incremented.
   */
  count(name: CounterName, tags: Tags = {}): number {
    return this.counts
      .filter((count) => count.name === name && includesTags(count.tags, tags))
      .reduce((total, { sum }) => total + sum, 0);
  }

  /** Latest value of a gauge. */
  latest(name: GaugeName): number | undefined {
    return this.gauges.get(name);
  }

  /** Sum and number of the observations of a timing. */
  timingOf(name: TimingName): Timing | undefined {
    return this.timings.get(name);
  }

  /** Sums of all counters that were incremented, over all tags. */
  snapshot(): ReadonlyMap<CounterName, number> {
    return new Map(this.counts.map(({ name }) => [name, this.count(name)]));
  }
}

export interface Timing {
  readonly count: number;
  readonly totalMillis: number;
}

interface Count {
  readonly name: CounterName;
  readonly tags: Tags;
  sum: number;
}

function includesTags(tags: Tags, wanted: Tags): boolean {
  return Object.entries(wanted).every(([key, value]) => tags[key] === value);
}

function areEqual(left: Tags, right: Tags): boolean {
  return includesTags(left, right) && includesTags(right, left);
}
