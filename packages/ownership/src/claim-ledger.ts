/** The claims that this incarnation has appended, and which of them are not resolved yet. */

import type { Epoch, ShardId } from '@bamboowell/types/ids';

/** One claim that was handed to the log. */
export interface AppendedClaim {
  readonly epoch: Epoch;
  /** Whether the shard was released or never owned when it was claimed. */
  readonly afterRelease: boolean;
}

/**
 * An append may take effect long after its answer was lost. A claim is resolved only when the
 * fold has reached its epoch: from then on it has won, or it is void for good.
 */
export class ClaimLedger {
  private readonly claims = new Map<ShardId, Map<Epoch, AppendedClaim>>();
  private readonly won = new Map<ShardId, Epoch>();
  private readonly folded = new Map<ShardId, Epoch>();

  /** Notes a claim before it is handed to the log. */
  recordAppend(shard: ShardId, claim: AppendedClaim): void {
    const ofShard = this.claims.get(shard) ?? new Map<Epoch, AppendedClaim>();
    ofShard.set(claim.epoch, claim);
    this.claims.set(shard, ofShard);
  }

  /** Notes the epoch that the fold of the shard's stream shows. */
  recordFoldedEpoch(shard: ShardId, epoch: Epoch): void {
    this.folded.set(shard, epoch);
  }

  /**
   * A claim record with this incarnation's own writer was applied. The owner's name in the fold is
   * not enough: an earlier incarnation of this member has the same name.
   */
  recordApplied(shard: ShardId, epoch: Epoch): void {
    this.won.set(shard, epoch);
    this.recordFoldedEpoch(shard, epoch);
  }

  /** The claim by which this incarnation won the epoch, if it did. */
  wonClaim(shard: ShardId, epoch: Epoch): AppendedClaim | undefined {
    return this.won.get(shard) === epoch ? this.claims.get(shard)?.get(epoch) : undefined;
  }

  /** The shards for which a claim may still win. */
  unresolvedShards(): ShardId[] {
    return [...this.claims.keys()].filter((shard) => this.isUnresolved(shard));
  }

  isUnresolved(shard: ShardId): boolean {
    const reached = this.folded.get(shard) ?? 0;
    const epochs = [...(this.claims.get(shard)?.keys() ?? [])];
    return epochs.some((epoch) => epoch > reached);
  }
}
