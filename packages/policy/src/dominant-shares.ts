/** Weighted dominant shares of teams. */

import type { TeamId } from '@bamboowell/types/ids';
import { add, DIMENSIONS, NO_RESOURCES, type Resources } from '@bamboowell/types/resources';
import type { Instant } from '@bamboowell/types/time';
import type { TeamUsage } from './ordering.js';

/** Length of time over which the average of a team's share mostly forms. */
const AVERAGE_MILLIS = 300_000;
/** The average counts as at least and at most this part of the present share. */
const LEAST_AVERAGE_PART = 0.5;
const MOST_AVERAGE_PART = 2;

interface TeamAccount {
  here: Resources;
  elsewhere: Resources;
  weight: number;
  /** Present share, and its exponentially weighted average over time. */
  share: number;
  average: number;
}

const NEW_ACCOUNT: Readonly<TeamAccount> = {
  here: NO_RESOURCES,
  elsewhere: NO_RESOURCES,
  weight: 1,
  share: 0,
  average: 0,
};

/** What each team has running, as the largest part of any dimension, divided by its weight. */
export class DominantShares {
  private readonly accounts = new Map<TeamId, TeamAccount>();
  private capacity: Resources = NO_RESOURCES;
  private averagedAt: Instant | undefined;

  /** The team's weighted dominant share; 1 is the whole fleet at weight 1. */
  shareOf(team: TeamId): number {
    return this.accounts.get(team)?.share ?? 0;
  }

  /** Carries the averages on to `now`; changes until the next call count as made at `now`. */
  advance(now: Instant): void {
    const part = 1 - Math.exp(-(now - (this.averagedAt ?? now)) / AVERAGE_MILLIS);
    this.averagedAt = now;
    for (const account of this.accounts.values()) {
      account.average += (account.share - account.average) * part;
    }
  }

  /**
   * What teams are ordered by: the mean of the present share, with half of the next task added, and
   * the average share. The half keeps teams from gaining by tasks that are large for their weight,
   * the average lets a team that was above its share wait, and one that was below it catch up.
   */
  rankOf(team: TeamId, nextTask: Resources): number {
    const account = this.accounts.get(team) ?? NEW_ACCOUNT;
    const present = this.withHalf(account, nextTask);
    const average = Math.min(
      Math.max(account.average, present * LEAST_AVERAGE_PART),
      present * MOST_AVERAGE_PART,
    );
    return (present + average) / 2;
  }

  /**
   * How far the team's share is above the one that all teams with something running would have if
   * they ran as much in proportion to their weights. Negative below it.
   */
  excessOf(team: TeamId): number {
    let parts = 0;
    let weights = 0;
    for (const { share, weight } of this.accounts.values()) {
      if (share > 0) {
        parts += share * weight;
        weights += weight;
      }
    }
    return weights === 0 ? 0 : this.shareOf(team) - parts / weights;
  }

  addUsage(team: TeamId, amount: Resources): void {
    const account = this.accountOf(team);
    account.here = add(account.here, amount);
    this.refresh(account);
  }

  /** Replaces all usage of other shards. */
  setRemoteUsage(usage: readonly TeamUsage[]): void {
    for (const account of this.accounts.values()) {
      account.elsewhere = NO_RESOURCES;
    }
    for (const { team, running } of usage) {
      this.accountOf(team).elsewhere = running;
    }
    this.refreshAll();
  }

  /** Replaces all weights. A team without one has weight 1; a weight is never less than 1. */
  setWeights(weights: ReadonlyMap<TeamId, number>): void {
    for (const account of this.accounts.values()) {
      account.weight = 1;
    }
    for (const [team, weight] of weights) {
      this.accountOf(team).weight = Math.max(1, weight);
    }
    this.refreshAll();
  }

  setCapacity(capacity: Resources): void {
    this.capacity = capacity;
    this.refreshAll();
  }

  private withHalf(account: TeamAccount, amount: Resources): number {
    let largest = 0;
    for (const dimension of DIMENSIONS) {
      const capacity = this.capacity[dimension];
      if (capacity > 0) {
        const running = account.here[dimension] + account.elsewhere[dimension];
        largest = Math.max(largest, (running + amount[dimension] / 2) / capacity);
      }
    }
    return largest / account.weight;
  }

  private accountOf(team: TeamId): TeamAccount {
    const account = this.accounts.get(team) ?? { ...NEW_ACCOUNT };
    this.accounts.set(team, account);
    return account;
  }

  private refreshAll(): void {
    for (const account of this.accounts.values()) {
      this.refresh(account);
    }
  }

  private refresh(account: TeamAccount): void {
    const running = add(account.here, account.elsewhere);
    account.share = dominantShareOf(running, this.capacity) / account.weight;
  }
}

/** The largest part of any dimension's capacity that the amount takes. */
export function dominantShareOf(amount: Resources, capacity: Resources): number {
  let largest = 0;
  for (const dimension of DIMENSIONS) {
    if (capacity[dimension] > 0) {
      largest = Math.max(largest, amount[dimension] / capacity[dimension]);
    }
  }
  return largest;
}
