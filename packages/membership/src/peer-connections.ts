/**
 * Manages the connections to other members: dials them, identifies their other ends and replaces
 * lost ones.
 */

import type { Clock } from '@bamboowell/kernel/clock';
import type { PostResult } from '@bamboowell/kernel/mailbox';
import { brandAs, type MemberId } from '@bamboowell/types/ids';
import { deadlineAfter, hasPassed, type Instant } from '@bamboowell/types/time';
import type { Connection, Handler } from '@bamboowell/wire/connection';
import { nextAttempt } from './backoff.js';
import { DETAILS_METHOD, HEARTBEAT_METHOD } from './heartbeat.js';
import type { MembersMessage, OwnMessage } from './members-messages.js';
import type { MembersSettings } from './members-settings.js';
import type { Peer } from './peer.js';
import type { Peers } from './peers.js';

/** Maximum time for one dial, milliseconds. */
const DIAL_TIMEOUT_MILLIS = 2000;

/**
 * Time for which the member with the higher id waits to be dialled before it dials, milliseconds.
 */
export const DIAL_GRACE_MILLIS = 3000;

export class PeerConnections {
  private readonly handlers: Map<string, Handler>;
  /** Connections whose other end has not sent a heartbeat with its member id yet. */
  private readonly unidentified = new Set<Connection>();
  /** Member ids in the certificates of accepted connections. */
  private readonly certifiedMembers = new WeakMap<Connection, MemberId>();

  constructor(
    private readonly settings: MembersSettings,
    private readonly peers: Peers,
    private readonly clock: Clock,
    /** Posts to the task that owns these connections. */
    private readonly post: (message: OwnMessage) => PostResult,
  ) {
    this.handlers = new Map(settings.handlers);
  }

  closeAll(): void {
    for (const connection of this.connections()) {
      connection.close();
    }
  }

  serve(method: string, handler: Handler): void {
    this.handlers.set(method, handler);
    for (const connection of this.connections()) {
      connection.handle(method, handler);
    }
  }

  request(message: Extract<MembersMessage, { kind: 'request' }>): void {
    const connection = this.peers.get(message.member)?.connection;
    if (connection === undefined) {
      message.reply({ kind: 'not_sent' });
      return;
    }
    void connection.request(message.method, message.params, message.deadline).then(message.reply);
  }

  /** Schedules the first dial of a peer that is new in the VM list. */
  scheduleFirstDial(peer: Peer): void {
    peer.nextDialAt = deadlineAfter(this.earliestDial(peer), 0);
    this.dialIfDue(peer);
  }

  dialIfDue(peer: Peer): void {
    const { listed, connection, dialling, nextDialAt } = peer;
    const now = this.clock.now();
    if (
      listed === undefined ||
      connection !== undefined ||
      dialling ||
      !hasPassed(nextDialAt, now)
    ) {
      return;
    }
    peer.dialling = true;
    const deadline = deadlineAfter(now, DIAL_TIMEOUT_MILLIS);
    void this.settings.dialler.dial(listed.address, deadline, peer.member).then((opened) => {
      const posted = this.post({ kind: 'dialled', member: peer.member, connection: opened });
      if (posted !== 'accepted') {
        opened?.close();
      }
    });
  }

  /** Handles the result of a dial. Returns whether there is a connection. */
  dialled(peer: Peer, connection: Connection | undefined): boolean {
    peer.dialling = false;
    if (connection === undefined) {
      this.settings.count('dials_failed');
      this.scheduleDial(peer);
      return false;
    }
    this.adopt(connection);
    this.assign(connection, peer);
    return true;
  }

  /** Sets the handlers of a connection whose other end is not identified yet. */
  adopt(connection: Connection, certified?: MemberId): void {
    this.unidentified.add(connection);
    if (certified !== undefined) {
      this.certifiedMembers.set(connection, certified);
    }
    for (const [method, handler] of this.handlers) {
      connection.handle(method, handler);
    }
    connection.handle(DETAILS_METHOD, (params) => {
      this.post({ kind: 'received_details', connection, params });
    });
    connection.handle(HEARTBEAT_METHOD, (params) => {
      this.post({ kind: 'received', connection, params });
    });
    void connection.ended.then(() => {
      this.post({ kind: 'ended', connection });
    });
  }

  /**
   * Whether heartbeats of `member` may arrive on the connection. Each connection belongs to one
   * other member: the one that was dialled or, if the connection was accepted, the one in its
   * certificate or else in its first heartbeat.
   */
  isMemberAllowed(connection: Connection, member: MemberId): boolean {
    const known = this.peers.byConnection(connection)?.member ?? member;
    const certified = this.certifiedMembers.get(connection) ?? member;
    return member !== this.settings.member && known === member && certified === member;
  }

  /** Assigns an unidentified connection to the peer. Returns whether it was unidentified. */
  identify(connection: Connection, peer: Peer): boolean {
    const wasUnidentified = this.unidentified.has(connection);
    if (wasUnidentified) {
      this.assign(connection, peer);
    }
    return wasUnidentified;
  }

  /** Handles the end of a connection. Returns the peer that it belonged to, if any. */
  ended(connection: Connection): Peer | undefined {
    this.unidentified.delete(connection);
    const peer = this.peers.byConnection(connection);
    if (peer !== undefined) {
      peer.connection = undefined;
      this.scheduleDial(peer);
      this.peers.updateExpiry(peer, this.clock.now());
    }
    return peer;
  }

  /** Makes this the peer's connection and closes an earlier one. */
  private assign(connection: Connection, peer: Peer): void {
    this.unidentified.delete(connection);
    const earlier = peer.connection;
    peer.connection = connection;
    this.peers.updateExpiry(peer, this.clock.now());
    if (earlier !== undefined) {
      this.settings.count('connections_replaced');
      earlier.close();
    }
  }

  private scheduleDial(peer: Peer): void {
    peer.failures += 1;
    peer.nextDialAt = nextAttempt(peer.failures, this.earliestDial(peer), this.settings.random);
  }

  /**
   * The earliest instant of a dial. The member with the lower id dials at once; the other one
   * waits, and dials only if it was not dialled in the meantime.
   */
  private earliestDial(peer: Peer): Instant {
    const grace = this.settings.member < peer.member ? 0 : DIAL_GRACE_MILLIS;
    return brandAs<Instant>(this.clock.now() + grace);
  }

  private connections(): Connection[] {
    const identified = this.peers.all().flatMap(({ connection }) => connection ?? []);
    return [...identified, ...this.unidentified];
  }
}
