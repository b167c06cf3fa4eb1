/** Messages between an owner and a worker. */

import type { AttemptId, Epoch, Incarnation, MemberId, ShardId, WorkerId } from './ids.js';
import type { Resources } from './resources.js';
import type { WorkerInstant } from './time.js';
import type { Outcome, WorkerProfile } from './work.js';

/** A command to a worker. All times are readings of the worker's own clock. */
export type WorkerCommand =
  /** Fences owners of lower epochs, and asks which attempts the worker has. */
  | {
      readonly kind: 'attach';
      readonly epoch: Epoch;
      readonly shard: ShardId;
      readonly member: MemberId;
    }
  | {
      readonly kind: 'start';
      readonly epoch: Epoch;
      readonly attempt: AttemptId;
      readonly demand: Resources;
      readonly payload: string;
      /** The worker refuses the start after this time. */
      readonly startBy: WorkerInstant;
      /** The worker stops the attempt at this time unless the lease has been renewed. */
      readonly leaseUntil: WorkerInstant;
      /** Saved state to resume from. */
      readonly checkpoint?: string;
    }
  /** Renews the leases of all attempts on the worker. */
  | { readonly kind: 'renew'; readonly epoch: Epoch; readonly leaseUntil: WorkerInstant }
  | {
      readonly kind: 'stop';
      readonly epoch: Epoch;
      readonly attempt: AttemptId;
      /** Whether to save the state first. */
      readonly checkpoint: boolean;
    }
  /** Slows an attempt down to its declared size. */
  | { readonly kind: 'throttle'; readonly epoch: Epoch; readonly attempt: AttemptId }
  /** The outcomes of these attempts are stored; the worker may forget them. */
  | { readonly kind: 'forget'; readonly epoch: Epoch; readonly attempts: readonly AttemptId[] };

/** Resources that one attempt used, measured some time ago. */
export interface AttemptUsage {
  readonly attempt: AttemptId;
  readonly millicores: number;
  readonly memoryMib: number;
}

export interface AttemptReport {
  readonly attempt: AttemptId;
  /** Resources that the worker reserves for the attempt. */
  readonly demand: Resources;
  readonly state:
    { readonly kind: 'running' } | { readonly kind: 'ended'; readonly outcome: Outcome };
}

/** A report from a worker, or from the connection to it. */
export type WorkerReport =
  | {
      readonly kind: 'attached';
      readonly worker: WorkerId;
      readonly incarnation: Incarnation;
      readonly epoch: Epoch;
      readonly profile: WorkerProfile;
      /** Reading of the worker's clock when it answered. */
      readonly workerNow: WorkerInstant;
      readonly attempts: readonly AttemptReport[];
      readonly leaving: boolean;
    }
  /** The worker has seen a higher epoch and refuses this owner's. */
  | { readonly kind: 'fenced'; readonly worker: WorkerId; readonly epoch: Epoch }
  | { readonly kind: 'started'; readonly worker: WorkerId; readonly attempt: AttemptId }
  /** The attempt did not start and will not. */
  | {
      readonly kind: 'start_refused';
      readonly worker: WorkerId;
      readonly attempt: AttemptId;
      readonly why: 'late' | 'no_room' | 'leaving' | 'fenced' | 'not_sent';
    }
  | {
      readonly kind: 'ended';
      readonly worker: WorkerId;
      readonly attempt: AttemptId;
      readonly outcome: Outcome;
    }
  /** Heartbeat. The usage in it is some time old. */
  | {
      readonly kind: 'usage';
      readonly worker: WorkerId;
      readonly workerNow: WorkerInstant;
      readonly attempts: readonly AttemptUsage[];
      readonly leaving: boolean;
    }
  /** The connection ended. What runs on the worker is unknown until it is attached again. */
  | { readonly kind: 'detached'; readonly worker: WorkerId; readonly incarnation?: Incarnation };
