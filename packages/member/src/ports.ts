/**
 * Interfaces to the platform other than its store. Implementations only translate formats and make
 * no decisions.
 */

import type { DataCentreId, WorkerId } from '@bamboowell/types/ids';
import type {
  EndedEntry,
  EndNumber,
  Fence,
  JobConfiguration,
  WorkerIncarnation,
  RunningEntry,
  RunNumber,
  StepId,
  StepTaskId,
  Ticket,
  WorkerRegistration,
} from '@bamboowell/types/job';
import type { Deadline, WorkerInstant } from '@bamboowell/types/time';
import type { OrderAnswer, StartOrder } from '@bamboowell/jobs/messages';

/** No answer: the call may have taken effect, or may still do so. */
export interface Unanswered {
  readonly kind: 'unanswered';
  readonly detail: string;
}

/** Address of a worker and the incarnation that is expected there. */
export interface WorkerTarget {
  readonly id: WorkerId;
  readonly incarnation: WorkerIncarnation;
  readonly address: string;
}

export interface HoldRequest {
  readonly fence: Fence;
  readonly acknowledged: EndNumber;
  /** End of the lease by the worker's clock; undefined to poll without renewing it. */
  readonly leaseEnd: WorkerInstant | undefined;
  /** How long the worker may wait for a run to end before it answers. */
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
  readonly fence: Fence;
  readonly task: StepTaskId;
  readonly run: RunNumber;
}

export abstract class WorkerPort {
  /** Renews the lease; the answer lists running and ended runs. */
  abstract hold(
    target: WorkerTarget,
    request: HoldRequest,
    deadline: Deadline,
  ): Promise<HoldAnswer>;

  abstract start(
    target: WorkerTarget,
    order: StartOrder,
    fence: Fence,
    leaseEnd: WorkerInstant,
    deadline: Deadline,
  ): Promise<OrderAnswer | Unanswered>;

  abstract stop(
    target: WorkerTarget,
    request: StopRequest,
    deadline: Deadline,
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
  abstract ask(
    step: StepId,
    workers: readonly WorkerId[],
    deadline: Deadline,
  ): Promise<AdviceAnswer>;
}

export type Decoded<Value> =
  | { readonly kind: 'decoded'; readonly value: Value }
  | { readonly kind: 'unreadable'; readonly detail: string };

/** Decodes the records that the operator and the workers keep in the store. */
export abstract class Documents {
  /** Returns undefined if the key doesn't hold a configuration. */
  abstract configuration(key: string, value: string): Decoded<JobConfiguration> | undefined;
  abstract worker(key: string, value: string): Decoded<WorkerRegistration>;
  abstract workerId(key: string): WorkerId;

  /** Of the operator's records, those of evacuated data centres have keys after this one. */
  abstract readonly keyBeforeEvacuations: string;
  /** The data centre that a record with this key evacuates; undefined if the key is of another kind. */
  abstract evacuatedZone(key: string): DataCentreId | undefined;
  /** Whether the value of such a record is as it should be. */
  abstract evacuation(key: string, value: string): Decoded<DataCentreId>;
}
