/** Inputs and outputs of the scheduler of a cluster's jobs. */

import type { Branded, MemberId, QueueId, WorkerId } from '@bamboowell/types/ids';
import type {
  AdviceTiming,
  EndedEntry,
  EndNumber,
  JobConfiguration,
  JobId,
  JobPlan,
  JobState,
  WorkerIncarnation,
  RunningEntry,
  RunNumber,
  SavedProgress,
  StepId,
  StepTaskId,
  Ticket,
  WorkerRegistration,
} from '@bamboowell/types/job';
import type { Deadline, Instant } from '@bamboowell/types/time';
import type { KnownEvacuations } from './evacuations.js';
import type { PlacementPreview } from './placement-preview.js';

/** Matches an answer to its request. */
export type JobToken = Branded<number, 'JobToken'>;

/** One time that the link to a worker stopped renewing its lease, having reported it unreachable. */
export type LeaseSuspension = Branded<number, 'LeaseSuspension'>;

/** Answer of a worker to an order. */
export type OrderAnswer =
  | { readonly kind: 'done' }
  /** The worker has had orders of a higher term. */
  | { readonly kind: 'fenced' }
  /** The run, or a later one of the task, was stopped or has ended there. */
  | { readonly kind: 'outdated' }
  /** The lease that the order gives had already ended at the worker. */
  | { readonly kind: 'late' }
  | { readonly kind: 'no_room' }
  | { readonly kind: 'no_ticket' }
  /** The worker is overloaded or unavailable and did nothing. */
  | { readonly kind: 'unwell' }
  | { readonly kind: 'malformed' }
  /** Another incarnation of the worker answered. */
  | { readonly kind: 'other_life' }
  /** The start was not sent, or not once more: the data centre of the worker is evacuated, or may be. */
  | { readonly kind: 'evacuated' }
  /** The start was not sent: too many orders were under way to the worker for too long. */
  | { readonly kind: 'not_sent' };

export interface WorkerReport {
  readonly incarnation: WorkerIncarnation;
  /** When the report was requested; later changes may be missing. */
  readonly askedAt: Instant;
  readonly running: readonly RunningEntry[];
  readonly ended: readonly EndedEntry[];
  /** Set while the worker's lease is not renewed: it is again once the scheduler says so. */
  readonly suspension: LeaseSuspension | undefined;
  /** How many starts the link to the worker delivers soon enough for the tasks of a gang to meet. */
  readonly startLimit: number;
}

export type JobInput =
  | {
      readonly kind: 'submit';
      readonly plan: JobPlan;
      /** Version of the configuration by which the request was checked. */
      readonly configuration: number;
      readonly token: JobToken;
      /** Whether the store takes nothing at present, so that only some submissions are held. */
      readonly isStoreAway?: boolean;
    }
  /** Refuses these submissions of a job and drops it, unless records of it were sent to the store. */
  | { readonly kind: 'drop_unsent'; readonly job: JobId; readonly tokens: readonly JobToken[] }
  | { readonly kind: 'cancel'; readonly job: JobId; readonly token: JobToken }
  | { readonly kind: 'query'; readonly job: JobId; readonly token: JobToken }
  | { readonly kind: 'count'; readonly queue: QueueId; readonly token: JobToken }
  /** Asks where the job would go now, without submitting it. */
  | { readonly kind: 'preview'; readonly plan: JobPlan; readonly token: JobToken }
  | { readonly kind: 'configuration'; readonly configuration: JobConfiguration }
  | { readonly kind: 'worker'; readonly registration: WorkerRegistration }
  | { readonly kind: 'worker_gone'; readonly worker: WorkerId }
  /** Replaces what is known of evacuated data centres. */
  | ({ readonly kind: 'evacuations' } & KnownEvacuations)
  /** All leases of earlier owners will have ended by then, which is sooner than was known. */
  | { readonly kind: 'earlier_leases_end'; readonly at: Deadline }
  | { readonly kind: 'report'; readonly report: WorkerReport }
  /**
   * The worker does not answer. Unless it does before `lapsesAt`, nothing runs there from then on: its lease
   * is not renewed before the scheduler has taken in a report.
   */
  | {
      readonly kind: 'unreachable';
      readonly incarnation: WorkerIncarnation;
      readonly lapsesAt: Deadline;
    }
  /**
   * Another process answers at the worker's address: one of the same worker, whose incarnation is
   * `successor`, or one with another id.
   */
  | {
      readonly kind: 'other_life';
      readonly incarnation: WorkerIncarnation;
      readonly successor: WorkerIncarnation | undefined;
    }
  | {
      readonly kind: 'order_answered';
      readonly order: 'start' | 'stop';
      readonly incarnation: WorkerIncarnation;
      readonly task: StepTaskId;
      readonly run: RunNumber;
      readonly answer: OrderAnswer;
      /** Whether earlier copies of the order had no answer: the worker may carry them out later. */
      readonly hasUnansweredCopies: boolean;
    }
  | {
      readonly kind: 'advice';
      readonly step: StepId;
      readonly granted: readonly { readonly worker: WorkerId; readonly ticket: Ticket }[];
      readonly until: Deadline;
      readonly tookMillis: number;
    }
  /** The member can make calls for advice; `roundTripMillis` is a first estimate. */
  | { readonly kind: 'adviser'; readonly member: MemberId; readonly roundTripMillis: number }
  | { readonly kind: 'adviser_gone'; readonly member: MemberId }
  | { readonly kind: 'no_advice'; readonly step: StepId }
  | { readonly kind: 'committed'; readonly batch: number }
  /** The store takes the record with this key in no batch, while it takes others. */
  | { readonly kind: 'rejected'; readonly key: string }
  /**
   * Runs a placement pass. Without `mayStart` it only does what is due, and asks for no advice: starts
   * can't be stored at present, and would be sent after their tickets have expired.
   */
  | { readonly kind: 'place'; readonly mayStart: boolean }
  /** How late the owner's own timer was, observed several times a second. */
  | { readonly kind: 'lag'; readonly millis: number };

