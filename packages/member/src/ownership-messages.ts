/** What the task that follows ownership is told. */

import type { Reply } from '@bamboowell/kernel/ask';
import type { Incarnation, MemberId, Offset } from '@bamboowell/types/ids';
import type { Term } from '@bamboowell/types/job';
import type { Address } from '@bamboowell/types/vm';
import type { CloseReason, Connection } from '@bamboowell/wire/connection';
import type { HelloReply } from './peers.js';
import type { AppendOutcome } from './store.js';

/** The newest record of who owns the work. */
export interface Claim {
  readonly term: Term;
  readonly member: MemberId;
  readonly incarnation: Incarnation;
  readonly address: Address;
  /** The owner has let go of the work. */
  readonly isReleased: boolean;
}

export type OwnershipMessage =
  | { readonly kind: 'claims'; readonly claim: Claim | undefined; readonly end: Offset }
  | { readonly kind: 'connected'; readonly term: Term; readonly connection: Connection }
  | {
      readonly kind: 'greeted';
      readonly term: Term;
      readonly connection: Connection;
      readonly helloReply: HelloReply | undefined;
    }
  | {
      readonly kind: 'unreachable';
      readonly term: Term;
      readonly detail: string;
      readonly isRefused: boolean;
    }
  | {
      readonly kind: 'link_ended';
      readonly term: Term;
      readonly connection: Connection;
      readonly reason: CloseReason;
    }
  | { readonly kind: 'trouble'; readonly term: Term; readonly isTroubled: boolean }
  /** The owner has taken the work over. */
  | { readonly kind: 'serving'; readonly term: Term }
  | { readonly kind: 'looked'; readonly end: Offset | undefined }
  | { readonly kind: 'claimed'; readonly outcome: AppendOutcome }
  | { readonly kind: 'beat' }
  /** The owner's task serves from now on. */
  | { readonly kind: 'owning'; readonly term: Term }
  | { readonly kind: 'stood_down'; readonly term: Term }
  /** Somebody may have claimed the work. */
  | { readonly kind: 'doubt' }
  /** Claims nothing from here on, and releases the term that this member held. */
  | { readonly kind: 'leave'; readonly held: Term | undefined; readonly reply: Reply<null> };
