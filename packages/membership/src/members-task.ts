/**
 * The task that owns the connections to all other members. It maintains them, exchanges heartbeats,
 * publishes the membership to its subscribers and sends requests of other tasks.
 */

import { match } from 'ts-pattern';
import type { Clock } from '@bamboowell/kernel/clock';
import { Task } from '@bamboowell/kernel/task';
import { HEARTBEAT_INTERVAL_MILLIS } from '@bamboowell/ownership/bounds';
import { FailureDetector } from '@bamboowell/ownership/failure-detector';
import type { MemberId } from '@bamboowell/types/ids';
import { deadlineAfter } from '@bamboowell/types/time';
import type { Connection } from '@bamboowell/wire/connection';
import { Announcer } from './announcer.js';
import { HeartbeatReceiver } from './heartbeat-receiver.js';
import { changesView, sameMembers, type Heartbeat, type Phase } from './heartbeat.js';
import { PeerConnections } from './peer-connections.js';
import type { MembersEvent, MembersMessage } from './members-messages.js';
import type { MembersSettings } from './members-settings.js';
import { isStale, recordReceipt, viewOf, type Peer } from './peer.js';
import { Peers } from './peers.js';
import { Subscribers } from './subscribers.js';
import type { VmListing } from './vm-list.js';

/** Interval at which the VM list is read, milliseconds. */
export const LIST_INTERVAL_MILLIS = 2000;

/** Maximum time for one read of the VM list, milliseconds. */
const LIST_TIMEOUT_MILLIS = 2000;

export class MembersTask extends Task<MembersMessage> {
  private readonly peers: Peers;
  private readonly announcer: Announcer;
  private readonly failureDetector: FailureDetector;
  private readonly subscribers: Subscribers;
  private readonly connections: PeerConnections;
  private readonly receiver = new HeartbeatReceiver();
  private suspects: ReadonlySet<MemberId> = new Set();
  private listedAsLeaving = false;
  private isListRead = false;

  constructor(
    private readonly settings: MembersSettings,
    clock: Clock,
  ) {
    super('members', clock);
    this.peers = new Peers(settings.member);
    this.announcer = new Announcer(settings, this.peers, clock);
    this.subscribers = new Subscribers(settings.subscribers, settings.count);
    this.connections = new PeerConnections(settings, this.peers, clock, (message) =>
      this.post(message),
    );
    this.failureDetector = new FailureDetector(clock.now());
  }

  protected override onStart(): void {
    this.post({ kind: 'refresh' });
    this.post({ kind: 'beat' });
  }

  protected override onStop(): void {
    this.connections.closeAll();
  }

  protected receive(message: MembersMessage): void {
    match(message)
      .with({ kind: 'subscribe' }, ({ subscriber }) => {
        this.subscribers.add(subscriber, this.view());
      })
      .with({ kind: 'serve' }, ({ method, handler }) => {
        this.connections.serve(method, handler);
      })
      .with({ kind: 'request' }, (request) => {
        this.connections.request(request);
      })
      .with({ kind: 'report' }, ({ report, at }) => {
        this.announcer.setReport(report, at);
      })
      .with({ kind: 'leave' }, () => {
        this.enterPhase('leaving');
      })
      .with({ kind: 'left' }, () => {
        this.enterPhase('left');
      })
      .with({ kind: 'accepted' }, ({ connection, certified }) => {
        this.connections.adopt(connection, certified);
      })
      .with({ kind: 'beat' }, () => {
        this.beat();
      })
      .with({ kind: 'refresh' }, () => {
        this.refresh();
      })
      .with({ kind: 'listed' }, ({ listing }) => {
        this.handleListing(listing);
      })
      .with({ kind: 'dialled' }, ({ member, connection }) => {
        this.dialled(this.peers.ensure(member), connection);
      })
      .with({ kind: 'received' }, ({ connection, params }) => {
        this.received(connection, params);
      })
      .with({ kind: 'received_details' }, ({ connection, params }) => {
        if (!this.receiver.receiveDetails(connection, params)) {
          this.settings.count('heartbeats_malformed');
        }
      })
      .with({ kind: 'ended' }, ({ connection }) => {
        this.ended(connection);
      })
      .exhaustive();
  }

  private enterPhase(phase: Phase): void {
    this.announcer.setPhase(phase);
    this.announcer.sendTo(this.peers.all(), this.suspects);
    this.subscribers.publish(this.view());
  }

  private beat(): void {
    const now = this.clock.now();
    this.postAt(deadlineAfter(now, HEARTBEAT_INTERVAL_MILLIS), { kind: 'beat' });
    if (this.failureDetector.tick(now)) {
      this.subscribers.publish({ kind: 'paused', at: now });
    }
    this.updateSuspects();
    this.announcer.sendDue(this.suspects);
    for (const peer of this.peers.all()) {
      this.connections.dialIfDue(peer);
    }
    this.removeExpired();
  }