export type JobAnswer =
  | { readonly kind: 'accepted'; readonly repeated: boolean }
  | {
      readonly kind: 'refused';
      /**
       * `configuration_outdated`: the scheduler has no such queue, but the request was checked by a newer
       * configuration than the scheduler's. `store_unavailable`: no record of the job was sent to the store.
       */
      readonly reason:
        'unknown_queue' | 'configuration_outdated' | 'overloaded' | 'store_unavailable';
      /** When the caller should try again, if the scheduler can tell. */
      readonly retryAfterSeconds?: number;
    }
  | { readonly kind: 'state'; readonly state: JobState }
  | { readonly kind: 'unknown_job' }
  | { readonly kind: 'cancelled' }
  | { readonly kind: 'count'; readonly waiting: number }
  | { readonly kind: 'preview'; readonly preview: PlacementPreview };

export interface StartOrder {
  readonly kind: 'start';
  readonly task: StepTaskId;
  readonly run: RunNumber;
  readonly payload: string;
  readonly saved: SavedProgress;
  readonly ticket: Ticket | undefined;
}

export interface StopOrder {
  readonly kind: 'stop';
  readonly task: StepTaskId;
  readonly run: RunNumber;
}

export type JobOutput =
  | { readonly kind: 'answer'; readonly token: JobToken; readonly answer: JobAnswer }
  | {
      readonly kind: 'order';
      readonly incarnation: WorkerIncarnation;
      readonly order: StartOrder | StopOrder;
    }
  /** The order no longer needs an answer. */
  | {
      readonly kind: 'withdraw';
      readonly incarnation: WorkerIncarnation;
      readonly task: StepTaskId;
      readonly run: RunNumber;
    }
  | {
      readonly kind: 'acknowledge';
      readonly incarnation: WorkerIncarnation;
      readonly upTo: EndNumber;
    }
  | {
      readonly kind: 'ask_advice';
      readonly member: MemberId;
      readonly step: StepId;
      readonly workers: readonly WorkerId[];
      readonly timing: AdviceTiming;
    }
  /** Renew the lease of this worker again, unless it has been suspended anew. */
  | {
      readonly kind: 'renew';
      readonly incarnation: WorkerIncarnation;
      readonly suspension: LeaseSuspension;
    }
  /** Request a report of this worker now. */
  | { readonly kind: 'probe'; readonly incarnation: WorkerIncarnation }
  /** Connect to this worker and request its reports. */
  | {
      readonly kind: 'meet';
      readonly registration: WorkerRegistration;
      readonly lapsesAt: Deadline;
    }
  /** Disconnect from this worker. */
  | { readonly kind: 'part'; readonly incarnation: WorkerIncarnation }
  | {
      readonly kind: 'event';
      readonly name: string;
      readonly fields: Readonly<Record<string, string | number | boolean>>;
    };

/** One write to the store; a write without a value deletes the key. */
export interface JobWrite {
  readonly key: string;
  readonly value: unknown;
}

/** Writes that are stored together; batches are numbered in order. */
export interface JobBatch {
  readonly number: number;
  readonly writes: readonly JobWrite[];
}
