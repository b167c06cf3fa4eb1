/** Messages to the task that owns the work. */

import type { Reply } from '@bamboowell/kernel/ask';
import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import type { WorkerId } from '@bamboowell/types/ids';
import type { StepId, Term, WorkerRegistration } from '@bamboowell/types/job';
import type { Deadline, Instant } from '@bamboowell/types/time';
import type { KnownEvacuations } from '@bamboowell/jobs/evacuations';
import type { JobInput } from '@bamboowell/jobs/messages';
import type { ConfigurationUpdate } from './configuration-task.js';
import type { LoadedWork } from './load-work.js';
import type { MemberPort } from './member-port.js';
import type { Moment } from './moment.js';
import type { OwnerReply, OwnerRequest } from './owner-channel.js';
import type { OwnershipMessage } from './ownership-messages.js';
import type { AdviceAnswer } from './ports.js';
import type { AppendOutcome, ProducerSequence } from './store.js';
import type { Precedence } from './succession.js';

/** Whether a member holds a given term: not at all, still taking the work over, or serving requests. */
export type TermRole = 'none' | 'taking_over' | 'serving';

export type OwnerMessage =
  /** Sets the task that is notified when this member starts or stops owning the work. */
  | { readonly kind: 'attach'; readonly ownership: MailboxAddress<OwnershipMessage> }
  /** This member has won the term. */
  | { readonly kind: 'elected'; readonly term: Term; readonly precedence: Precedence }
  /** Ends any lower term: another member holds this one, or the work has been released. */
  | { readonly kind: 'superseded'; readonly term: Term }
  | ConfigurationUpdate
  | { readonly kind: 'worker'; readonly registration: WorkerRegistration }
  | { readonly kind: 'worker_gone'; readonly worker: WorkerId }
  | { readonly kind: 'workers_read' }
  /** The operator's records of evacuations have been read or confirmed. */
  | {
      readonly kind: 'evacuations';
      readonly term: Term;
      readonly evacuations: KnownEvacuations;
    }
  | { readonly kind: 'loaded'; readonly term: Term; readonly work: LoadedWork }
  | {
      readonly kind: 'request';
      readonly request: OwnerRequest;
      readonly reply: Reply<OwnerReply>;
    }
  | { readonly kind: 'input'; readonly input: JobInput }
  /** A worker rejected a call because it has seen a higher term. */
  | { readonly kind: 'fenced' }
  /** A member has connected to the holder of a term; the reply says whether this member is that holder. */
  | {
      readonly kind: 'member';
      readonly port: MemberPort;
      readonly term: Term;
      readonly reply: Reply<TermRole>;
    }
  | { readonly kind: 'member_gone'; readonly port: MemberPort }
  /** The member has not claimed the work, and won't any more. */
  | { readonly kind: 'member_leaving'; readonly port: MemberPort }
  /** Answer of a witness that was asked at `askedAt` whether it has claimed the work. */
  | {
      readonly kind: 'attested';
      readonly term: Term;
      readonly port: MemberPort;
      readonly askedAt: Moment;
      readonly isAttested: boolean;
    }
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
      readonly sentAt: Moment;
    }
  /** Outcome of a probe of the store. */
  | {
      readonly kind: 'probed';
      readonly term: Term;
      readonly sentAt: Instant;
      readonly isAnswered: boolean;
    }
  /** Time to repeat appends or to probe the store, where that is due. */
  | { readonly kind: 'check_store'; readonly term: Term }
  /** Time to send the appends that are due. */
  | { readonly kind: 'append'; readonly term: Term }
  /** Runs a placement pass. */
  | { readonly kind: 'pass' }
  | { readonly kind: 'tick'; readonly dueAt: Deadline }
  /**
   * Hands the work over as soon as the store is fast enough for a successor and all appends in
   * flight are stored, at the latest at `by`. Replies with the term that was held.
   */
  | { readonly kind: 'resign'; readonly by: Deadline; readonly reply: Reply<Term | undefined> };
