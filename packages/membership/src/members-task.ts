/**
 * The task that owns the connections to all other members: it keeps them up, exchanges heartbeats,
 * tells its subscribers who is there, and carries requests.
 */

import { match } from 'ts-pattern';
import type { Clock } from '@bamboowell/kernel/clock';
import type { Address } from '@bamboowell/kernel/mailbox';
import { Task } from '@bamboowell/kernel/task';
import { HEARTBEAT_INTERVAL_MILLIS } from '@bamboowell/ownership/bounds';
import { Suspicion } from '@bamboowell/ownership/suspicion';
import {
  brandAs,
  type DataCentreId,
  type Incarnation,
  type MemberId,
  type Offset,
  type RegionId,
  type Version,
} from '@bamboowell/types/ids';
import { deadlineAfter, hasPassed, type Instant } from '@bamboowell/types/time';
import type { Connection, Handler } from '@bamboowell/wire/connection';
import { nextAttempt } from './backoff.js';
import type { Dialler } from './dialler.js';
import {
  HEARTBEAT_METHOD,
  parseHeartbeat,
  type Heartbeat,
  type Phase,
  type Report,
} from './heartbeat.js';
import type { MembersCounter, MembersEvent, MembersMessage } from './members-messages.js';
import { echoOf, viewOf, type Peer } from './peer.js';
import { Peers } from './peers.js';
import { SentHeartbeats } from './sent-heartbeats.js';
import type { VmList, VmListing } from './vm-list.js';

/** Interval at which the VM list is read, milliseconds. */
export const LIST_INTERVAL_MILLIS = 2000;

/** Time that one read of the list or one dial may take, milliseconds. */
const ATTEMPT_MILLIS = 2000;

/** Time for which the member with the higher id waits to be dialled, milliseconds. */
export const DIAL_GRACE_MILLIS = 3000;

/** What the task is told of itself and what it works with. */
export interface MembersSettings {
  readonly member: MemberId;
  readonly incarnation: Incarnation;
  readonly region: RegionId;
  readonly dataCentre: DataCentreId;
  readonly vmList: VmList;
  readonly dialler: Dialler;
  /** Uniform in [0, 1); spreads attempts to connect. */
  readonly random: () => number;
  readonly count: (counter: MembersCounter) => void;
  /** Subscribed from the start, also after the task was restarted. */
  readonly subscribers: readonly Address<MembersEvent>[];
  /** Served from the start, by method. */
  readonly handlers: ReadonlyMap<string, Handler>;
}

/** Nothing is known yet: the log is said to answer, which is the cautious report. */
const FIRST_REPORT: Report = {
  logAnswers: true,
  version: brandAs<Version>(0),
  cellUpTo: brandAs<Offset>(0),
  unresolvedClaims: [],
  epochs: [],
  owned: [],
};

export class MembersTask extends Task<MembersMessage> {
  private readonly peers: Peers;
  private readonly sent: SentHeartbeats;
  private readonly suspicion: Suspicion;
  private readonly subscribers: Set<Address<MembersEvent>>;
  private readonly handlers: Map<string, Handler>;
  /** Connections whose other end has not told its name yet. */
  private readonly unnamed = new Set<Connection>();
  private suspects: ReadonlySet<MemberId> = new Set();
  private report: Report = FIRST_REPORT;
  private memberPhase: Phase = 'serving';
  private listedAsLeaving = false;

  constructor(
    private readonly settings: MembersSettings,
    clock: Clock,
  ) {
    super('members', clock);
    this.peers = new Peers(settings.member);
    this.sent = new SentHeartbeats(settings.incarnation, clock.now());
    this.subscribers = new Set(settings.subscribers);
    this.handlers = new Map(settings.handlers);
    this.suspicion = new Suspicion(clock.now());
  }

  protected override opened(): void {
    this.post({ kind: 'refresh' });
    this.post({ kind: 'beat' });
  }

  protected override closed(): void {
    for (const connection of this.connections()) {
      connection.close();
    }
  }

  protected receive(message: MembersMessage): void {
    match(message)
      .with({ kind: 'subscribe' }, ({ subscriber }) => {
        this.subscribers.add(subscriber);
        this.send(subscriber, this.view());
      })
      .with({ kind: 'serve' }, ({ method, handler }) => {
        this.serve(method, handler);
      })
      .with({ kind: 'request' }, (request) => {
        this.request(request);
      })
      .with({ kind: 'report' }, ({ report }) => {
        this.report = report;
      })
      .with({ kind: 'leave' }, () => {
        this.enter('leaving');
      })
      .with({ kind: 'left' }, () => {
        this.enter('left');
      })
      .with({ kind: 'accepted' }, ({ connection }) => {
        this.adopt(connection);
      })
      .with({ kind: 'beat' }, () => {
        this.beat();
      })
      .with({ kind: 'refresh' }, () => {
        this.refresh();
      })
      .with({ kind: 'listed' }, ({ listing }) => {
        this.takeListing(listing);
      })
      .with({ kind: 'dialled' }, ({ member, connection }) => {
        this.dialled(member, connection);
      })
      .with({ kind: 'received' }, ({ connection, params }) => {
        this.received(connection, params);
      })
      .with({ kind: 'ended' }, ({ connection }) => {
        this.ended(connection);
      })
      .exhaustive();
  }

