/** Work as callers submit it and as owners keep it. */

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

/** The kind of a piece of work and what only that kind has. */
export type Shape =
  | { readonly kind: 'service'; readonly replicas: number }
  | { readonly kind: 'batch'; readonly tasks: number }
  | { readonly kind: 'gang'; readonly tasks: number }
  | { readonly kind: 'quick_call' };

/** `urgent` goes before all else and may preempt; `patient` waits longest. */
export type Urgency = 'urgent' | 'ordinary' | 'patient';

/** One piece of work. Immutable once accepted. */
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
  /** Whether running it again does no harm. */
  readonly idempotent: boolean;
  /** Whether a task can be checkpointed and resumed elsewhere. */
  readonly checkpointable: boolean;
  /** Handed to the worker as it is. */
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
  /** Stopped on our request; `checkpoint` names the saved state where there is one. */
  | { readonly kind: 'stopped'; readonly checkpoint?: string }
  /** The worker says that it never started. */
  | { readonly kind: 'never_started' }
  /** The worker is gone, and whether the task ran to its end is not known. */
  | { readonly kind: 'lost' };

/** What a worker is. */
export interface WorkerProfile {
  readonly id: WorkerId;
  readonly dataCentre: DataCentreId;
  readonly rack: RackId;
  readonly capacity: Resources;
}
