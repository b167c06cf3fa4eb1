/**
 * Converts between the owner's clock and a worker's: which lease to request, and when the latest
 * one has ended.
 */

import { brandAs } from '@bamboowell/types/ids';
import {
  MILLIS_PER_SECOND,
  earlier,
  type Deadline,
  type Instant,
  type WorkerInstant,
} from '@bamboowell/types/time';

/** Factor by which a worker's clock may run slow, as guaranteed by the platform. */
const CLOCK_DRIFT_FACTOR = 1.02;
/** Added to the end of a lease: the time that a worker needs to end its runs. */
const LAPSE_SLACK_MILLIS = 150;
/** Long enough to outlast a change of owner, short enough to reschedule soon when a worker is lost. */
const LEASE_MILLIS = 4 * MILLIS_PER_SECOND;

/** A reading of the worker's clock. */
interface Reading {
  readonly worker: WorkerInstant;
  readonly receivedAt: Instant;
}

export class LeaseClock {
  private reading: Reading | undefined;
  private latestEnd: WorkerInstant | undefined;

  constructor(
    private readonly longestMillis: number,
    /** When all leases have ended that the worker may have had before its clock is read. */
    private earlierLeasesEnd: Deadline,
  ) {}

  /** Whether the worker's clock has been read. */
  get isSynchronised(): boolean {
    return this.reading !== undefined;
  }

  /** The latest lease end that was requested. */
  get latest(): WorkerInstant | undefined {
    return this.latestEnd;
  }

  /** The worker has answered, and from then on refuses all calls of earlier links. */
  synchronise(worker: WorkerInstant, receivedAt: Instant): void {
    if (this.reading === undefined) {
      const endsBy = allLeasesEnd(receivedAt, this.longestMillis);
      this.earlierLeasesEnd = earlier(this.earlierLeasesEnd, endsBy);
    }
    this.reading = { worker, receivedAt };
  }

  /** Returns the end of a lease that begins now; undefined before the clock has been read. */
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

  /** When all runs leased by this owner or an earlier one have ended on the worker. */
  get lapsesAt(): Deadline {
    if (this.reading === undefined || this.latestEnd === undefined) {
      return this.earlierLeasesEnd;
    }
    const left = Math.max(0, this.latestEnd - this.reading.worker);
    const end = this.reading.receivedAt + left * CLOCK_DRIFT_FACTOR + LAPSE_SLACK_MILLIS;
    return brandAs<Deadline>(Math.max(end, this.earlierLeasesEnd));
  }
}

/** When all leases granted before `now` have ended. */
export function allLeasesEnd(now: Instant, longestMillis: number): Deadline {
  return brandAs<Deadline>(now + longestMillis * CLOCK_DRIFT_FACTOR + LAPSE_SLACK_MILLIS);
}

/** When all leases have ended that were renewed until `renewalsEnd` by owners that can't be reached. */
export function leasesEndAfter(renewalsEnd: Deadline, longestMillis: number): Deadline {
  const millis = Math.min(LEASE_MILLIS, longestMillis) * CLOCK_DRIFT_FACTOR + LAPSE_SLACK_MILLIS;
  return brandAs<Deadline>(renewalsEnd + millis);
}
