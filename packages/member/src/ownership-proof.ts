/**
 * What shows an owner that no other member has taken the work over, so that it may renew the leases of
 * workers. No I/O: time and events are passed in.
 *
 * A proof is as old as the moment at which it was asked for. The store gives one with each append that it
 * takes. While it gives none, the members do: each that has been connected to the owner during its term is a
 * witness, and attests that it has not claimed the work. A witness that has claimed it attests nothing any
 * more, so that as the next owner it only has to wait for what was proven before its claim. Any other next
 * owner waits for the longest time that an owner goes on without the store (`renewalMillisAfter`).
 */

import type { Incarnation, MemberId } from '@bamboowell/types/ids';
import { laterMoment, millisBetween, type Moment } from './moment.js';

/**
 * How old a proof may be when a lease is renewed. A successor counts on it: it is the same for all members
 * of a cluster.
 */
export const PROOF_LIFETIME_MILLIS = 2000;
/**
 * How long after the store's last confirmation an owner renews leases on attestations of its witnesses. A
 * successor counts on this as well.
 */
export const MAX_OFFLINE_MILLIS = 10_000;
/** Factor by which a member's clock may run slow against that of another member. */
export const MEMBER_CLOCK_DRIFT_FACTOR = 1.025;

/** On what an owner renews leases. */
export type RenewalGrounds = 'store' | 'members' | 'nothing';

interface Witness {
  incarnation: Incarnation | undefined;
  /** When another process of the member followed one that may have claimed the work; undefined if none did. */
  replacedAt: Moment | undefined;
  /** When it was asked for its last attestation. */
  attestedAt: Moment | undefined;
}

export class OwnershipProof {
  private confirmedAt: Moment | undefined;
  private readonly witnesses = new Map<MemberId, Witness>();

  /** The store has taken an append of this owner that was sent at `sentAt`. */
  confirm(sentAt: Moment): void {
    this.confirmedAt = laterMoment(this.confirmedAt, sentAt);
    this.witnesses.forEach((witness) => {
      const { replacedAt } = witness;
      if (replacedAt !== undefined && replacedAt.at <= sentAt.at) {
        witness.replacedAt = undefined;
      }
    });
  }

  /**
   * A member has connected to the owner. Its attestation is needed from now on, also after its connection has
   * ended: as the next owner it counts on having been asked.
   *
   * @param incarnation undefined if the member doesn't say: it may be another process than before.
   */
  join(member: MemberId, incarnation: Incarnation | undefined, now: Moment): void {
    const known = this.witnesses.get(member);
    const isSame = incarnation !== undefined && known?.incarnation === incarnation;
    this.witnesses.set(member, {
      incarnation,
      replacedAt: known === undefined || isSame ? known?.replacedAt : now,
      attestedAt: isSame ? known.attestedAt : undefined,
    });
  }

  isWitness(member: MemberId, incarnation: Incarnation | undefined): boolean {
    const witness = this.witnesses.get(member);
    return witness !== undefined && witness.incarnation === incarnation;
  }

  /** A member that has claimed nothing has said that it will claim nothing any more. */
  dismiss(member: MemberId, incarnation: Incarnation | undefined): void {
    if (this.witnesses.get(member)?.incarnation === incarnation) {
      this.witnesses.delete(member);
    }
  }

  /** A member that was asked at `askedAt` has said that it has not claimed the work. */
  attest(member: MemberId, incarnation: Incarnation | undefined, askedAt: Moment): void {
    const witness = this.witnesses.get(member);
    if (witness !== undefined && witness.incarnation === incarnation) {
      witness.attestedAt = askedAt;
    }
  }

  /** Milliseconds since the store was asked for its last confirmation; undefined before the first one. */
  millisOffline(now: Moment): number | undefined {
    return this.confirmedAt === undefined ? undefined : millisBetween(this.confirmedAt, now);
  }

  /** On what leases may be renewed now. */
  grounds(now: Moment): RenewalGrounds {
    const offline = this.millisOffline(now);
    if (offline === undefined || offline > MAX_OFFLINE_MILLIS) {
      return 'nothing';
    }
    if (offline <= PROOF_LIFETIME_MILLIS) {
      return 'store';
    }
    const haveAllAttested = [...this.witnesses.values()].every((witness) =>
      hasAttested(witness, now),
    );
    return haveAllAttested ? 'members' : 'nothing';
  }
}

function hasAttested({ attestedAt, replacedAt }: Witness, now: Moment): boolean {
  return (
    replacedAt === undefined &&
    attestedAt !== undefined &&
    millisBetween(attestedAt, now) <= PROOF_LIFETIME_MILLIS
  );
}
