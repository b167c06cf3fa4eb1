/** What the owner's task is told. */

import type { Reply } from '@bamboowell/kernel/ask';
import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import type { WorkerId } from '@bamboowell/types/ids';
import type { JobConfiguration, StepId, Term, WorkerRegistration } from '@bamboowell/types/job';
import type { Deadline, Instant } from '@bamboowell/types/time';
import type { JobInput } from '@bamboowell/jobs/messages';
import type { Restored } from '@bamboowell/jobs/records';
import type { MemberPort } from './member-port.js';
import type { OwnerReply, OwnerRequest } from './owner-channel.js';
import type { OwnershipMessage } from './ownership-messages.js';
import type { AdviceAnswer } from './ports.js';
import type { AppendOutcome, ProducerSequence } from './store.js';

/** How a member stands to a term: it doesn't hold it, takes the work over, or serves. */
export type TermRole = 'none' | 'taking_over' | 'serving';

export type OwnerMessage =
  /** Who is told when this member begins or ceases to own the work. */
  | { readonly kind: 'attach'; readonly ownership: MailboxAddress<OwnershipMessage> }
  /** This member holds the term. */
  | { readonly kind: 'elected'; readonly term: Term }
  /** This member holds the work no more. */
  | { readonly kind: 'superseded'; readonly term: Term }
  | { readonly kind: 'configuration'; readonly configuration: JobConfiguration }
  | { readonly kind: 'worker'; readonly registration: WorkerRegistration }
  | { readonly kind: 'worker_gone'; readonly worker: WorkerId }
  | { readonly kind: 'workers_read' }
  | { readonly kind: 'loaded'; readonly term: Term; readonly restored: Restored }
  | {
      readonly kind: 'request';
      readonly request: OwnerRequest;
      readonly reply: Reply<OwnerReply>;
    }
  | { readonly kind: 'input'; readonly input: JobInput }
  /** A worker has seen a higher term. */
  | { readonly kind: 'fenced' }
  /** A member greets the holder of a term; replies how this one stands to it. */
  | {
      readonly kind: 'member';
      readonly port: MemberPort;
      readonly term: Term;
      readonly reply: Reply<TermRole>;
    }
  | { readonly kind: 'member_gone'; readonly port: MemberPort }
  | {
      readonly kind: 'advised';
      readonly term: Term;
      readonly step: StepId;
      readonly answer: AdviceAnswer;
      readonly tookMillis: number;
    }
  | {
      readonly kind: 'appended';
      readonly term: Term;
      readonly sequence: ProducerSequence;
      readonly outcome: AppendOutcome;
      readonly sentAt: Instant;
      readonly sentAtWallMillis: number;
    }
  | { readonly kind: 'append'; readonly term: Term }
  | { readonly kind: 'pass' }
  | { readonly kind: 'beat' }
  /**
   * Hands the work over: once the store is quick enough for a successor and has what is on its way,
   * at the latest at `by`. Replies the term that was held.
   */
  | { readonly kind: 'resign'; readonly by: Deadline; readonly reply: Reply<Term | undefined> };
