/**
 * Which members an owner's record lists as its witnesses. After the loss of all members, the next owner is a new
 * process of a member and was connected to nobody: the record tells whether the process before it was a witness, so
 * that it need not wait for the longest time that an owner goes on without the store (LOST). No I/O.
 *
 * A member that is listed must stay a witness: one that shuts down is dismissed only once a record without it is
 * stored, since its next process may claim the work before that and count on the record.
 */

import type { Incarnation, MemberId } from '@bamboowell/types/ids';
import type { Term } from '@bamboowell/types/job';
import type { Moment } from './moment.js';
import type { OwnershipProof } from './ownership-proof.js';

/** Key of the record in which an owner lists its witnesses. */
export const WITNESSES_KEY = 'witnesses';

export interface WitnessRecord {
  readonly term: Term;
  readonly members: readonly MemberId[];
}

interface Leaving {
  readonly member: MemberId;
  readonly incarnation: Incarnation | undefined;
}

export class WitnessList {
  private readonly members = new Set<MemberId>();
  /** Members that have shut down and that a stored record may still list. */
  private readonly leaving = new Map<MemberId, Leaving>();
  /** Members that the stored record or the one on its way lists. */
  private listed: ReadonlySet<MemberId> = new Set();
  /** Those that the record on its way no longer lists; undefined if none is on its way. */
  private unlisted: readonly Leaving[] | undefined;

  constructor(
    private readonly term: Term,
    private readonly proof: OwnershipProof,
  ) {}

  join(member: MemberId, incarnation: Incarnation | undefined, now: Moment): void {
    this.members.add(member);
    this.leaving.delete(member);
    this.proof.join(member, incarnation, now);
  }

  /** A member that has claimed nothing has said that it will claim nothing any more. */
  dismiss(member: MemberId, incarnation: Incarnation | undefined): void {
    if (!this.proof.isWitness(member, incarnation)) {
      return;
    }
    this.members.delete(member);
    if (this.listed.has(member)) {
      this.leaving.set(member, { member, incarnation });
    } else {
      this.proof.dismiss(member, incarnation);
    }
  }

  /** Returns the record to be written, if the list has changed; one at a time, until `recordStored`. */
  takeRecord(): WitnessRecord | undefined {
    const { members, listed } = this;
    const isSame = members.size === listed.size && [...members].every((each) => listed.has(each));
    if (isSame || this.unlisted !== undefined) {
      return undefined;
    }
    this.unlisted = [...this.leaving.values()];
    // Either the stored record or the new one may be read until the new one is stored.
    this.listed = new Set([...members, ...listed]);
    return { term: this.term, members: [...members] };
  }

  /** The record that was taken last is stored. */
  recordStored({ members }: WitnessRecord): void {
    this.listed = new Set(members);
    this.unlisted?.forEach((each) => {
      if (this.leaving.get(each.member) === each) {
        this.leaving.delete(each.member);
        this.proof.dismiss(each.member, each.incarnation);
      }
    });
    this.unlisted = undefined;
  }
}
