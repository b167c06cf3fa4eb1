/**
 * Tracks which member owns the cluster's work, keeps a connection to it, and claims the work when
 * the owner is lost.
 */

import { match } from 'ts-pattern';
import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import type { Alarm, Clock } from '@bamboowell/kernel/clock';
import { ask, type Reply } from '@bamboowell/kernel/ask';
import { Task } from '@bamboowell/kernel/task';
import type { EventLog } from '@bamboowell/logger/logger';
import { brandAs, type Offset } from '@bamboowell/types/ids';
import type { Term } from '@bamboowell/types/job';
import { deadlineAfter, hasPassed, later, type Deadline } from '@bamboowell/types/time';
import type { CloseReason, Connection } from '@bamboowell/wire/connection';
import type { GatewayMessage } from './gateway-messages.js';
import { RemoteOwner, type OwnerChannel } from './owner-channel.js';
import type { Attestation } from './member-port.js';
import type { OwnerMessage } from './owner-messages.js';
import type { Claim, OwnershipMessage } from './ownership-messages.js';
import type { OwnerListener, Peers, HelloReply } from './peers.js';
import type { MemberSettings } from './settings.js';
import {
  AFTER_ALL_KEYS,
  type AppendOutcome,
  type NewestPage,
  type Store,
  type StoreEntry,
  type Unavailable,
} from './store.js';
import { LOG_START, Election } from './election.js';
import { Succession, type Precedence } from './succession.js';
import { TopicWatch } from './topic-watch.js';

/** Shortest time between two checks of what is due. */
const MIN_CHECK_INTERVAL_MILLIS = 50;
/** Timeout of a probe of the work log, and of a claim. */
const STORE_TIMEOUT_MILLIS = 700;
/** Timeout for opening a connection to the owner. */
const DIAL_TIMEOUT_MILLIS = 500;
/**
 * A hello that is unanswered for this long makes the member look at the work log, which tells an owner
 * that is busy from one that stands still.
 */
const HELLO_DUE_MILLIS = 1100;
/**
 * An owner tells members of its claim at this interval that are not connected to it. Most come by
 * themselves sooner.
 */
const INTRODUCTION_INTERVAL_MILLIS = 700;
/** An owner that asks this member for an attestation is answered within this, if at all. */
const ATTESTATION_TIMEOUT_MILLIS = 1000;
/** Pause before a lost claim is annulled again, if that is still needed. */
const ANNULMENT_INTERVAL_MILLIS = 2000;
/** Pause before the owner is dialled again. */
const REDIAL_DELAY_MILLIS = 250;
const OWNER_KEY = 'owner';

type Unreachable = Extract<OwnershipMessage, { kind: 'unreachable' }>;

export interface OwnershipOptions {
  readonly settings: MemberSettings;
  readonly store: Store;
  readonly events: EventLog;
  readonly peers: Peers;
  readonly election: Election;
  readonly owner: MailboxAddress<OwnerMessage>;
  readonly localOwner: OwnerChannel;
  readonly gateway: MailboxAddress<GatewayMessage>;
}

export class OwnershipTask extends Task<OwnershipMessage> {
  private claim: Claim | undefined;
  /**
   * End of the ownership log as far as it has been read; a claim is only appended if nothing
   * follows it.
   */
  private end: Offset = LOG_START;
  /** Whether it is known who last claimed the work, or that nobody has. */
  private isClaimKnown = false;
  private readonly watch: TopicWatch;
  private connection: Connection | undefined;
  /** The newest term whose owner has announced that it serves requests. */
  private servingTerm: Term | undefined;
  /** The term whose owner is being dialled, or has not answered the hello yet. */
  private dialledTerm: Term | undefined;
  private redialAt: Deadline = brandAs<Deadline>(0);
  private earliestCheckAt: Deadline = brandAs<Deadline>(0);
  private scheduledCheck: { readonly at: Deadline; readonly alarm: Alarm } | undefined;
  private isProbing = false;
  /** Whether the claims are being read again, and whether that must be repeated. */
  private rereading: 'no' | 'once' | 'again' = 'no';
  private isClaiming = false;
  /** How the newest claim that this member has sent follows the one before it. */
  private sentClaim: { readonly term: Term; readonly precedence: Precedence } | undefined;
  /**
   * The end of the ownership log that a claim of this member required whose fate is unknown. While the log ends
   * there the claim may still take effect.
   */
  private unresolvedEnd: Offset | undefined;
  /** Whether the record is being written that keeps such a claim from taking effect. */
  private isAnnulling = false;
  private readonly succession = new Succession();
  private isShuttingDown = false;

