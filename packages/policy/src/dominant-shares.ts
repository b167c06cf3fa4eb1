/** Weighted dominant shares of teams. */

import type { TeamId } from '@bamboowell/types/ids';
import { add, DIMENSIONS, NO_RESOURCES, type Resources } from '@bamboowell/types/resources';
import type { Instant } from '@bamboowell/types/time';
import type { TeamUsage } from './ordering.js';

/** Time constant of the moving average of a team's share. */
const AVERAGE_TIME_CONSTANT_MILLIS = 300_000;
/** Bounds on the average, as multiples of the present share. */
const MIN_AVERAGE_RATIO = 0.5;
const MAX_AVERAGE_RATIO = 2;

interface TeamAccount {
  /** Usage in this shard. */
  local: Resources;
  /** Usage in other shards. */
  remote: Resources;
  weight: number;
  /** Present weighted dominant share. */
  share: number;
  /** Exponentially weighted moving average of `share`. */
  average: number;
}

const NEW_ACCOUNT: Readonly<TeamAccount> = {
  local: NO_RESOURCES,
  remote: NO_RESOURCES,
  weight: 1,
  share: 0,
  average: 0,
};

/**
 * Dominant share of each team: the largest fraction of any dimension that it uses, divided by its
 * weight.
 */
export class DominantShares {
  private readonly accounts = new Map<TeamId, TeamAccount>();
  private capacity: Resources = NO_RESOURCES;
  private averagedAt: Instant | undefined;

  /** Changes to the copy leave this one as it is. */
  copy(): DominantShares {
    const copy = new DominantShares();
    this.accounts.forEach((account, team) => copy.accounts.set(team, { ...account }));
    copy.capacity = this.capacity;
    copy.averagedAt = this.averagedAt;
    return copy;
  }

  /** The team's weighted dominant share; 1 is the whole fleet at weight 1. */
  shareOf(team: TeamId): number {
    return this.accounts.get(team)?.share ?? 0;
  }

  /** Updates the averages to `now`; changes until the next call count as made at `now`. */
  advance(now: Instant): void {
    const smoothing =
      1 - Math.exp(-(now - (this.averagedAt ?? now)) / AVERAGE_TIME_CONSTANT_MILLIS);
    this.averagedAt = now;
    for (const account of this.accounts.values()) {
      account.average += (account.share - account.average) * smoothing;
    }
  }

  /**
   * Sort key of the teams, lowest first: the mean of the present share, with half of the next task
   * added, and the average share. Half of the next task is added so that a team gains nothing from
   * tasks that are large for its weight. The average lets a team that was below its share catch up
   * while one that was above it waits.
   */
  rankOf(team: TeamId, nextTask: Resources): number {
    const account = this.accounts.get(team) ?? NEW_ACCOUNT;
    const present = this.shareWithHalfOf(account, nextTask);
    const average = Math.min(
      Math.max(account.average, present * MIN_AVERAGE_RATIO),
      present * MAX_AVERAGE_RATIO,
    );
    return (present + average) / 2;
  }

  /**
   * Difference between the team's share and the equal weighted share that all teams with running
   * work would have if the same total were divided by weight. Negative below it.
   */
  excessOf(team: TeamId): number {
    let weightedShares = 0;
    let weights = 0;
    for (const { share, weight } of this.accounts.values()) {
      if (share > 0) {
        weightedShares += share * weight;
        weights += weight;
      }
    }
    return weights === 0 ? 0 : this.shareOf(team) - weightedShares / weights;
  }

  addUsage(team: TeamId, amount: Resources): void {
    const account = this.accountOf(team);
    account.local = add(account.local, amount);
    this.refresh(account);
  }

  /** Replaces the usage in other shards, for all teams. */
  setRemoteUsage(usage: readonly TeamUsage[]): void {
    for (const account of this.accounts.values()) {
      account.remote = NO_RESOURCES;
    }
    for (const { team, running } of usage) {
      this.accountOf(team).remote = running;
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

  private shareWithHalfOf(account: TeamAccount, amount: Resources): number {
    let largest = 0;
    for (const dimension of DIMENSIONS) {
      const capacity = this.capacity[dimension];
      if (capacity > 0) {
        const running = account.local[dimension] + account.remote[dimension];
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
    const running = add(account.local, account.remote);
    account.share = dominantShareOf(running, this.capacity) / account.weight;
  }
}

/** The largest fraction of any dimension's capacity that the amount takes. */
export function dominantShareOf(amount: Resources, capacity: Resources): number {
  let largest = 0;
  for (const dimension of DIMENSIONS) {
    if (capacity[dimension] > 0) {
      largest = Math.max(largest, amount[dimension] / capacity[dimension]);
    }
  }
  return largest;
}
