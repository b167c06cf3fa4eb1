/** Choice of the shard of a region that handles a request. */

import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { RequestId, ShardId, TeamId } from '@bamboowell/types/ids';

/**
 * The shard for durable work, by rendezvous hashing of team and request id. A repeated request
 * reaches the same shard through any daemon. When a shard is added or removed, only requests that
 * it gains or loses move. Size and load of shards are not used because daemons may see them
 * differently.
 */
export function shardForWork(
  team: TeamId,
  request: RequestId,
  shards: Iterable<ShardId>,
): ShardId | undefined {
  let best: ShardId | undefined;
  let bestScore = -1;
  for (const shard of shards) {
    const score = hashOf([team, request, shard]);
    if (score > bestScore || (score === bestScore && best !== undefined && shard < best)) {
      best = shard;
      bestScore = score;
    }
  }
  return best;
}

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
/**
 * Terminates each part, so that different parts with the same concatenation have different hashes.
 */
const PART_TERMINATOR = 0x1f;

/** FNV-1a over UTF-16 code units, with the finalizer of MurmurHash3; from 0 to 2^32 - 1. */
export function hashOf(parts: readonly string[]): number {
  let hash = FNV_OFFSET;
  for (const part of parts) {
    for (let index = 0; index < part.length; index += 1) {
      hash = Math.imul(hash ^ part.charCodeAt(index), FNV_PRIME);
    }
    hash = Math.imul(hash ^ PART_TERMINATOR, FNV_PRIME);
  }
  return finalize(hash);
}

function finalize(hash: number): number {
  let bits = hash;
  bits = Math.imul(bits ^ (bits >>> 16), 0x85ebca6b);
  bits = Math.imul(bits ^ (bits >>> 13), 0xc2b2ae35);
  return (bits ^ (bits >>> 16)) >>> 0;
}

/** The state of a shard as a daemon sees it. */
export interface ShardLoad {
  readonly shard: ShardId;
  /** Whether the owner of the shard is known and answers. */
  readonly reachable: boolean;
  /** Number of waiting and running calls, divided by the number of slots. */
  readonly load: number;
}

/**
 * The shard for a quick call: the less loaded of two random reachable shards, so that daemons with
 * the same stale load figures do not all choose the same shard.
 */
export function shardForCall(
  shards: readonly ShardLoad[],
  random: RandomGenerator,
): ShardId | undefined {
  const reachable = shards.filter((shard) => shard.reachable);
  const first = randomOf(reachable, random);
  const second = randomOf(
    reachable.filter((shard) => shard !== first),
    random,
  );
  if (first === undefined || second === undefined) {
    return first?.shard;
  }
  return second.load < first.load ? second.shard : first.shard;
}

function randomOf(shards: readonly ShardLoad[], random: RandomGenerator): ShardLoad | undefined {
  return shards.length === 0 ? undefined : shards[uniformInt(random, 0, shards.length - 1)];
}
