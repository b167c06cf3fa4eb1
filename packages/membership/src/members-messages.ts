/** Messages to and from the members task. */

import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import type { Reply } from '@bamboowell/kernel/ask';
import type { MemberId } from '@bamboowell/types/ids';
import type { Deadline, Instant } from '@bamboowell/types/time';
import type { Vm } from '@bamboowell/types/vm';
import type { Connection, Handler, WireAnswer } from '@bamboowell/wire/connection';
import type { Heartbeat, Report } from './heartbeat.js';
import type { VmListing } from './vm-list.js';

/** An entry VM as the list shows it. */
export type EntryVm = Extract<Vm, { role: 'entry' }>;

/** What was last heard of a member. */
export interface ReceivedHeartbeat {
  readonly heartbeat: Heartbeat;
  /**
   * The heartbeat was made at or after this instant of our clock, by its echo; none while it has
   * echoed nothing of this incarnation.
   */
  readonly madeAfter: Instant | undefined;
}

/** What is known of another member. */
export interface MemberView {
  readonly member: MemberId;
  /** None while the list does not show it. */
  readonly listed: EntryVm | undefined;
  readonly connected: boolean;
  readonly suspected: boolean;
  /** By the list or by its own word; it gets no new shards. */
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
   * What this member tells from its next heartbeat on. All of it was true at `at`; others rely on
   * that, so that a report is posted at least every `REPORT_INTERVAL_MILLIS`.
   */
  | { readonly kind: 'report'; readonly report: Report; readonly at: Instant }
  /** This member gets no new shards from now on. */
  | { readonly kind: 'leave' }
  /** This member owns and claims nothing any more; it is told at once. */
  | { readonly kind: 'left' }
  /** A connection that another process opened; `certified` is the name in its certificate. */
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
      /** Whom this member suspects. */
      readonly suspects: ReadonlySet<MemberId>;
      /** Whether this member itself is leaving. */
      readonly leaving: boolean;
      readonly at: Instant;
    }
  /** A heartbeat came. */
  | { readonly kind: 'heard'; readonly view: MemberView; readonly at: Instant }
  /** This process was paused until now. */
  | { readonly kind: 'paused'; readonly at: Instant };

/** What the task counts. */
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
  | 'events_dropped';
