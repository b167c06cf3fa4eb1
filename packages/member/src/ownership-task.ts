/** Follows who owns the cluster's work, keeps the connection to the owner, and claims when it is gone. */

import { match } from 'ts-pattern';
import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import type { Clock } from '@bamboowell/kernel/clock';
import type { Reply } from '@bamboowell/kernel/ask';
import { Task } from '@bamboowell/kernel/task';
import type { EventLog } from '@bamboowell/logger/logger';
import { brandAs, type Offset } from '@bamboowell/types/ids';
import type { Term } from '@bamboowell/types/job';
import { deadlineAfter, hasPassed, type Deadline } from '@bamboowell/types/time';
import type { CloseReason, Connection } from '@bamboowell/wire/connection';
import type { GatewayMessage } from './gateway-messages.js';
import { RemoteOwner, type OwnerChannel } from './owner-channel.js';
import type { OwnerMessage } from './owner-messages.js';
import type { Claim, OwnershipMessage } from './ownership-messages.js';
import type { OwnerListener, Peers, HelloReply } from './peers.js';
import type { MemberSettings } from './settings.js';
import type { Store, StoreEntry } from './store.js';
import { LOG_START, Election } from './election.js';
import { TopicWatch } from './topic-watch.js';

/** What is due by time is looked at this often, milliseconds. */
const BEAT_MILLIS = 50;
/** A look at the work log, or a claim, is given up after this, milliseconds. */
const STORE_MILLIS = 700;
/** A connection that isn't open after this, milliseconds, is given up. */
const DIAL_MILLIS = 500;
/** Pause before the owner is dialled again, milliseconds. */
const REDIAL_MILLIS = 250;
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
  readonly gate: MailboxAddress<GatewayMessage>;
}

export class OwnershipTask extends Task<OwnershipMessage> {
  private claim: Claim | undefined;
  private end: Offset = LOG_START;
  private isRead = false;
  private watch: TopicWatch;
  private connection: Connection | undefined;
  /** The newest term whose owner said that it serves. */
  private servingTerm: Term | undefined;
  /** The term whose owner is being dialled or greeted. */
  private dialledTerm: Term | undefined;
  private redialAt: Deadline = brandAs<Deadline>(0);
  private isLooking = false;
  private isClaiming = false;
  private isLeaving = false;

  constructor(
    private readonly options: OwnershipOptions,
    clock: Clock,
  ) {
    super('ownership', clock);
    this.watch = this.makeWatch();
  }

  protected override onStart(): void {
    this.options.peers.onClaim((claim) => {
      this.post({ kind: 'claims', claim, end: LOG_START });
    });
    this.watch.start();
    this.post({ kind: 'beat' });
  }

  protected override onStop(): void {
    this.watch.stop();
    this.connection?.close();
  }

  protected receive(message: OwnershipMessage): void {
    match(message)
      .with({ kind: 'claims' }, ({ claim, end }) => {
        this.isRead = true;
        this.end = end > this.end ? end : this.end;
        this.newest(claim);
      })
      .with({ kind: 'connected' }, ({ term, connection }) => {
        this.connected(term, connection);
      })
      .with({ kind: 'greeted' }, ({ term, connection, helloReply: welcome }) => {
        this.greeted(term, connection, welcome);
      })
      .with({ kind: 'unreachable' }, (answer) => {
        if (this.dialledTerm === answer.term) {
          this.dialledTerm = undefined;
          this.unreachable(answer);
        }
      })
      .with({ kind: 'link_ended' }, ({ term, connection, reason }) => {
        if (this.claim?.term === term && this.connection === connection) {
          this.connection = undefined;
          this.ownerSilent(reason);
          this.dialAfter(reason, this.claim);
        }
      })
      .with({ kind: 'trouble' }, ({ term, isTroubled }) => {
        if (this.claim?.term === term) {
          this.options.election.trouble(isTroubled, this.clock.now());
        }
      })
      .with({ kind: 'serving' }, ({ term }) => {
        this.serving(term);
      })
      .with({ kind: 'looked' }, ({ end }) => {
        this.isLooking = false;
        this.act(this.options.election.logEndRead(end, this.clock.now()));
      })
      .with({ kind: 'claimed' }, ({ outcome }) => {
        this.isClaiming = false;
        this.options.events.event('owner.claimed', { outcome: outcome.kind });
        this.readAgain();
      })
      .with({ kind: 'beat' }, () => {
        this.postAt(deadlineAfter(this.clock.now(), BEAT_MILLIS), { kind: 'beat' });
        this.beat();
      })
      .with({ kind: 'owning' }, ({ term }) => {
        if (this.claim?.term === term) {
          this.publish(this.options.localOwner);
        }
      })
      .with({ kind: 'stood_down' }, () => {
        this.stoodDown();
      })
      .with({ kind: 'doubt' }, () => {
        this.readAgain();
      })
      .with({ kind: 'leave' }, ({ held, reply }) => {
        this.leave(held, reply);
      })
      .exhaustive();
  }

