/** When the next append may be sent: group commit adapted to the log's latency and to a budget. */

import { brandAs } from '@bamboowell/types/ids';
import {
  deadlineAfter,
  MILLIS_PER_SECOND,
  type Deadline,
  type Instant,
} from '@bamboowell/types/time';

/** What all nodes together may append, of the several hundred a second that the log takes. */
export const CELL_APPENDS_PER_SECOND = 300;

/** Appends that an idle stream may send at once before its rate is held down. */
const BURST_APPENDS = 5;

/** Weight of the newest latency in the moving average. */
const LATENCY_WEIGHT = 0.2;

/** Part of the average latency for which records are gathered before an append. */
const GATHER_PART = 0.25;
const MIN_GATHER_MILLIS = 1;
const MAX_GATHER_MILLIS = 25;

/** The part of the cell's appends for each of `streams` busy streams, appends per second. */
export function appendShare(streams: number): number {
  return CELL_APPENDS_PER_SECOND / Math.max(1, streams);
}

/** A token bucket of appends, together with the gathering time. Pure. */
export class AppendPace {
  private averageMillis = 0;
  private tokens = BURST_APPENDS;
  private filledAt: Instant | undefined;

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

  /** When records that begin to wait at `now` go out. */
  nextSend(now: Instant): Deadline {
    this.fill(now);
    const missing = Math.max(0, 1 - this.tokens);
    const budgetMillis = (missing * MILLIS_PER_SECOND) / this.appendsPerSecond;
    return deadlineAfter(now, Math.max(this.gatherMillis(), budgetMillis));
  }

  sent(now: Instant): void {
    this.fill(now);
    this.tokens -= 1;
  }

  private gatherMillis(): number {
    const part = this.averageMillis * GATHER_PART;
    return Math.min(MAX_GATHER_MILLIS, Math.max(MIN_GATHER_MILLIS, part));
  }

  private fill(now: Instant): void {
    const elapsed = now - (this.filledAt ?? now);
    const fresh = (elapsed * this.appendsPerSecond) / MILLIS_PER_SECOND;
    this.tokens = Math.min(BURST_APPENDS, this.tokens + fresh);
    this.filledAt = brandAs<Instant>(now);
  }
}
