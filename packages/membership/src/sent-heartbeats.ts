/** When this member sent its latest heartbeats, so that an echo tells an instant. */

import type { Incarnation } from '@bamboowell/types/ids';
import type { Instant } from '@bamboowell/types/time';
import type { Echo } from './heartbeat.js';

/** No task sends more heartbeats than one in this time, milliseconds. */
const MILLIS_PER_SEQUENCE = 100;

/** Heartbeats that are remembered. An echo of an older one proves nothing that is still fresh. */
const MAX_REMEMBERED = 32;

export class SentHeartbeats {
  private readonly instants = new Map<number, Instant>();
  private last: number;

  /** Starts above every sequence of a task of this incarnation that was restarted. */
  constructor(
    private readonly incarnation: Incarnation,
    now: Instant,
  ) {
    this.last = Math.floor(now / MILLIS_PER_SEQUENCE);
  }

  /** Notes a heartbeat that is about to be sent and returns its sequence. */
  next(now: Instant): number {
    this.last += 1;
    this.instants.set(this.last, now);
    this.instants.delete(this.last - MAX_REMEMBERED);
    return this.last;
  }

  /** When the echoed heartbeat was sent; whoever echoes it spoke after that. */
  sentAt(echo: Echo | null): Instant | undefined {
    return echo?.incarnation === this.incarnation ? this.instants.get(echo.sequence) : undefined;
  }
}
