/** Tracks the claims that this incarnation has appended and whether their outcome is known. */

import type { Epoch, ShardId } from '@bamboowell/types/ids';

/** A claim that was sent to the log. */
export interface AppendedClaim {
  readonly epoch: Epoch;
  /** Whether the shard had no owner when it was claimed: released, or never owned. */
  readonly afterRelease: boolean;
}

/**
 * Tracks claims until their outcome is known. An append may take effect long after its answer was
 * lost, so a claim counts as unresolved until the fold reaches its epoch. By then it has either won
 * or is void for good.
 */
export class ClaimLedger {
  private readonly claims = new Map<ShardId, Map<Epoch, AppendedClaim>>();
  private readonly won = new Map<ShardId, Epoch>();
  private readonly folded = new Map<ShardId, Epoch>();

  /** Records a claim. Called before the claim is sent to the log. */
  recordAppend(shard: ShardId, claim: AppendedClaim): void {
    const ofShard = this.claims.get(shard) ?? new Map<Epoch, AppendedClaim>();
    ofShard.set(claim.epoch, claim);
    this.claims.set(shard, ofShard);
  }

  /** Records the epoch that the fold of the shard's stream has reached. */
  recordFoldedEpoch(shard: ShardId, epoch: Epoch): void {
    this.folded.set(shard, epoch);
  }

  /**
   * Records that a claim of this incarnation's own writer was applied. The owner in the fold does
   * not prove that: an earlier incarnation of this member has the same member id.
   */
  recordApplied(shard: ShardId, epoch: Epoch): void {
    this.won.set(shard, epoch);
    this.recordFoldedEpoch(shard, epoch);
  }

  /** The claim with which this incarnation won the epoch, if it did. */
  wonClaim(shard: ShardId, epoch: Epoch): AppendedClaim | undefined {
    return this.won.get(shard) === epoch ? this.claims.get(shard)?.get(epoch) : undefined;
  }

  /** The shards for which a claim of this incarnation may still win. */
  unresolvedShards(): ShardId[] {
    return [...this.claims.keys()].filter((shard) => this.isUnresolved(shard));
  }

  isUnresolved(shard: ShardId): boolean {
    const reached = this.folded.get(shard) ?? 0;
    const epochs = [...(this.claims.get(shard)?.keys() ?? [])];
    return epochs.some((epoch) => epoch > reached);
  }
}
