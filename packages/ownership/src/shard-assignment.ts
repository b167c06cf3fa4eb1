/** Assigns shards to the members of a region. Every member computes the same assignment. */

import type { MemberId, ShardId } from '@bamboowell/types/ids';

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** A well-mixed 32-bit hash of the text (FNV-1a with the finalizer of MurmurHash3). */
function hashOf(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** The members in descending order of their rendezvous hash for the shard. */
export function rendezvousOrder(shard: ShardId, members: readonly MemberId[]): MemberId[] {
  const scored = members.map((member) => ({ member, score: hashOf(`${shard}|${member}`) }));
  scored.sort((left, right) => right.score - left.score || (left.member < right.member ? -1 : 1));
  return scored.map(({ member }) => member);
}

/**
 * The members in the order in which they should claim the shard: first the one that `assignShards`
 * assigns it to, then the others in rendezvous order.
 */
export function claimOrder(
  shard: ShardId,
  shards: readonly ShardId[],
  members: readonly MemberId[],
): MemberId[] {
  const assigned = assignShards([...new Set([...shards, shard])].sort(), members).get(shard);
  const order = rendezvousOrder(shard, members);
  return assigned === undefined
    ? order
    : [assigned, ...order.filter((member) => member !== assigned)];
}

/**
 * The preferred owner of each shard. Assigns the shards one by one, each to the first member in
 * rendezvous order that has less than an even share of the shards.
 */
export function assignShards(
  shards: readonly ShardId[],
  members: readonly MemberId[],
): ReadonlyMap<ShardId, MemberId> {
  const evenShare = Math.ceil(shards.length / Math.max(1, members.length));
  const counts = new Map<MemberId, number>();
  const owners = new Map<ShardId, MemberId>();
  for (const shard of shards) {
    const order = rendezvousOrder(shard, members);
    const chosen = order.find((member) => (counts.get(member) ?? 0) < evenShare);
    if (chosen !== undefined) {
      counts.set(chosen, (counts.get(chosen) ?? 0) + 1);
      owners.set(shard, chosen);
    }
  }
  return owners;
}