  private updateSuspects(): void {
    const suspects = this.failureDetector.suspects(this.clock.now());
    const changed = !sameMembers(suspects, this.suspects);
    this.suspects = suspects;
    if (changed) {
      this.subscribers.publish(this.view());
    }
  }

  private refresh(): void {
    const now = this.clock.now();
    this.postAt(deadlineAfter(now, LIST_INTERVAL_MILLIS), { kind: 'refresh' });
    void this.settings.vmList.list(deadlineAfter(now, LIST_TIMEOUT_MILLIS)).then((listing) => {
      this.post({ kind: 'listed', listing });
    });
  }

  private handleListing(listing: VmListing): void {
    if (listing.kind === 'unavailable') {
      this.settings.count('list_unavailable');
      return;
    }
    if (listing.unreadable !== undefined) {
      this.settings.count('list_entries_unreadable');
    }
    const now = this.clock.now();
    const before = this.listingKey();
    this.isListRead = true;
    for (const peer of this.peers.updateFromListing(listing.vms, now)) {
      this.failureDetector.monitor(peer.member, now);
      this.connections.scheduleFirstDial(peer);
    }
    this.listedAsLeaving = listing.vms.some(
      (vm) => vm.role === 'entry' && vm.member === this.settings.member && vm.state === 'leaving',
    );
    if (this.listingKey() !== before) {
      this.subscribers.publish(this.view());
    }
  }

  /** A key that changes whenever the listing changes what a view contains. */
  private listingKey(): string {
    const entries = this.peers.all().map(({ member, listed }) => [member, listed]);
    return JSON.stringify([this.isListRead, this.listedAsLeaving, entries]);
  }

  private dialled(peer: Peer, connection: Connection | undefined): void {
    if (this.connections.dialled(peer, connection)) {
      this.announcer.sendTo([peer], this.suspects);
      this.subscribers.publish(this.view());
    }
  }

  private ended(connection: Connection): void {
    if (this.connections.ended(connection) !== undefined) {
      this.subscribers.publish(this.view());
    }
  }

  private received(connection: Connection, params: unknown): void {
    const heartbeat = this.receiver.receive(connection, params);
    if (
      heartbeat === undefined ||
      !this.connections.isMemberAllowed(connection, heartbeat.member)
    ) {
      this.settings.count('heartbeats_malformed');
      return;
    }
    const peer = this.peers.ensure(heartbeat.member);
    if (this.connections.identify(connection, peer)) {
      this.subscribers.publish(this.view());
    }
    if (isStale(peer, heartbeat)) {
      this.settings.count('heartbeats_late');
      return;
    }
    this.settings.count('heartbeats_received');
    this.handleHeartbeat(peer, heartbeat);
  }

  private handleHeartbeat(peer: Peer, heartbeat: Heartbeat): void {
    const now = this.clock.now();
    const before = peer.heard?.heartbeat;
    peer.failures = 0;
    recordReceipt(peer, heartbeat, now);
    peer.heard = { heartbeat, madeAfter: this.announcer.sentAt(heartbeat.echo) };
    if (this.countsAsHeard(heartbeat)) {
      this.failureDetector.recordHeartbeat(peer.member, now);
    } else {
      this.failureDetector.monitor(peer.member, now);
    }
    this.subscribers.publish({ kind: 'heard', view: viewOf(peer, this.suspects), at: now });
    if (before === undefined || changesView(before, heartbeat)) {
      this.subscribers.publish(this.view());
    }
    this.updateSuspects();
  }

  /**
   * Whether a heartbeat counts for failure detection. A member that the log does not answer while
   * it answers us can't own a shard for long: its heartbeats don't count, so that a majority may
   * suspect it and assign its shards to others.
   */
  private countsAsHeard(heartbeat: Heartbeat): boolean {
    return heartbeat.logAnswers || !this.announcer.logAnswers;
  }

  private removeExpired(): void {
    const gone = this.peers.removeExpired(this.clock.now());
    for (const { member } of gone) {
      this.failureDetector.forget(member);
    }
    if (gone.length > 0) {
      this.updateSuspects();
      this.subscribers.publish(this.view());
    }
  }

  private view(): MembersEvent {
    const members = this.peers.all().map((peer) => viewOf(peer, this.suspects));
    const leaving = this.announcer.phase !== 'serving' || this.listedAsLeaving;
    const { suspects, isListRead } = this;
    return { kind: 'view', members, suspects, leaving, isListRead, at: this.clock.now() };
  }
}
