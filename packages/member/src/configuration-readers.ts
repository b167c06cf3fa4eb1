/**
 * Decides which members of a region read the configuration from the store. The others follow one of
 * these, so that a version crosses the line between two regions a few times only.
 */

import type { MemberId } from '@bamboowell/types/ids';

/** A member that may read on behalf of others. */
export interface ReaderCandidate {
  readonly member: MemberId;
  /** Bandwidth of its machine's link, megabits per second. */
  readonly linkMbps: number;
}

/** Each reader serves this many members, itself included. */
const MEMBERS_PER_READER = 6;
/** With two of them a change is not late when one is lost. */
const MIN_READERS = 2;

/** The members with the widest links, as many as the number of members needs. */
export function readersAmong(candidates: readonly ReaderCandidate[]): MemberId[] {
  const count = Math.max(MIN_READERS, Math.ceil(candidates.length / MEMBERS_PER_READER));
  return [...candidates]
    .sort((left, right) => right.linkMbps - left.linkMbps || order(left.member, right.member))
    .slice(0, count)
    .map(({ member }) => member);
}

/** The reader that a member follows; undefined if it is a reader itself or alone. */
export function readerFor(
  self: MemberId,
  candidates: readonly ReaderCandidate[],
): MemberId | undefined {
  const readers = readersAmong(candidates);
  if (readers.includes(self)) {
    return undefined;
  }
  const followers = candidates
    .map(({ member }) => member)
    .filter((member) => !readers.includes(member))
    .sort(order);
  return readers[followers.indexOf(self) % readers.length];
}

function order(left: MemberId, right: MemberId): number {
  return left < right ? -1 : 1;
}
