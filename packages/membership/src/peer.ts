/** State that the members task keeps about one other member. */

import { brandAs, type MemberId } from '@bamboowell/types/ids';
import { NEVER, type Deadline, type Instant } from '@bamboowell/types/time';
import type { Connection } from '@bamboowell/wire/connection';
import type { Echo, Heartbeat } from './heartbeat.js';
import type { EntryVm, ReceivedHeartbeat, MemberView } from './members-messages.js';

/** Maximum number of receipts kept for each peer. */
const MAX_RECEIPTS = 8;

/** When a heartbeat of the peer was received. */
interface Receipt {
  readonly echo: Echo;
  readonly at: Instant;
}

export interface Peer {
  readonly member: MemberId;
  listed: EntryVm | undefined;
  connection: Connection | undefined;
  /** Whether a dial is in progress. */
  dialling: boolean;
  failures: number;
  nextDialAt: Deadline;
  heard: ReceivedHeartbeat | undefined;
  /** Oldest first. */
  receipts: readonly Receipt[];
  /** When the next heartbeat is due, if the peer is in another region. */
  nextHeartbeatAt: Deadline;
  /** When the peer is removed; `NEVER` while it is listed or connected. */
  expiresAt: Deadline;
}

export function newPeer(member: MemberId): Peer {
  return {
    member,
    listed: undefined,
    connection: undefined,
    dialling: false,
    failures: 0,
    nextDialAt: NEVER,
    heard: undefined,
    receipts: [],
    nextHeartbeatAt: brandAs<Deadline>(0),
    expiresAt: NEVER,
  };
}

/** Records when the heartbeat was received. */
export function recordReceipt(peer: Peer, heartbeat: Heartbeat, at: Instant): void {
  const { incarnation, sequence } = heartbeat;
  peer.receipts = [...peer.receipts, { echo: { incarnation, sequence }, at }].slice(-MAX_RECEIPTS);
}

/**
 * Identifies the newest heartbeat of the peer that was received by the time of our report. A newer
 * one must not be echoed: the peer would take our report to be more recent than it is.
 */
export function echoOf(peer: Peer, reportAt: Instant): Echo | null {
  return peer.receipts.findLast(({ at }) => at <= reportAt)?.echo ?? null;
}

export function viewOf(peer: Peer, suspects: ReadonlySet<MemberId>): MemberView {
  const phase = peer.heard?.heartbeat.phase ?? 'serving';
  return {
    member: peer.member,
    listed: peer.listed,
    connected: peer.connection !== undefined,
    suspected: suspects.has(peer.member),
    leaving: peer.listed?.state === 'leaving' || phase !== 'serving',
    heard: peer.heard,
  };
}

/** Whether this or a newer heartbeat of the same incarnation was received before. */
export function isStale(peer: Peer, { incarnation, sequence }: Heartbeat): boolean {
  const known = peer.heard?.heartbeat;
  return known?.incarnation === incarnation && sequence <= known.sequence;
}
