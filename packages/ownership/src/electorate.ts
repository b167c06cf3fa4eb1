/** Whose suspicion counts against an owner, and whether a majority suspects it. */

import type { MemberId } from '@bamboowell/types/ids';

/** Smallest region that can outvote one lost member by itself. */
const SMALLEST_VOTING_REGION = 3;

/** Who suspects whom. A voter's own entry holds those that it suspects now. */
export type Votes = ReadonlyMap<MemberId, ReadonlySet<MemberId>>;

/** The members that an electorate is made of. */
export interface Voters {
  /** All members of the region, listed or remembered, also those that are silent. */
  readonly region: readonly MemberId[];
  /** All members of other regions. They vote only where the region is too small. */
  readonly witnesses: readonly MemberId[];
}

/**
 * The electorate, counted conservatively: the owner and the claimant always belong to it, and a
 * silent member still counts, so that a short list never turns a minority into a majority.
 */
export function electorateOf(
  voters: Voters,
  owner: MemberId,
  claimant: MemberId,
): ReadonlySet<MemberId> {
  const region = new Set([...voters.region, owner, claimant]);
  return region.size >= SMALLEST_VOTING_REGION ? region : new Set([...region, ...voters.witnesses]);
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
