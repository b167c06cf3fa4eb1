/** Decides whose suspicion counts against an owner and whether a majority suspects it. */

import type { MemberId } from '@bamboowell/types/ids';

/** Smallest region that still has a majority after it lost one member. */
const MIN_VOTING_REGION_SIZE = 3;

/** The members that each voter suspects now. */
export type Votes = ReadonlyMap<MemberId, ReadonlySet<MemberId>>;

/** The members from which an electorate is formed. */
export interface Voters {
  /** All known members of the region, including those that are silent. */
  readonly region: readonly MemberId[];
  /** All members of other regions. They vote only if the region is too small to vote by itself. */
  readonly witnesses: readonly MemberId[];
}

/**
 * The members that vote on an owner. The owner and the claimant always belong to it, and silent
 * members still count, so that an incomplete list of members can't turn a minority into a majority.
 */
export function electorateOf(
  voters: Voters,
  owner: MemberId,
  claimant: MemberId,
): ReadonlySet<MemberId> {
  const region = new Set([...voters.region, owner, claimant]);
  return region.size >= MIN_VOTING_REGION_SIZE ? region : new Set([...region, ...voters.witnesses]);
}

/** The members of the electorate that suspect the owner, in order of their ids. */
export function votesAgainst(
  owner: MemberId,
  electorate: ReadonlySet<MemberId>,
  votes: Votes,
): MemberId[] {
  const voters = [...electorate].filter((member) => member !== owner);
  return voters.filter((member) => votes.get(member)?.has(owner) === true).sort();
}

/** Whether `count` is more than half of the electorate. */
export function isMajority(count: number, electorate: ReadonlySet<MemberId>): boolean {
  return 2 * count > electorate.size;
}
