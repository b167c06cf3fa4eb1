/**
 * Decides when the next append may be sent: group commit that adapts to the latency of the log,
 * within a rate limit.
 */

import { brandAs } from '@bamboowell/types/ids';
import {
  deadlineAfter,
  MILLIS_PER_SECOND,
  type Deadline,
  type Instant,
} from '@bamboowell/types/time';

/** Rate limit of the whole cell. The log takes several hundred appends per second. */
export const CELL_APPENDS_PER_SECOND = 300;

/** Appends that an idle stream may send at once before the rate limit applies. */
const BURST_APPENDS = 5;

/** Weight of the latest latency in the moving average. */
const LATENCY_WEIGHT = 0.2;

/** Fraction of the average latency for which records are collected before an append. */
const BATCH_DELAY_FRACTION = 0.25;
const MIN_BATCH_DELAY_MILLIS = 1;
const MAX_BATCH_DELAY_MILLIS = 25;

/**
 * Returns the share of each of `streams` busy streams in the cell's rate limit, appends per second.
 */
export function appendShare(streams: number): number {
  return CELL_APPENDS_PER_SECOND / Math.max(1, streams);
}

/** A token bucket for appends, combined with the batching delay. Does no I/O. */
export class AppendPace {
  private averageMillis = 0;
  private tokens = BURST_APPENDS;
  private refilledAt: Instant | undefined;

  constructor(private readonly appendsPerSecond: number) {}

  /** Moving average of the latency of answered appends, milliseconds. */
  get latencyMillis(): number {
    return this.averageMillis;
  }

  answered(sentAt: Instant, now: Instant): void {
    const latency = now - sentAt;
    this.averageMillis =
      this.averageMillis === 0
        ? latency
        : this.averageMillis + LATENCY_WEIGHT * (latency - this.averageMillis);
  }

  /** Returns when records that are queued at `now` may be sent. */
  nextSend(now: Instant): Deadline {
    this.refill(now);
    const missingTokens = Math.max(0, 1 - this.tokens);
    const rateLimitMillis = (missingTokens * MILLIS_PER_SECOND) / this.appendsPerSecond;
    return deadlineAfter(now, Math.max(this.batchDelayMillis(), rateLimitMillis));
  }

  sent(now: Instant): void {
    this.refill(now);
    this.tokens -= 1;
  }

  private batchDelayMillis(): number {
    const delay = this.averageMillis * BATCH_DELAY_FRACTION;
    return Math.min(MAX_BATCH_DELAY_MILLIS, Math.max(MIN_BATCH_DELAY_MILLIS, delay));
  }

  private refill(now: Instant): void {
    const elapsed = now - (this.refilledAt ?? now);
    const added = (elapsed * this.appendsPerSecond) / MILLIS_PER_SECOND;
    this.tokens = Math.min(BURST_APPENDS, this.tokens + added);
    this.refilledAt = brandAs<Instant>(now);
  }
}
