/**
 * What a member knows of the owner that it would succeed: whether that one stops renewing leases soon after the
 * member's claim. No I/O: time and events are passed in.
 */

import type { MemberId } from '@bamboowell/types/ids';
import type { Term } from '@bamboowell/types/job';
import type { MemberPort } from './member-port.js';
import type { Claim } from './ownership-messages.js';
import type { WitnessRecord } from './witness-list.js';
import { MAX_OFFLINE_MILLIS, PROOF_LIFETIME_MILLIS } from './ownership-proof.js';

/** How a claim follows the one before it. */
export interface Precedence {
  /** The claim that it follows; undefined if the work was never claimed, or it isn't known. */
  readonly predecessor: Pick<Claim, 'member' | 'incarnation'> | undefined;
  /** The term that it follows; undefined if the work was never claimed. */
  readonly follows: Term | undefined;
  /**
   * Whether the owner of that term renews no lease on a proof of ownership that is younger than this claim,
   * other than one of the store.
   */
  readonly endsSoon: boolean;
}

/** Record of the last owner that took the work over: all owners before it are fenced. */
export interface Takeover {
  readonly term: Term;
  /** Whether the owners before it stopped renewing leases within the lifetime of a proof after that. */
  readonly isWitnessed: boolean;
}

/** The precedence once this process is known to run: another one of its member has ended. */
export function precedenceAfterGreeting(
  precedence: Precedence,
  greeting: Pick<MemberPort, 'member' | 'incarnation'>,
): Precedence {
  const { predecessor } = precedence;
  const hasEnded =
    predecessor?.member === greeting.member &&
    greeting.incarnation !== undefined &&
    greeting.incarnation !== predecessor.incarnation;
  return hasEnded ? { ...precedence, endsSoon: true } : precedence;
}

/**
 * The precedence once the record of witnesses has been read. An owner that lists this member renews nothing without
 * its attestation: the process that could have given one has ended, or is this one, which has claimed the work.
 */
export function precedenceAfterLoading(
  precedence: Precedence,
  self: MemberId,
  record: WitnessRecord | undefined,
): Precedence {
  const isListed = record?.term === precedence.follows && record?.members.includes(self) === true;
  return isListed ? { ...precedence, endsSoon: true } : precedence;
}

/**
 * For how long after a takeover earlier owners may renew leases. An owner whose witness succeeds it has no proof
 * that is younger than the claim. Neither have those before it if that was so when it took the work over itself;
 * if it never did, one of those may still be the owner.
 *
 * @param earlier the record of the last owner that took the work over; undefined if there is none.
 */
export function renewalMillisAfter(
  { follows, endsSoon }: Precedence,
  earlier: Takeover | undefined,
): number {
  const haveEarlierEnded =
    follows === undefined || (earlier?.term === follows && earlier.isWitnessed);
  return endsSoon && haveEarlierEnded ? PROOF_LIFETIME_MILLIS : MAX_OFFLINE_MILLIS;
}

export class Succession {
  /** The term whose owner this member has greeted, and which needs its attestation for as long as the term lasts. */
  private witnessedTerm: Term | undefined;
  private endedTerm: Term | undefined;

  /** The owner of the term has answered this member's greeting. */
  connected(term: Term): void {
    this.witnessedTerm = term;
  }

  /** The owner of the term renews nothing any more: another process has followed it, or it has stood down. */
  ended(term: Term): void {
    this.endedTerm = term;
  }

  /** How a claim made now follows the newest one. */
  precedence(newest: Claim | undefined): Precedence {
    if (newest === undefined) {
      return { predecessor: undefined, follows: undefined, endsSoon: true };
    }
    const { term, member, incarnation, isReleased } = newest;
    const hasEnded = isReleased || this.endedTerm === term;
    const endsSoon = hasEnded || this.witnessedTerm === term;
    return { predecessor: { member, incarnation }, follows: term, endsSoon };
  }
}