  constructor(
    private readonly options: OwnershipOptions,
    clock: Clock,
  ) {
    super('ownership', clock);
    this.watch = new TopicWatch(options.store, 'ownership', clock, {
      entries: (entries, end, isWhole) => {
        this.handleEntries(entries, end, isWhole);
      },
      reachable: (isReachable, detail) => {
        const name = isReachable ? 'store.regained' : 'store.lost';
        options.events.event(name, { topic: 'ownership', detail });
      },
    });
  }

  protected override onStart(): void {
    this.options.peers.onClaim((claim) => {
      this.post({ kind: 'claim_received', claim, end: LOG_START });
    });
    this.watch.start();
  }

  protected override onStop(): void {
    this.watch.stop();
    this.connection?.close();
  }

  protected receive(message: OwnershipMessage): void {
    this.handle(message);
    this.scheduleCheck();
  }

  private handle(message: OwnershipMessage): void {
    match(message)
      .with({ kind: 'claim_received' }, ({ claim, end }) => {
        this.claimReceived(claim, end);
      })
      .with({ kind: 'claims_reread' }, ({ page }) => {
        this.claimsReread(page);
      })
      .with({ kind: 'connected' }, ({ term, connection }) => {
        this.connected(term, connection);
      })
      .with({ kind: 'hello_answered' }, ({ term, connection, helloReply }) => {
        this.helloAnswered(term, connection, helloReply);
      })
      .with({ kind: 'hello_due' }, ({ term }) => {
        if (this.dialledTerm === term) {
          this.options.election.silent(this.clock.now());
        }
      })
      .with({ kind: 'unreachable' }, (answer) => {
        if (this.dialledTerm === answer.term) {
          this.dialledTerm = undefined;
          this.unreachable(answer);
        }
      })
      .with({ kind: 'owner_suspect' }, ({ term, connection, isSuspect }) => {
        if (this.claim?.term === term && this.connection === connection) {
          this.options.events.event('owner.suspected', { term, isSuspect });
          this.options.election.suspect(isSuspect, this.clock.now());
        }
      })
      .with({ kind: 'connection_ended' }, ({ term, connection, reason }) => {
        if (this.claim?.term === term && this.connection === connection) {
          this.connection = undefined;
          this.ownerSilent(reason);
          this.redialAfterLoss(reason, this.claim);
        }
      })
      .with({ kind: 'trouble' }, ({ term, isTroubled }) => {
        if (this.claim?.term === term) {
          this.options.election.trouble(isTroubled, this.clock.now());
          this.annulLostClaim();
        }
      })
      .with({ kind: 'attest' }, ({ term, reply }) => {
        this.annulLostClaim();
        reply(this.canAttest(term));
      })
      .with({ kind: 'serving' }, ({ term }) => {
        this.serving(term);
      })
      .with({ kind: 'log_end_read' }, ({ end }) => {
        this.isProbing = false;
        this.act(this.options.election.logEndRead(end, this.clock.now()));
      })
      .with({ kind: 'claimed' }, ({ end, outcome }) => {
        this.isClaiming = false;
        if (mayHaveTakenEffect(outcome)) {
          this.unresolvedEnd = end;
        }
        this.options.events.event('owner.claimed', { outcome: outcome.kind });
        this.rereadClaims();
      })
      .with({ kind: 'annulled' }, ({ outcome }) => {
        this.isAnnulling = false;
        this.options.events.event('owner.claim_annulled', { outcome: outcome.kind });
        this.rereadClaims();
        this.postAt(deadlineAfter(this.clock.now(), ANNULMENT_INTERVAL_MILLIS), { kind: 'annul' });
      })
      .with({ kind: 'annul' }, () => {
        this.annulLostClaim();
      })
      .with({ kind: 'check' }, () => {
        this.scheduledCheck = undefined;
        this.earliestCheckAt = deadlineAfter(this.clock.now(), MIN_CHECK_INTERVAL_MILLIS);
        this.check();
      })
      .with({ kind: 'owner_ready' }, ({ term }) => {
        if (this.claim?.term === term) {
          this.setOwnerChannel(this.options.localOwner);
          this.introduceLater(term);
        }
      })
      .with({ kind: 'introduce' }, ({ term }) => {
        this.introduce(term);
      })
      .with({ kind: 'stood_down' }, () => {
        this.stoodDown();
      })
      .with({ kind: 'reread_claims' }, () => {
        this.rereadClaims();
      })
      .with({ kind: 'leave' }, ({ held, reply }) => {
        this.leave(held, reply);
      })
      .exhaustive();
  }

