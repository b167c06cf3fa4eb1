/** What the platform offers beside its store. Implementations speak its formats and decide nothing. */

import type { WorkerId } from '@bamboowell/types/ids';
import type {
  EndedEntry,
  EndNumber,
  JobConfiguration,
  WorkerIncarnation,
  RunningEntry,
  RunNumber,
  StepId,
  StepTaskId,
  Term,
  Ticket,
  WorkerRegistration,
} from '@bamboowell/types/job';
import type { Deadline, WorkerInstant } from '@bamboowell/types/time';
import type { OrderAnswer, StartOrder } from '@bamboowell/jobs/messages';

/** No answer came: the call may have taken effect, and may still. */
export interface Unanswered {
  readonly kind: 'unanswered';
  readonly detail: string;
}

/** Where a worker is, and which life of it is meant. */
export interface WorkerTarget {
  readonly id: WorkerId;
  readonly incarnation: WorkerIncarnation;
  readonly address: string;
}

export interface HoldRequest {
  readonly term: Term;
  readonly acknowledged: EndNumber;
  /** By the worker's clock; absent to look without renewing. */
  readonly leaseEnd: WorkerInstant | undefined;
  /** How long the worker may wait for an end before it answers. */
  readonly waitMillis: number;
}

export type HoldAnswer =
  | {
      readonly kind: 'held';
      readonly incarnation: WorkerIncarnation;
      readonly workerNow: WorkerInstant;
      readonly running: readonly RunningEntry[];
      readonly ended: readonly EndedEntry[];
    }
  | { readonly kind: 'fenced' }
  | { readonly kind: 'other_life' }
  | { readonly kind: 'unwell' }
  | Unanswered;

export interface StopRequest {
  readonly term: Term;
  readonly task: StepTaskId;
  readonly run: RunNumber;
}

export abstract class WorkerPort {
  /** Renews the lease and lists runs and ends. */
  abstract hold(target: WorkerTarget, question: HoldRequest, limit: Deadline): Promise<HoldAnswer>;

  abstract start(
    target: WorkerTarget,
    order: StartOrder,
    term: Term,
    leaseEnd: WorkerInstant,
    limit: Deadline,
  ): Promise<OrderAnswer | Unanswered>;

  abstract stop(
    target: WorkerTarget,
    question: StopRequest,
    limit: Deadline,
  ): Promise<OrderAnswer | Unanswered>;

  /** Closes the connections to the worker. */
  abstract disconnect(target: WorkerTarget): void;
}

export type AdviceAnswer =
  | {
      readonly kind: 'granted';
      readonly granted: readonly { readonly worker: WorkerId; readonly ticket: Ticket }[];
      readonly validMillis: number;
    }
  | { readonly kind: 'busy' }
  | Unanswered;

export abstract class AdvicePort {
  abstract ask(step: StepId, workers: readonly WorkerId[], limit: Deadline): Promise<AdviceAnswer>;
}

export type Decoded<Value> =
  | { readonly kind: 'decoded'; readonly value: Value }
  | { readonly kind: 'unreadable'; readonly detail: string };

/** Reads what others keep in the store. */
export abstract class Documents {
  /** Nothing where the key holds no configuration. */
  abstract configuration(key: string, value: string): Decoded<JobConfiguration> | undefined;
  abstract worker(key: string, value: string): Decoded<WorkerRegistration>;
  abstract workerId(key: string): WorkerId;
}