  private serve(method: string, handler: Handler): void {
    this.handlers.set(method, handler);
    for (const connection of this.connections()) {
      connection.handle(method, handler);
    }
  }

  private request(message: Extract<MembersMessage, { kind: 'request' }>): void {
    const connection = this.peers.get(message.member)?.connection;
    if (connection === undefined) {
      message.reply({ kind: 'not_sent' });
      return;
    }
    void connection.request(message.method, message.params, message.deadline).then(message.reply);
  }

  private enter(phase: Phase): void {
    this.memberPhase = phase;
    this.sendHeartbeats();
    this.publish(this.view());
  }

  private beat(): void {
    const now = this.clock.now();
    this.postAt(deadlineAfter(now, HEARTBEAT_INTERVAL_MILLIS), { kind: 'beat' });
    if (this.suspicion.tick(now)) {
      this.publish({ kind: 'paused', at: now });
    }
    this.updateSuspects();
    this.sendHeartbeats();
    for (const peer of this.peers.all()) {
      this.dialIfDue(peer);
    }
    this.forgetSilent();
  }

  private updateSuspects(): void {
    const suspects = this.suspicion.suspects(this.clock.now());
    const changed = !sameMembers(suspects, this.suspects);
    this.suspects = suspects;
    if (changed) {
      this.publish(this.view());
    }
  }

  private sendHeartbeats(to: readonly Peer[] = this.peers.all()): void {
    const sequence = this.sent.next(this.clock.now());
    const hears = this.peers.all().filter(({ heard }) => heard !== undefined);
    for (const peer of to) {
      const sent = peer.connection?.notify(
        HEARTBEAT_METHOD,
        this.heartbeatFor(peer, sequence, hears),
      );
      if (sent !== undefined) {
        this.settings.count(sent === 'sent' ? 'heartbeats_sent' : 'heartbeats_congested');
      }
    }
  }

  private heartbeatFor(peer: Peer, sequence: number, hears: readonly Peer[]): Heartbeat {
    const { member, incarnation, region, dataCentre } = this.settings;
    return {
      member,
      incarnation,
      region,
      dataCentre,
      sequence,
      echo: echoOf(peer),
      phase: this.memberPhase,
      hears: hears.map((heard) => heard.member),
      suspects: [...this.suspects],
      ...this.report,
    };
  }

  private refresh(): void {
    const now = this.clock.now();
    this.postAt(deadlineAfter(now, LIST_INTERVAL_MILLIS), { kind: 'refresh' });
    void this.settings.vmList.list(deadlineAfter(now, ATTEMPT_MILLIS)).then((listing) => {
      this.post({ kind: 'listed', listing });
    });
  }

  private takeListing(listing: VmListing): void {
    if (listing.kind === 'unavailable') {
      this.settings.count('list_unavailable');
      return;
    }
    const now = this.clock.now();
    const before = this.listingKey();
    for (const peer of this.peers.list(listing.vms, now)) {
      peer.dialFrom = deadlineAfter(this.dialBase(peer), 0);
      this.suspicion.expect(peer.member, now);
      this.dialIfDue(peer);
    }
    this.listedAsLeaving = listing.vms.some(
      (vm) => vm.role === 'entry' && vm.member === this.settings.member && vm.state === 'leaving',
    );
    if (this.listingKey() !== before) {
      this.publish(this.view());
    }
  }

  /** Changes whenever the listing changes what a view shows. */
  private listingKey(): string {
    const entries = this.peers.all().map(({ member, listed }) => [member, listed]);
    return JSON.stringify([this.listedAsLeaving, entries]);
  }

  private dialIfDue(peer: Peer): void {
    const { listed, connection, dialling, dialFrom } = peer;
    const now = this.clock.now();
    if (listed === undefined || connection !== undefined || dialling || !hasPassed(dialFrom, now)) {
      return;
    }
    peer.dialling = true;
    const deadline = deadlineAfter(now, ATTEMPT_MILLIS);
    void this.settings.dialler.dial(listed.address, deadline).then((opened) => {
      const posted = this.post({ kind: 'dialled', member: peer.member, connection: opened });
      if (posted !== 'accepted') {
        opened?.close();
      }
    });
  }

  private dialled(member: MemberId, connection: Connection | undefined): void {
    const peer = this.peers.ensure(member);
    peer.dialling = false;
    if (connection === undefined) {
      this.settings.count('dials_failed');
      this.scheduleDial(peer);
      return;
    }
    this.adopt(connection);
    this.assign(connection, peer);
    this.sendHeartbeats([peer]);
  }

  private scheduleDial(peer: Peer): void {
    peer.failures += 1;
    peer.dialFrom = nextAttempt(peer.failures, this.dialBase(peer), this.settings.random);
  }

  /** The member with the lower id dials at once, the other one only if that did not help. */
  private dialBase(peer: Peer): Instant {
    const grace = this.settings.member < peer.member ? 0 : DIAL_GRACE_MILLIS;
    return brandAs<Instant>(this.clock.now() + grace);
  }

