/** Asks the witnesses of an owner for an attestation while the store doesn't confirm its ownership. */

import type { Clock } from '@bamboowell/kernel/clock';
import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import type { MemberId } from '@bamboowell/types/ids';
import type { Term } from '@bamboowell/types/job';
import { deadlineAfter } from '@bamboowell/types/time';
import type { MemberPort } from './member-port.js';
import { millisBetween, type Moment } from './moment.js';
import type { OwnerMessage } from './owner-messages.js';
import { WitnessList, type WitnessRecord } from './witness-list.js';
import { OwnershipProof, PROOF_LIFETIME_MILLIS, type RenewalGrounds } from './ownership-proof.js';

/** Witnesses are asked once the store's last confirmation is as old as this. */
const ASK_AFTER_MILLIS = 600;
/** Interval at which each is asked: a few answers may be lost within the lifetime of a proof. */
const ASK_INTERVAL_MILLIS = 400;

interface AskedWitness {
  readonly port: MemberPort;
  /** When it was last asked; undefined if it wasn't. */
  askedAt: Moment | undefined;
}

export class Witnesses {
  private readonly proof = new OwnershipProof();
  private readonly list: WitnessList;
  private readonly connected = new Map<MemberId, AskedWitness>();

  constructor(
    private readonly term: Term,
    private readonly clock: Clock,
    private readonly moment: () => Moment,
    /** Receives `attested` for each answer. */
    private readonly owner: MailboxAddress<OwnerMessage>,
  ) {
    this.list = new WitnessList(term, this.proof);
  }

  /** Milliseconds since the store was asked for its last confirmation; undefined before the first one. */
  get millisOffline(): number | undefined {
    return this.proof.millisOffline(this.moment());
  }

  /** On what leases may be renewed now. */
  get grounds(): RenewalGrounds {
    return this.proof.grounds(this.moment());
  }

  /** The store has taken an append that was sent at `sentAt`. */
  confirm(sentAt: Moment): void {
    this.proof.confirm(sentAt);
  }

  join(port: MemberPort): void {
    this.connected.set(port.member, { port, askedAt: undefined });
    this.list.join(port.member, port.incarnation, this.moment());
  }

  /** The connection to the member has ended. */
  leave(port: MemberPort): void {
    if (this.connected.get(port.member)?.port === port) {
      this.connected.delete(port.member);
    }
  }

  /** The member shuts down. */
  dismiss(port: MemberPort): void {
    this.leave(port);
    this.list.dismiss(port.member, port.incarnation);
  }

  /** Returns the record of the witnesses to be written, if it has changed. */
  takeRecord(): WitnessRecord | undefined {
    return this.list.takeRecord();
  }

  recordStored(record: WitnessRecord): void {
    this.list.recordStored(record);
  }

  attested({ port, askedAt, isAttested }: Extract<OwnerMessage, { kind: 'attested' }>): void {
    if (isAttested) {
      this.proof.attest(port.member, port.incarnation, askedAt);
    }
  }

  /** Asks the witnesses that are due. */
  ask(): void {
    if ((this.millisOffline ?? 0) < ASK_AFTER_MILLIS) {
      return;
    }
    const now = this.moment();
    for (const witness of this.connected.values()) {
      const { port, askedAt } = witness;
      if (askedAt === undefined || millisBetween(askedAt, now) >= ASK_INTERVAL_MILLIS) {
        witness.askedAt = now;
        this.askOne(port, now);
      }
    }
  }

  private askOne(port: MemberPort, askedAt: Moment): void {
    const { term, owner } = this;
    const deadline = deadlineAfter(this.clock.now(), PROOF_LIFETIME_MILLIS);
    void port.attest({ term }, deadline).then((isAttested) => {
      owner.post({ kind: 'attested', term, port, askedAt, isAttested });
    });
  }
}