  private makeWatch(): TopicWatch {
    return new TopicWatch(this.options.store, 'ownership', this.clock, {
      entries: (entries, end, isWhole) => {
        this.noteEntries(entries, end, isWhole);
      },
      reachable: (isReachable, detail) => {
        const name = isReachable ? 'store.regained' : 'store.lost';
        this.options.events.event(name, { topic: 'ownership', detail });
      },
    });
  }

  private noteEntries(entries: readonly StoreEntry[], end: Offset, isWhole: boolean): void {
    const newest = entries.findLast(({ key }) => key === OWNER_KEY);
    const claim = newest?.value === undefined ? undefined : claimOf(newest.value);
    if (newest !== undefined || isWhole) {
      this.post({ kind: 'claims', claim, end });
    }
  }

  /** Reads the claims without waiting for the watch's own answer. */
  private readAgain(): void {
    this.watch.stop();
    this.watch = this.makeWatch();
    this.watch.start();
  }

  private newest(claim: Claim | undefined): void {
    const known = this.claim;
    if (claim === undefined || claim.isReleased) {
      this.claim = claim;
      this.vacant(claim);
      return;
    }
    if (known !== undefined && !known.isReleased && claim.term <= known.term) {
      return;
    }
    this.claim = claim;
    this.dialledTerm = undefined;
    // An owner that lost the store, and members that only it reaches, learn of the new one this way.
    this.options.peers.announce(claim);
    this.connection?.close();
    this.connection = undefined;
    this.options.events.event('owner.known', { term: claim.term, member: claim.member });
    if (this.isOurs(claim)) {
      this.options.election.connected();
      this.options.owner.post({ kind: 'elected', term: claim.term });
      return;
    }
    this.options.owner.post({ kind: 'superseded', term: claim.term });
    this.options.election.claimed();
    this.publish(undefined);
    if (claim.member === this.options.settings.member) {
      this.ownerEnded(claim);
    } else {
      this.dial(claim);
    }
  }

  private vacant(claim: Claim | undefined): void {
    this.connection?.close();
    this.connection = undefined;
    this.dialledTerm = undefined;
    this.publish(undefined);
    if (claim !== undefined) {
      this.options.owner.post({ kind: 'superseded', term: brandAs<Term>(claim.term + 1) });
    }
    this.options.election.vacant(this.clock.now());
  }

  private isOurs(claim: Claim | undefined): boolean {
    return claim?.incarnation === this.options.settings.incarnation && !claim.isReleased;
  }

  /** The owner's task let go of a term that the store still shows as this member's. */
  private stoodDown(): void {
    const { claim } = this;
    if (claim !== undefined && this.isOurs(claim)) {
      this.claim = { ...claim, isReleased: true };
      this.publish(undefined);
      this.options.election.vacant(this.clock.now());
    }
  }

