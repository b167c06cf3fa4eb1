/** Messages to the task that tracks who owns the work. */

import type { Reply } from '@bamboowell/kernel/ask';
import type { Incarnation, MemberId, Offset } from '@bamboowell/types/ids';
import type { Term } from '@bamboowell/types/job';
import type { Address } from '@bamboowell/types/vm';
import type { CloseReason, Connection } from '@bamboowell/wire/connection';
import type { HelloReply } from './peers.js';
import type { AppendOutcome, NewestPage, Unavailable } from './store.js';

/** The record by which a member claims ownership of the work. */
export interface Claim {
  readonly term: Term;
  readonly member: MemberId;
  readonly incarnation: Incarnation;
  readonly address: Address;
  /** Number of consecutive ports, from the address on, at which it accepts connections; one if absent. */
  readonly ports?: number;
  /** The owner has released the work. */
  readonly isReleased: boolean;
}

export type OwnershipMessage =
  /**
   * The newest claim, if there is one, with the end of the ownership log, or its start if another
   * member announced the claim.
   */
  | { readonly kind: 'claim_received'; readonly claim: Claim | undefined; readonly end: Offset }
  | { readonly kind: 'connected'; readonly term: Term; readonly connection: Connection }
  | {
      readonly kind: 'hello_answered';
      readonly term: Term;
      readonly connection: Connection;
      readonly helloReply: HelloReply | undefined;
    }
  /** The owner of the term should have answered the hello by now, unless it is busy. */
  | { readonly kind: 'hello_due'; readonly term: Term }
  | {
      readonly kind: 'unreachable';
      readonly term: Term;
      readonly detail: string;
      readonly isRefused: boolean;
    }
  /** The owner has been silent for a while, or is heard again. */
  | {
      readonly kind: 'owner_suspect';
      readonly term: Term;
      readonly connection: Connection;
      readonly isSuspect: boolean;
    }
  | {
      readonly kind: 'connection_ended';
      readonly term: Term;
      readonly connection: Connection;
      readonly reason: CloseReason;
    }
  /** The owner of the term asks whether this member has claimed the work; replies whether it has not. */
  | { readonly kind: 'attest'; readonly term: Term; readonly reply: Reply<boolean> }
  | { readonly kind: 'trouble'; readonly term: Term; readonly isTroubled: boolean }
  /** The remote owner has taken the work over and accepts requests. */
  | { readonly kind: 'serving'; readonly term: Term }
  /** A probe has read the end of the work log; undefined if it failed. */
  | { readonly kind: 'log_end_read'; readonly end: Offset | undefined }
  /** The store's answer to this member's own claim, which required that the log ends at `end`. */
  | { readonly kind: 'claimed'; readonly end: Offset; readonly outcome: AppendOutcome }
  /** The store's answer to the record that keeps a lost claim of this member from taking effect. */
  | { readonly kind: 'annulled'; readonly outcome: AppendOutcome }
  /** Time to keep a lost claim from taking effect. */
  | { readonly kind: 'annul' }
  | { readonly kind: 'check' }
  /** This member's owner task accepts requests from now on. */
  | { readonly kind: 'owner_ready'; readonly term: Term }
  /** Time to tell members of this member's claim that may not have heard of it. */
  | { readonly kind: 'introduce'; readonly term: Term }
  | { readonly kind: 'stood_down'; readonly term: Term }
  /** Another member may have claimed the work: reads the claims again. */
  | { readonly kind: 'reread_claims' }
  | { readonly kind: 'claims_reread'; readonly page: NewestPage | Unavailable }
  /** Stops claiming the work, and releases the term that this member held. */
  | { readonly kind: 'leave'; readonly held: Term | undefined; readonly reply: Reply<null> };
