/** The other members, by id and by connection. */

import type { MemberId } from '@bamboowell/types/ids';
import { deadlineAfter, hasPassed, NEVER, type Instant } from '@bamboowell/types/time';
import type { Vm } from '@bamboowell/types/vm';
import type { Connection } from '@bamboowell/wire/connection';
import { newPeer, type Peer } from './peer.js';

/** Time after which a member that is neither listed nor connected is removed, milliseconds. */
export const PEER_EXPIRY_MILLIS = 10 * 60_000;

export class Peers {
  private readonly peers = new Map<MemberId, Peer>();

  constructor(private readonly self: MemberId) {}

  all(): Peer[] {
    return [...this.peers.values()];
  }

  get(member: MemberId): Peer | undefined {
    return this.peers.get(member);
  }

  /** Returns the peer with this id, which is created if it is new. Not for this member itself. */
  ensure(member: MemberId): Peer {
    const peer = this.peers.get(member) ?? newPeer(member);
    this.peers.set(member, peer);
    return peer;
  }

  byConnection(connection: Connection): Peer | undefined {
    return this.all().find((peer) => peer.connection === connection);
  }

  /** Applies a listing; members that it lacks are kept until they expire. Returns the new peers. */
  updateFromListing(vms: readonly Vm[], now: Instant): Peer[] {
    const entries = vms.filter((vm) => vm.role === 'entry' && vm.member !== this.self);
    const before = new Set(this.peers.keys());
    const listed = new Map(entries.flatMap((vm) => (vm.role === 'entry' ? [[vm.member, vm]] : [])));
    for (const member of listed.keys()) {
      this.ensure(member);
    }
    for (const peer of this.peers.values()) {
      peer.listed = listed.get(peer.member);
      this.updateExpiry(peer, now);
    }
    return this.all().filter(({ member }) => !before.has(member));
  }

  /** Removes the members that have expired and returns them. */
  removeExpired(now: Instant): Peer[] {
    const gone = this.all().filter((peer) => hasPassed(peer.expiresAt, now));
    for (const peer of gone) {
      this.peers.delete(peer.member);
    }
    return gone;
  }

  /**
   * Starts or cancels the expiry of a peer. Absence from the list proves nothing, so that only a
   * peer that is also disconnected expires.
   */
  updateExpiry(peer: Peer, now: Instant): void {
    if (peer.listed !== undefined || peer.connection !== undefined) {
      peer.expiresAt = NEVER;
    } else if (peer.expiresAt === NEVER) {
      peer.expiresAt = deadlineAfter(now, PEER_EXPIRY_MILLIS);
    }
  }
}