  private handleEntries(entries: readonly StoreEntry[], end: Offset, isWhole: boolean): void {
    const newest = entries.findLast(({ key }) => key === OWNER_KEY);
    const claim = newest?.value === undefined ? undefined : claimOf(newest.value);
    if (newest !== undefined || isWhole) {
      this.post({ kind: 'claim_received', claim, end });
    }
  }

  private claimReceived(claim: Claim | undefined, end: Offset): void {
    const isOutrun = end !== LOG_START && end < this.end;
    if (isOutrun) {
      // Two reads answered in the other order: a claim that follows this one is known already.
      return;
    }
    this.isClaimKnown = true;
    this.end = end > this.end ? end : this.end;
    this.applyClaim(claim);
  }

  /**
   * Reads the claims at once instead of when the current long poll ends. There is one such read at a
   * time: hundreds of workers may tell an owner in one moment that it is no longer one.
   */
  private rereadClaims(): void {
    if (this.rereading !== 'no') {
      this.rereading = 'again';
      return;
    }
    this.rereading = 'once';
    const deadline = deadlineAfter(this.clock.now(), STORE_TIMEOUT_MILLIS);
    void this.options.store.newest('ownership', undefined, deadline).then((page) => {
      this.post({ kind: 'claims_reread', page });
    });
  }

  private claimsReread(page: NewestPage | Unavailable): void {
    const isRepeated = this.rereading === 'again';
    this.rereading = 'no';
    if (page.kind === 'page') {
      this.handleEntries(page.entries, page.end, true);
    }
    if (isRepeated) {
      this.rereadClaims();
    }
  }

  private applyClaim(claim: Claim | undefined): void {
    const known = this.claim;
    if (claim === undefined || claim.isReleased) {
      this.claim = claim;
      this.vacant(claim);
      return;
    }
    if (known !== undefined && !known.isReleased && claim.term <= known.term) {
      if (claim.term < known.term) {
        // Its owner may have no other way to learn of a later claim.
        void this.options.peers.inform(claim, known);
      }
      return;
    }
    this.claim = claim;
    this.dialledTerm = undefined;
    // An earlier owner that has lost the store, and members that are connected only to it, learn of the
    // new owner this way.
    this.options.peers.announce(claim);
    this.connection?.close();
    this.connection = undefined;
    this.options.events.event('owner.known', { term: claim.term, member: claim.member });
    if (this.isOurs(claim)) {
      this.options.election.connected();
      this.options.owner.post({
        kind: 'elected',
        term: claim.term,
        precedence: this.precedenceOf(claim),
      });
      return;
    }
    this.options.owner.post({ kind: 'superseded', term: claim.term });
    this.options.election.claimed();
    this.setOwnerChannel(undefined);
    if (claim.member === this.options.settings.member) {
      this.succession.ended(claim.term);
      this.ownerEnded(claim);
    } else {
      this.dial(claim);
    }
  }

