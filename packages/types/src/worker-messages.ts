/** Messages between an owner and a worker. */

import type { AttemptId, Epoch, Incarnation, MemberId, ShardId, WorkerId } from './ids.js';
import type { Resources } from './resources.js';
import type { WorkerInstant } from './time.js';
import type { Outcome, WorkerProfile } from './work.js';

/** To a worker. All times are readings of the worker's own clock. */
export type WorkerCommand =
  /** Fences lower epochs and asks for what runs. */
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
      /** Refused after this. */
      readonly startBy: WorkerInstant;
      /** The attempt is stopped then unless the lease was renewed. */
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
  /** The outcomes of these attempts are safe; the worker may forget them. */
  | { readonly kind: 'forget'; readonly epoch: Epoch; readonly attempts: readonly AttemptId[] };

/** What one attempt used, measured some time ago. */
export interface AttemptUsage {
  readonly attempt: AttemptId;
  readonly millicores: number;
  readonly memoryMib: number;
}

export interface AttemptReport {
  readonly attempt: AttemptId;
  /** What the worker holds for the attempt. */
  readonly demand: Resources;
  readonly state:
    { readonly kind: 'running' } | { readonly kind: 'ended'; readonly outcome: Outcome };
}

/** From a worker, or from the link to it. */
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
  /** The worker has seen a higher epoch and refuses ours. */
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
  /** Heartbeat; usage lags behind. */
  | {
      readonly kind: 'usage';
      readonly worker: WorkerId;
      readonly workerNow: WorkerInstant;
      readonly attempts: readonly AttemptUsage[];
      readonly leaving: boolean;
    }
  /** The connection ended. What runs on the worker is unknown until it is attached again. */
  | { readonly kind: 'detached'; readonly worker: WorkerId; readonly incarnation?: Incarnation };
