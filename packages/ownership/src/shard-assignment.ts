/** In which order the members of a region should own a shard. The same on every member. */

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

/** The members by falling rendezvous score for the shard. */
export function rendezvousOrder(shard: ShardId, members: readonly MemberId[]): MemberId[] {
  const scored = members.map((member) => ({ member, score: hashOf(`${shard}|${member}`) }));
  scored.sort((left, right) => right.score - left.score || (left.member < right.member ? -1 : 1));
  return scored.map(({ member }) => member);
}

/**
 * The members in the order in which they should claim the shard. Shards are dealt out one by one,
 * each to the best-scored member that has room, where no member gets more than its even part.
 */
export function claimOrder(
  shard: ShardId,
  shards: readonly ShardId[],
  members: readonly MemberId[],
): MemberId[] {
  const dealt = assignShards([...new Set([...shards, shard])].sort(), members).get(shard);
  const order = rendezvousOrder(shard, members);
  return dealt === undefined ? order : [dealt, ...order.filter((member) => member !== dealt)];
}

/** The preferred owner of each shard. */
export function assignShards(
  shards: readonly ShardId[],
  members: readonly MemberId[],
): ReadonlyMap<ShardId, MemberId> {
  const evenPart = Math.ceil(shards.length / Math.max(1, members.length));
  const counts = new Map<MemberId, number>();
  const owners = new Map<ShardId, MemberId>();
  for (const shard of shards) {
    const order = rendezvousOrder(shard, members);
    const chosen = order.find((member) => (counts.get(member) ?? 0) < evenPart);
    if (chosen !== undefined) {
      counts.set(chosen, (counts.get(chosen) ?? 0) + 1);
      owners.set(shard, chosen);
    }
  }
  return owners;
}