  /**
   * Writes the newest claim once more, where a claim of this member may still take effect: that requires that the
   * log ends where it did. Without this the member could not attest until the next claim.
   */
  private annulLostClaim(): void {
    const { claim, end, unresolvedEnd, isAnnulling } = this;
    const isCurrent = claim !== undefined && !claim.isReleased && !this.isOurs(claim);
    if (isAnnulling || unresolvedEnd !== end || !isCurrent) {
      return;
    }
    this.isAnnulling = true;
    void this.writeClaim(claim, this.options.store).then((outcome) => {
      this.post({ kind: 'annulled', outcome });
    });
  }

  /** How this member's own claim follows the one before it. */
  private precedenceOf({ term }: Claim): Precedence {
    return this.sentClaim?.term === term
      ? this.sentClaim.precedence
      : { predecessor: undefined, follows: brandAs<Term>(term - 1), endsSoon: false };
  }

  /** Whether this member knows of no later owner than that of the term, and has not claimed the work itself. */
  private canAttest(term: Term): boolean {
    const { claim, end, unresolvedEnd, isClaiming } = this;
    const mayHaveClaimed = isClaiming || unresolvedEnd === end;
    return claim?.term === term && !claim.isReleased && !mayHaveClaimed;
  }

  private introduceLater(term: Term): void {
    const at = deadlineAfter(this.clock.now(), INTRODUCTION_INTERVAL_MILLIS);
    this.postAt(at, { kind: 'introduce', term });
  }

  private introduce(term: Term): void {
    const { claim } = this;
    if (claim?.term === term && this.isOurs(claim)) {
      this.options.peers.introduce(claim);
      this.introduceLater(term);
    }
  }

  private vacant(claim: Claim | undefined): void {
    this.connection?.close();
    this.connection = undefined;
    this.dialledTerm = undefined;
    this.setOwnerChannel(undefined);
    if (claim !== undefined) {
      this.options.owner.post({ kind: 'superseded', term: brandAs<Term>(claim.term + 1) });
    }
    this.options.election.vacant(this.clock.now());
  }

  private isOurs(claim: Claim | undefined): boolean {
    return claim?.incarnation === this.options.settings.incarnation && !claim.isReleased;
  }

  /** The owner task has given up a term that the store still records as this member's. */
  private stoodDown(): void {
    const { claim } = this;
    if (claim !== undefined && this.isOurs(claim)) {
      this.claim = { ...claim, isReleased: true };
      this.succession.ended(claim.term);
      this.setOwnerChannel(undefined);
      this.options.election.vacant(this.clock.now());
    }
  }

  private dial(claim: Claim): void {
    if (this.dialledTerm === claim.term) {
      return;
    }
    this.dialledTerm = claim.term;
    const deadline = deadlineAfter(this.clock.now(), DIAL_TIMEOUT_MILLIS);
    void this.options.peers.dial(claim, deadline).then((result) => {
      if (result.kind === 'connected') {
        this.post({ kind: 'connected', term: claim.term, connection: result.connection });
      } else {
        this.post({ ...result, term: claim.term });
      }
    });
  }

  private connected(term: Term, connection: Connection): void {
    if (this.dialledTerm !== term) {
      connection.close();
      return;
    }
    const listener: OwnerListener = {
      trouble: (isTroubled) => {
        this.post({ kind: 'trouble', term, isTroubled });
      },
      serving: () => {
        this.post({ kind: 'serving', term });
      },
      attest: (attestation) => this.attest(attestation),
    };
    this.postAt(deadlineAfter(this.clock.now(), HELLO_DUE_MILLIS), { kind: 'hello_due', term });
    void this.options.peers.sendHello(connection, term, listener).then((helloReply) => {
      this.post({ kind: 'hello_answered', term, connection, helloReply });
    });
  }

  private async attest({ term }: Attestation): Promise<boolean> {
    const deadline = deadlineAfter(this.clock.now(), ATTESTATION_TIMEOUT_MILLIS);
    const answer = await ask<OwnershipMessage, boolean>(
      this,
      (reply) => ({ kind: 'attest', term, reply }),
      deadline,
      this.clock,
    );
    return answer.kind === 'answered' && answer.value;
  }