  private adopt(connection: Connection): void {
    this.unnamed.add(connection);
    for (const [method, handler] of this.handlers) {
      connection.handle(method, handler);
    }
    connection.handle(HEARTBEAT_METHOD, (params) => {
      this.post({ kind: 'received', connection, params });
    });
    void connection.ended.then(() => {
      this.post({ kind: 'ended', connection });
    });
  }

  /** Makes the connection the peer's own; an earlier one is closed. */
  private assign(connection: Connection, peer: Peer): void {
    this.unnamed.delete(connection);
    if (peer.connection === connection) {
      return;
    }
    if (peer.connection !== undefined) {
      this.settings.count('connections_replaced');
      peer.connection.close();
    }
    peer.connection = connection;
    this.peers.updateForgetting(peer, this.clock.now());
    this.publish(this.view());
  }

  private received(connection: Connection, params: unknown): void {
    const heartbeat = parseHeartbeat(params);
    if (heartbeat === undefined || !this.mayCome(connection, heartbeat)) {
      this.settings.count('heartbeats_malformed');
      return;
    }
    const peer = this.peers.ensure(heartbeat.member);
    if (this.unnamed.has(connection)) {
      this.assign(connection, peer);
    }
    if (isLate(peer, heartbeat)) {
      this.settings.count('heartbeats_late');
      return;
    }
    this.settings.count('heartbeats_received');
    this.takeHeartbeat(peer, heartbeat);
  }

  /** Whether the connection may carry this name: each carries one, and never our own. */
  private mayCome(connection: Connection, { member }: Heartbeat): boolean {
    const named = this.peers.byConnection(connection);
    return member !== this.settings.member && (named === undefined || named.member === member);
  }

  private takeHeartbeat(peer: Peer, heartbeat: Heartbeat): void {
    const now = this.clock.now();
    const before = peer.heard?.heartbeat;
    peer.failures = 0;
    peer.heard = { heartbeat, madeAfter: this.sent.instantOf(heartbeat.echo) };
    if (this.servesOwners(heartbeat)) {
      this.suspicion.heard(peer.member, now);
    } else {
      this.suspicion.expect(peer.member, now);
    }
    this.publish({ kind: 'heard', view: viewOf(peer, this.suspects), at: now });
    if (before === undefined || changesView(before, heartbeat)) {
      this.publish(this.view());
    }
    this.updateSuspects();
  }

  /**
   * A member that the log does not answer while it answers us can't own a shard for long: it is
   * not counted as heard, so that a majority may hand its shards to others.
   */
  private servesOwners(heartbeat: Heartbeat): boolean {
    return heartbeat.logAnswers || !this.report.logAnswers;
  }

  private ended(connection: Connection): void {
    this.unnamed.delete(connection);
    const peer = this.peers.byConnection(connection);
    if (peer === undefined) {
      return;
    }
    peer.connection = undefined;
    this.scheduleDial(peer);
    this.peers.updateForgetting(peer, this.clock.now());
    this.publish(this.view());
  }

  private forgetSilent(): void {
    const gone = this.peers.forget(this.clock.now());
    for (const { member } of gone) {
      this.suspicion.forget(member);
    }
    if (gone.length > 0) {
      this.updateSuspects();
      this.publish(this.view());
    }
  }

  private connections(): Connection[] {
    const named = this.peers.all().flatMap(({ connection }) => connection ?? []);
    return [...named, ...this.unnamed];
  }

  private view(): MembersEvent {
    const members = this.peers.all().map((peer) => viewOf(peer, this.suspects));
    const leaving = this.memberPhase !== 'serving' || this.listedAsLeaving;
    return { kind: 'view', members, suspects: this.suspects, leaving, at: this.clock.now() };
  }

  private publish(event: MembersEvent): void {
    for (const subscriber of this.subscribers) {
      this.send(subscriber, event);
    }
  }

  private send(subscriber: Address<MembersEvent>, event: MembersEvent): void {
    const posted = subscriber.post(event);
    if (posted === 'stopped') {
      this.subscribers.delete(subscriber);
    } else if (posted === 'full') {
      this.settings.count('events_dropped');
    }
  }
}

function sameMembers(left: ReadonlySet<MemberId>, right: ReadonlySet<MemberId>): boolean {
  return left.size === right.size && [...left].every((member) => right.has(member));
}

/** Whether the heartbeat tells something that others decide by, beyond its being alive. */
function changesView(before: Heartbeat, after: Heartbeat): boolean {
  return (
    before.incarnation !== after.incarnation ||
    before.phase !== after.phase ||
    !sameMembers(new Set(before.suspects), new Set(after.suspects)) ||
    !sameMembers(new Set(before.hears), new Set(after.hears))
  );
}

/** Whether a newer heartbeat of the same incarnation has come before. */
function isLate(peer: Peer, { incarnation, sequence }: Heartbeat): boolean {
  const known = peer.heard?.heartbeat;
  return known?.incarnation === incarnation && sequence <= known.sequence;
}
