/** Tells which jobs a team sends beyond the rate that it was promised. */

import type { TeamId } from '@bamboowell/types/ids';
import type { WallInstant } from '@bamboowell/types/job';
import { MILLIS_PER_SECOND } from '@bamboowell/types/time';

/** A team may send the jobs of so many seconds at once, seconds: arrivals of a second or two bunch by chance. */
const BURST_SECONDS = 2;

interface Bucket {
  readonly jobs: number;
  readonly at: WallInstant;
}

/** One bucket a team, filled with its promised jobs a second. */
export class TokenBuckets {
  private readonly buckets = new Map<TeamId, Bucket>();

  /** Counts a job of the team; false if it is beyond the promise. */
  take(team: TeamId, jobsPerSecond: number, now: WallInstant): boolean {
    const most = Math.max(1, jobsPerSecond * BURST_SECONDS);
    const bucket = this.buckets.get(team) ?? { jobs: most, at: now };
    const passed = Math.max(0, now - bucket.at) / MILLIS_PER_SECOND;
    const jobs = Math.min(most, bucket.jobs + passed * jobsPerSecond);
    const isWithin = jobs >= 1;
    this.buckets.set(team, { jobs: isWithin ? jobs - 1 : jobs, at: now });
    return isWithin;
  }
}
