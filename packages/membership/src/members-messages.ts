/** Messages to and from the members task. */

import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import type { Reply } from '@bamboowell/kernel/ask';
import type { MemberId } from '@bamboowell/types/ids';
import type { Deadline, Instant } from '@bamboowell/types/time';
import type { Vm } from '@bamboowell/types/vm';
import type { Connection, Handler, WireAnswer } from '@bamboowell/wire/connection';
import type { Heartbeat, Report } from './heartbeat.js';
import type { VmListing } from './vm-list.js';

/** An entry VM as the VM list shows it. */
export type EntryVm = Extract<Vm, { role: 'entry' }>;

/** The latest heartbeat received from a member. */
export interface ReceivedHeartbeat {
  readonly heartbeat: Heartbeat;
  /**
   * The heartbeat's report was made at or after this instant of our clock, according to its echo;
   * undefined if it echoes none of the heartbeats that this incarnation remembers.
   */
  readonly madeAfter: Instant | undefined;
}

/** What is known of another member. */
export interface MemberView {
  readonly member: MemberId;
  /** Undefined while the VM list does not contain the member. */
  readonly listed: EntryVm | undefined;
  readonly connected: boolean;
  readonly suspected: boolean;
  /**
   * Whether the member is leaving, according to the VM list or to itself; it gets no new shards.
   */
  readonly leaving: boolean;
  readonly heard: ReceivedHeartbeat | undefined;
}

/** To the members task. */
export type MembersMessage =
  /** The subscriber gets a view at once, and every event from then on. */
  | { readonly kind: 'subscribe'; readonly subscriber: MailboxAddress<MembersEvent> }
  /** Sets the handler of a method on every connection. */
  | { readonly kind: 'serve'; readonly method: string; readonly handler: Handler }
  /** Replies `not_sent` if there is no connection to the member. */
  | {
      readonly kind: 'request';
      readonly member: MemberId;
      readonly method: string;
      readonly params: unknown;
      readonly deadline: Deadline;
      readonly reply: Reply<WireAnswer>;
    }
  /**
   * Sets what this member reports from its next heartbeat on. All of it was true at `at`. Others
   * rely on a recent `at`, so a report must be posted at least every `REPORT_INTERVAL_MILLIS`.
   */
  | { readonly kind: 'report'; readonly report: Report; readonly at: Instant }
  /** This member gets no new shards from now on. */
  | { readonly kind: 'leave' }
  /** This member no longer owns or claims anything; its peers are told at once. */
  | { readonly kind: 'left' }
  /** A connection that another process opened; `certified` is the member id in its certificate. */
  | {
      readonly kind: 'accepted';
      readonly connection: Connection;
      readonly certified?: MemberId;
    }
  | OwnMessage;

/** Messages that the task posts to itself. */
export type OwnMessage =
  | { readonly kind: 'beat' }
  | { readonly kind: 'refresh' }
  | { readonly kind: 'listed'; readonly listing: VmListing }
  | {
      readonly kind: 'dialled';
      readonly member: MemberId;
      readonly connection: Connection | undefined;
    }
  | { readonly kind: 'received_details'; readonly connection: Connection; readonly params: unknown }
  | { readonly kind: 'received'; readonly connection: Connection; readonly params: unknown }
  | { readonly kind: 'ended'; readonly connection: Connection };

/** From the members task to its subscribers. */
export type MembersEvent =
  /** The members, the list, connections or suspicions have changed. */
  | {
      readonly kind: 'view';
      readonly members: readonly MemberView[];
      /** The members that this member suspects. */
      readonly suspects: ReadonlySet<MemberId>;
      /** Whether this member itself is leaving. */
      readonly leaving: boolean;
      /** Whether the VM list has been read; until then members may be missing. */
      readonly isListRead: boolean;
      readonly at: Instant;
    }
  /** A heartbeat was received. */
  | { readonly kind: 'heard'; readonly view: MemberView; readonly at: Instant }
  /** This process was paused until now. */
  | { readonly kind: 'paused'; readonly at: Instant };

/** Counters of the members task. */
export type MembersCounter =
  | 'heartbeats_sent'
  | 'details_sent'
  | 'heartbeats_congested'
  | 'heartbeats_received'
  | 'heartbeats_malformed'
  | 'heartbeats_late'
  | 'dials_failed'
  | 'connections_replaced'
  | 'list_unavailable'
  | 'list_entries_unreadable'
  | 'events_dropped';
