/** Which shard of a region takes a piece of work. */

import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { RequestId, ShardId, TeamId } from '@bamboowell/types/ids';

/**
 * The shard for durable work, by rendezvous hash of team and request id. A repeat of a request
 * reaches the same shard from every daemon; when a shard is added or removed, only the work that it
 * gains or had moves. Size and load are left out on purpose: daemons may see them differently.
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
/** Ends each part, so that parts that join to the same text differ. */
const PART_END = 0x1f;

/** FNV-1a over UTF-16 code units with the final mix of MurmurHash3; from 0 to 2^32 - 1. */
function hashOf(parts: readonly string[]): number {
  let hash = FNV_OFFSET;
  for (const part of parts) {
    for (let index = 0; index < part.length; index += 1) {
      hash = Math.imul(hash ^ part.charCodeAt(index), FNV_PRIME);
    }
    hash = Math.imul(hash ^ PART_END, FNV_PRIME);
  }
  return mixed(hash);
}

function mixed(hash: number): number {
  let bits = hash;
  bits = Math.imul(bits ^ (bits >>> 16), 0x85ebca6b);
  bits = Math.imul(bits ^ (bits >>> 13), 0xc2b2ae35);
  return (bits ^ (bits >>> 16)) >>> 0;
}

/** A shard as a daemon sees it. */
export interface ShardLoad {
  readonly shard: ShardId;
  /** Whether its owner is known and answers. */
  readonly reachable: boolean;
  /** Calls that wait or run, divided by slots. */
  readonly load: number;
}

/**
 * The shard for a quick call: the less loaded of two reachable ones drawn at random, so that
 * daemons with the same stale figures do not all take the same shard.
 */
export function shardForCall(
  shards: readonly ShardLoad[],
  random: RandomGenerator,
): ShardId | undefined {
  const reachable = shards.filter((shard) => shard.reachable);
  const first = drawn(reachable, random);
  const second = drawn(
    reachable.filter((shard) => shard !== first),
    random,
  );
  if (first === undefined || second === undefined) {
    return first?.shard;
  }
  return second.load < first.load ? second.shard : first.shard;
}

function drawn(shards: readonly ShardLoad[], random: RandomGenerator): ShardLoad | undefined {
  return shards.length === 0 ? undefined : shards[uniformInt(random, 0, shards.length - 1)];
}
