/** What the members task keeps of one other member. */

import type { MemberId } from '@bamboowell/types/ids';
import { NEVER, type Deadline } from '@bamboowell/types/time';
import type { Connection } from '@bamboowell/wire/connection';
import type { Echo } from './heartbeat.js';
import type { EntryVm, Heard, MemberView } from './members-messages.js';

export interface Peer {
  readonly member: MemberId;
  listed: EntryVm | undefined;
  connection: Connection | undefined;
  /** Whether a dial is under way. */
  dialling: boolean;
  failures: number;
  dialFrom: Deadline;
  heard: Heard | undefined;
  /** When an unlisted, silent member is forgotten. */
  forgetFrom: Deadline;
}

export function newPeer(member: MemberId): Peer {
  return {
    member,
    listed: undefined,
    connection: undefined,
    dialling: false,
    failures: 0,
    dialFrom: NEVER,
    heard: undefined,
    forgetFrom: NEVER,
  };
}

/** The newest heartbeat of the peer, as the next one of ours echoes it. */
export function echoOf(peer: Peer): Echo | null {
  if (peer.heard === undefined) {
    return null;
  }
  const { incarnation, sequence } = peer.heard.heartbeat;
  return { incarnation, sequence };
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