  private dial(claim: Claim): void {
    if (this.dialledTerm === claim.term) {
      return;
    }
    this.dialledTerm = claim.term;
    const deadline = deadlineAfter(this.clock.now(), DIAL_MILLIS);
    void this.options.peers.dial(claim.address, deadline).then((result) => {
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
    const news: OwnerListener = {
      trouble: (isTroubled) => {
        this.post({ kind: 'trouble', term, isTroubled });
      },
      serving: () => {
        this.post({ kind: 'serving', term });
      },
    };
    void this.options.peers.sendHello(connection, term, news).then((welcome) => {
      this.post({ kind: 'greeted', term, connection, helloReply: welcome });
    });
  }

  private greeted(term: Term, connection: Connection, welcome: HelloReply | undefined): void {
    if (this.dialledTerm !== term) {
      connection.close();
      return;
    }
    this.dialledTerm = undefined;
    const { claim } = this;
    const isCurrent = claim?.term === term && !claim.isReleased && !this.isOurs(claim);
    if (!isCurrent || welcome === undefined || welcome.standing === 'none') {
      connection.close();
      if (isCurrent) {
        this.notWelcome(claim, welcome);
      }
      return;
    }
    this.connection = connection;
    void connection.ended.then((reason) => {
      this.post({ kind: 'link_ended', term, connection, reason });
    });
    this.options.election.connected();
    this.options.events.event('owner.connected', { term, standing: welcome.standing });
    if (welcome.standing === 'serving') {
      this.servingTerm = term;
    }
    this.publishServing();
  }

  private serving(term: Term): void {
    this.servingTerm = term;
    this.publishServing();
  }

  /** Requests that wait stay here until the owner serves: they would take the link that it needs to get ready. */
  private publishServing(): void {
    const { connection, claim } = this;
    if (connection !== undefined && claim !== undefined && this.servingTerm === claim.term) {
      this.publish(new RemoteOwner(connection));
    }
  }

  /** Where another process answers at the owner's address, the owner's has ended. */
  private notWelcome(claim: Claim, welcome: HelloReply | undefined): void {
    if (welcome !== undefined && welcome.incarnation !== claim.incarnation) {
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
      this.ownerEnded(claim);
    } else {
      this.ownerSilent(detail);
    }
  }

  /** Where the owner's process is gone, its machine says so at once. */
  private dialAfter(reason: CloseReason, claim: Claim): void {
    if (reason !== 'silent' && !claim.isReleased && !this.isOurs(claim)) {
      this.dial(claim);
    }
  }

  private ownerEnded(claim: Claim): void {
    this.options.events.event('owner.ended', { term: claim.term, member: claim.member });
    this.publish(undefined);
    this.options.election.vacant(this.clock.now());
    this.redialAt = deadlineAfter(this.clock.now(), REDIAL_MILLIS);
  }

  private ownerSilent(detail: string): void {
    this.options.events.event('owner.lost', { term: this.claim?.term ?? 0, detail });
    this.publish(undefined);
    this.options.election.silent(this.clock.now());
    this.redialAt = deadlineAfter(this.clock.now(), REDIAL_MILLIS);
  }

  private beat(): void {
    const now = this.clock.now();
    const isAway = this.connection === undefined && this.dialledTerm === undefined;
    const { claim } = this;
    const isRemote =
      claim !== undefined && !claim.isReleased && claim.member !== this.options.settings.member;
    if (isRemote && isAway && hasPassed(this.redialAt, now)) {
      this.redialAt = deadlineAfter(now, REDIAL_MILLIS);
      this.dial(claim);
    }
    if (this.isRead) {
      this.act(this.options.election.next(now));
    }
  }

  private act(action: 'none' | 'look' | 'claim'): void {
    if (action === 'look') {
      this.look();
    } else if (action === 'claim') {
      this.claimWork();
    }
  }

  /** Finds where the work log ends: a living owner keeps it moving. */
  private look(): void {
    if (this.isLooking) {
      return;
    }
    this.isLooking = true;
    const limit = deadlineAfter(this.clock.now(), STORE_MILLIS);
    void this.options.store.newest('work', LAST_KEY, limit).then((page) => {
      this.post({ kind: 'looked', end: page.kind === 'page' ? page.end : undefined });
    });
  }

  private claimWork(): void {
    const isHeld = this.isOurs(this.claim);
    if (this.isClaiming || this.isLeaving || isHeld) {
      return;
    }
    this.isClaiming = true;
    const { settings, store, events, election: succession } = this.options;
    const term = brandAs<Term>((this.claim?.term ?? 0) + 1);
    const claim: Claim = {
      term,
      member: settings.member,
      incarnation: settings.incarnation,
      address: settings.peerAddress,
      isReleased: false,
    };
    events.event('owner.claiming', { term, end: this.end, since: succession.ownerState });
    void this.write(claim, store).then((outcome) => {
      this.post({ kind: 'claimed', outcome });
    });
  }

  private write(claim: Claim, store: Store) {
    return store.append(
      'ownership',
      [{ key: OWNER_KEY, value: JSON.stringify(claim) }],
      { kind: 'end_is', end: this.end },
      deadlineAfter(this.clock.now(), STORE_MILLIS),
    );
  }

  private leave(held: Term | undefined, reply: Reply<null>): void {
    this.isLeaving = true;
    const { claim } = this;
    if (held === undefined || claim?.term !== held) {
      reply(null);
      return;
    }
    void this.write({ ...claim, isReleased: true }, this.options.store).then((outcome) => {
      this.options.events.event('owner.released', { term: held, outcome: outcome.kind });
      reply(null);
    });
  }

  private publish(channel: OwnerChannel | undefined): void {
    this.options.gate.post({ kind: 'owner', channel });
  }
}

/** Follows all keys, so that a page after it has no entries and only tells the end. */
const LAST_KEY = '~';

function claimOf(value: string): Claim | undefined {
  try {
    return JSON.parse(value) as Claim;
  } catch {
    return undefined;
  }
}
