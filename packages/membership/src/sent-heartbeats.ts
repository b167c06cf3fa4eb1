/** Remembers when this member sent its latest heartbeats, so that an echo can be dated. */

import type { Incarnation } from '@bamboowell/types/ids';
import type { Instant } from '@bamboowell/types/time';
import type { Echo } from './heartbeat.js';

/**
 * A new task skips one sequence number for each such interval on the clock, milliseconds. On
 * average, a task sends heartbeats less often than that.
 */
const MILLIS_PER_SEQUENCE = 100;

/** Number of heartbeats remembered. An echo of an older one proves nothing that is still fresh. */
const MAX_REMEMBERED = 32;

export class SentHeartbeats {
  private readonly instants = new Map<number, Instant>();
  private last: number;

  /** Starts above every sequence number that an earlier task of this incarnation used. */
  constructor(
    private readonly incarnation: Incarnation,
    now: Instant,
  ) {
    this.last = Math.floor(now / MILLIS_PER_SEQUENCE);
  }

  /** Records a heartbeat that is about to be sent and returns its sequence number. */
  next(now: Instant): number {
    this.last += 1;
    this.instants.set(this.last, now);
    this.instants.delete(this.last - MAX_REMEMBERED);
    return this.last;
  }

  /** When the echoed heartbeat was sent; the heartbeat that echoes it was made after that. */
  sentAt(echo: Echo | null): Instant | undefined {
    return echo?.incarnation === this.incarnation ? this.instants.get(echo.sequence) : undefined;
  }
}