  private helloAnswered(
    term: Term,
    connection: Connection,
    helloReply: HelloReply | undefined,
  ): void {
    if (this.dialledTerm !== term) {
      connection.close();
      return;
    }
    this.dialledTerm = undefined;
    const { claim } = this;
    const isCurrent = claim?.term === term && !claim.isReleased && !this.isOurs(claim);
    if (!isCurrent || helloReply === undefined || helloReply.standing === 'none') {
      connection.close();
      if (isCurrent) {
        this.helloRejected(claim, helloReply);
      }
      return;
    }
    this.connection = connection;
    connection.watchSuspicion((isSuspect) => {
      this.post({ kind: 'owner_suspect', term, connection, isSuspect });
    });
    void connection.ended.then((reason) => {
      this.post({ kind: 'connection_ended', term, connection, reason });
    });
    if (helloReply.needsAttestation === true) {
      this.succession.connected(term);
    }
    this.options.election.connected();
    this.options.events.event('owner.connected', { term, standing: helloReply.standing });
    if (helloReply.standing === 'serving') {
      this.servingTerm = term;
    }
    this.setChannelIfServing();
    this.annulLostClaim();
  }

  private serving(term: Term): void {
    this.servingTerm = term;
    this.setChannelIfServing();
  }

  /**
   * Holds requests back until the owner serves: sent earlier they would compete for the link that
   * it needs to load the work.
   */
  private setChannelIfServing(): void {
    const { connection, claim } = this;
    if (connection !== undefined && claim !== undefined && this.servingTerm === claim.term) {
      this.setOwnerChannel(new RemoteOwner(connection));
    }
  }

  /** If a different process answers at the owner's address, the owner's process has ended. */
  private helloRejected(claim: Claim, helloReply: HelloReply | undefined): void {
    if (helloReply !== undefined && helloReply.incarnation !== claim.incarnation) {
      this.succession.ended(claim.term);
      this.ownerEnded(claim);
    } else {
      this.ownerSilent('not_owner');
    }
  }

  private unreachable({ term, detail, isRefused }: Unreachable): void {
    const { claim } = this;
    if (claim?.term !== term) {
      return;
    }
    if (isRefused && !claim.isReleased && !this.isOurs(claim)) {
      // Not a proof that its process has ended: something on the way may refuse connections, too.
      this.ownerEnded(claim);
    } else {
      this.ownerSilent(detail);
    }
  }

  /**
   * Dials at once after a connection ended other than by silence: if the owner's process has ended,
   * its machine refuses the connection.
   */
  private redialAfterLoss(reason: CloseReason, claim: Claim): void {
    if (reason !== 'silent' && !claim.isReleased && !this.isOurs(claim)) {
      this.dial(claim);
    }
  }

  private ownerEnded(claim: Claim): void {
    this.options.events.event('owner.ended', { term: claim.term, member: claim.member });
    this.setOwnerChannel(undefined);
    this.options.election.vacant(this.clock.now());
    this.redialAt = deadlineAfter(this.clock.now(), REDIAL_DELAY_MILLIS);
  }

  private ownerSilent(detail: string): void {
    this.options.events.event('owner.lost', { term: this.claim?.term ?? 0, detail });
    this.setOwnerChannel(undefined);
    this.options.election.silent(this.clock.now());
    this.redialAt = deadlineAfter(this.clock.now(), REDIAL_DELAY_MILLIS);
  }

  /**
   * Sets an alarm for what is due next. A member that is connected to the owner has nothing due, and is
   * not woken.
   */
  private scheduleCheck(): void {
    const dueAt = this.nextDueAt();
    const at = dueAt === undefined ? undefined : later(dueAt, this.earliestCheckAt);
    if (at === this.scheduledCheck?.at) {
      return;
    }
    this.scheduledCheck?.alarm.cancel();
    this.scheduledCheck =
      at === undefined ? undefined : { at, alarm: this.postAt(at, { kind: 'check' }) };
  }

