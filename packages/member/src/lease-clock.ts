/** Reckons with a worker's own clock: what lease to ask for, and when the longest one is over. */

import { brandAs } from '@bamboowell/types/ids';
import {
  MILLIS_PER_SECOND,
  type Deadline,
  type Instant,
  type WorkerInstant,
} from '@bamboowell/types/time';

/** A worker's clock may run slow by this part, by the platform's word. */
const SLOW_CLOCK_FACTOR = 1.02;
/** Added to the end of a lease, milliseconds: the time that a worker takes to end its runs. */
const LAPSE_SLACK_MILLIS = 150;
/** Length of a lease, milliseconds: outlasts a change of owner, and delays little when a worker is lost. */
const LEASE_MILLIS = 4 * MILLIS_PER_SECOND;

/** One reading of the worker's clock. */
interface Reading {
  readonly worker: WorkerInstant;
  readonly receivedAt: Instant;
}

export class LeaseClock {
  private reading: Reading | undefined;
  private latestEnd: WorkerInstant | undefined;

  constructor(
    private readonly longestMillis: number,
    private readonly earlierEnds: Deadline,
  ) {}

  /** Whether the worker's clock was read. */
  get isSynchronised(): boolean {
    return this.reading !== undefined;
  }

  /** The latest end that was asked for. */
  get latest(): WorkerInstant | undefined {
    return this.latestEnd;
  }

  read(worker: WorkerInstant, receivedAt: Instant): void {
    this.reading = { worker, receivedAt };
  }

  /** The end of a lease that begins now; absent before the clock was read. */
  extend(now: Instant): WorkerInstant | undefined {
    if (this.reading === undefined) {
      return undefined;
    }
    const { worker, receivedAt } = this.reading;
    const length = Math.min(LEASE_MILLIS, this.longestMillis);
    const end = Math.round(worker + (now - receivedAt) + length);
    this.latestEnd = brandAs<WorkerInstant>(Math.max(end, this.latestEnd ?? 0));
    return this.latestEnd;
  }

  /** From then on nothing runs there that was leased by this owner or an earlier one. */
  get lapsesAt(): Deadline {
    if (this.reading === undefined || this.latestEnd === undefined) {
      return this.earlierEnds;
    }
    const left = Math.max(0, this.latestEnd - this.reading.worker);
    const end = this.reading.receivedAt + left * SLOW_CLOCK_FACTOR + LAPSE_SLACK_MILLIS;
    return brandAs<Deadline>(Math.max(end, 0));
  }
}

/** When all leases have ended that were given before `now`. */
export function allLeasesEnd(now: Instant, longestMillis: number): Deadline {
  return brandAs<Deadline>(now + longestMillis * SLOW_CLOCK_FACTOR + LAPSE_SLACK_MILLIS);
}
