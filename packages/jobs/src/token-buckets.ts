/** Tells which jobs exceed the rate that their team was promised. */

import type { TeamId } from '@bamboowell/types/ids';
import type { WallInstant } from '@bamboowell/types/job';
import { MILLIS_PER_SECOND } from '@bamboowell/types/time';

/** Bucket capacity in seconds of the promised rate: arrivals of a second or two bunch by chance. */
const BURST_SECONDS = 2;

interface Bucket {
  readonly tokens: number;
  readonly at: WallInstant;
}

/** A token bucket for each team, refilled at its promised jobs per second. */
export class TokenBuckets {
  private readonly buckets = new Map<TeamId, Bucket>();

  /** Takes a token for a job of the team; false if the job exceeds the promised rate. */
  take(team: TeamId, jobsPerSecond: number, now: WallInstant): boolean {
    const tokens = this.tokensAt(team, jobsPerSecond, now);
    const hasToken = tokens >= 1;
    this.buckets.set(team, { tokens: hasToken ? tokens - 1 : tokens, at: now });
    return hasToken;
  }

  /** Whether a job of the team would get a token. */
  has(team: TeamId, jobsPerSecond: number, now: WallInstant): boolean {
    return this.tokensAt(team, jobsPerSecond, now) >= 1;
  }

  /** Returns the token of a job that was not accepted after all. */
  giveBack(team: TeamId): void {
    const bucket = this.buckets.get(team);
    if (bucket !== undefined) {
      this.buckets.set(team, { ...bucket, tokens: bucket.tokens + 1 });
    }
  }

  private tokensAt(team: TeamId, jobsPerSecond: number, now: WallInstant): number {
    const capacity = Math.max(1, jobsPerSecond * BURST_SECONDS);
    const bucket = this.buckets.get(team) ?? { tokens: capacity, at: now };
    const elapsedSeconds = Math.max(0, now - bucket.at) / MILLIS_PER_SECOND;
    return Math.min(capacity, bucket.tokens + elapsedSeconds * jobsPerSecond);
  }
}