  private nextDueAt(): Deadline | undefined {
    const redialAt = this.ownerToDial() === undefined ? undefined : this.redialAt;
    const electionAt = this.isClaimKnown ? this.options.election.nextAt : undefined;
    if (redialAt === undefined || electionAt === undefined) {
      return redialAt ?? electionAt;
    }
    return redialAt < electionAt ? redialAt : electionAt;
  }

  /** The claim of another member that is neither connected nor being dialled. */
  private ownerToDial(): Claim | undefined {
    const { claim } = this;
    const isDisconnected = this.connection === undefined && this.dialledTerm === undefined;
    const isRemote =
      claim !== undefined && !claim.isReleased && claim.member !== this.options.settings.member;
    return isRemote && isDisconnected ? claim : undefined;
  }

  private check(): void {
    const now = this.clock.now();
    const claim = this.ownerToDial();
    if (claim !== undefined && hasPassed(this.redialAt, now)) {
      this.redialAt = deadlineAfter(now, REDIAL_DELAY_MILLIS);
      this.dial(claim);
    }
    if (this.isClaimKnown) {
      this.act(this.options.election.next(now));
    }
  }

  private act(action: 'none' | 'probe' | 'claim'): void {
    if (action === 'probe') {
      this.probeWorkLog();
    } else if (action === 'claim') {
      this.claimWork();
    }
  }

  /** Reads the end of the work log, which a live owner keeps advancing. */
  private probeWorkLog(): void {
    if (this.isProbing) {
      return;
    }
    this.isProbing = true;
    const deadline = deadlineAfter(this.clock.now(), STORE_TIMEOUT_MILLIS);
    void this.options.store.newest('work', AFTER_ALL_KEYS, deadline).then((page) => {
      this.post({ kind: 'log_end_read', end: page.kind === 'page' ? page.end : undefined });
    });
  }

  private claimWork(): void {
    const isHeld = this.isOurs(this.claim);
    if (this.isClaiming || this.isShuttingDown || isHeld) {
      return;
    }
    this.isClaiming = true;
    const { settings, store, events, election } = this.options;
    const term = brandAs<Term>((this.claim?.term ?? 0) + 1);
    const claim: Claim = {
      term,
      member: settings.member,
      incarnation: settings.incarnation,
      address: settings.peerAddress,
      ports: this.options.peers.ports,
      isReleased: false,
    };
    const precedence = this.succession.precedence(this.claim);
    this.sentClaim = { term, precedence };
    events.event('owner.claiming', {
      term,
      end: this.end,
      since: election.ownerState,
      earlierOwnerEndsSoon: precedence.endsSoon,
    });
    const { end } = this;
    void this.writeClaim(claim, store).then((outcome) => {
      this.post({ kind: 'claimed', end, outcome });
    });
  }

  private writeClaim(claim: Claim, store: Store) {
    return store.append(
      'ownership',
      [{ key: OWNER_KEY, value: JSON.stringify(claim) }],
      { kind: 'end_is', end: this.end },
      deadlineAfter(this.clock.now(), STORE_TIMEOUT_MILLIS),
    );
  }

  private leave(held: Term | undefined, reply: Reply<null>): void {
    this.isShuttingDown = true;
    const { claim, connection } = this;
    if (claim !== undefined && connection !== undefined && this.canAttest(claim.term)) {
      this.options.peers.announceDeparture(connection);
    }
    if (held === undefined || claim?.term !== held) {
      reply(null);
      return;
    }
    void this.writeClaim({ ...claim, isReleased: true }, this.options.store).then((outcome) => {
      this.options.events.event('owner.released', { term: held, outcome: outcome.kind });
      reply(null);
    });
  }

  private setOwnerChannel(channel: OwnerChannel | undefined): void {
    this.options.gateway.post({ kind: 'owner', channel });
  }
}

/** Whether a claim with this outcome is in force, or may still come into force. */
function mayHaveTakenEffect(outcome: AppendOutcome): boolean {
  return outcome.kind === 'unavailable' ? outcome.how !== 'refused' : outcome.kind === 'appended';
}

function claimOf(value: string): Claim | undefined {
  try {
    return JSON.parse(value) as Claim;
  } catch {
    return undefined;
  }
}
