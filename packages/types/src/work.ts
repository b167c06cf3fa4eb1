/** Work as callers submit it and as owners store it. */

import type {
  AttemptId,
  DataCentreId,
  Incarnation,
  QueueId,
  RackId,
  RequestId,
  TaskId,
  TeamId,
  WorkerId,
  WorkId,
} from './ids.js';
import type { Resources } from './resources.js';

/** The kind of a work item, with the fields that only this kind has. */
export type Shape =
  | { readonly kind: 'service'; readonly replicas: number }
  | { readonly kind: 'batch'; readonly tasks: number }
  | { readonly kind: 'gang'; readonly tasks: number }
  | { readonly kind: 'quick_call' };

/** `urgent` work is placed before other work and may preempt it; `patient` work waits longest. */
export type Urgency = 'urgent' | 'ordinary' | 'patient';

/** One work item. Immutable once accepted. */
export interface Work {
  readonly id: WorkId;
  readonly team: TeamId;
  readonly queue: QueueId;
  readonly requestId: RequestId;
  readonly shape: Shape;
  readonly urgency: Urgency;
  /** Declared size of each task. */
  readonly demand: Resources;
  /** Declared run time of each task, milliseconds; an estimate, often far off. */
  readonly expectedMillis: number;
  /** Whether it is safe to run a task more than once. */
  readonly idempotent: boolean;
  /** Whether a task can be checkpointed and resumed elsewhere. */
  readonly checkpointable: boolean;
  /** Passed to the worker unchanged. */
  readonly payload: string;
}

/** Number of tasks that the work consists of. */
export function taskCountOf(shape: Shape): number {
  switch (shape.kind) {
    case 'service':
      return shape.replicas;
    case 'batch':
    case 'gang':
      return shape.tasks;
    case 'quick_call':
      return 1;
  }
}

/** One attempt to run a task on one worker. */
export interface Attempt {
  readonly id: AttemptId;
  readonly task: TaskId;
  readonly worker: WorkerId;
  /** The worker's incarnation when the attempt was placed. */
  readonly incarnation: Incarnation;
}

/** How an attempt ended. */
export type Outcome =
  | { readonly kind: 'succeeded'; readonly answer: string }
  | { readonly kind: 'failed'; readonly detail: string }
  /** Stopped at the owner's request; `checkpoint` names the saved state, if there is one. */
  | { readonly kind: 'stopped'; readonly checkpoint?: string }
  /** The worker reports that the attempt never started. */
  | { readonly kind: 'never_started' }
  /** The worker is gone, and it is unknown whether the task ran to its end. */
  | { readonly kind: 'lost' };

/** Where a worker is, and how much it can run. */
export interface WorkerProfile {
  readonly id: WorkerId;
  readonly dataCentre: DataCentreId;
  readonly rack: RackId;
  readonly capacity: Resources;
}
