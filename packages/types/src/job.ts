/** Jobs: work that consists of steps, as callers submit it and as its owner stores it. */

import {
  brandAs,
  type Branded,
  type QueueId,
  type RackId,
  type TeamId,
  type WorkerId,
} from './ids.js';
import type { Resources } from './resources.js';

/** Id of a job, chosen by its caller. Submitting the same id again refers to the same job. */
export type JobId = Branded<string, 'JobId'>;
/** One step of one occurrence of a job: `JOB.OCCURRENCE.STEP`. */
export type StepId = Branded<string, 'StepId'>;
/** One task of a step: `JOB.OCCURRENCE.STEP.INDEX`. */
export type StepTaskId = Branded<string, 'StepTaskId'>;
/** Number of a run of a task, from 1. The tasks of a gang share it. */
export type RunNumber = Branded<number, 'RunNumber'>;
/** Number of owners that the cluster's work has had. */
export type Term = Branded<number, 'Term'>;
/** Fencing token: a worker refuses all calls that carry a lower one than it has seen. */
export type Fence = Branded<number, 'Fence'>;
/** One start of a worker: a restart under the same worker id is a new incarnation. */
export type WorkerIncarnation = Branded<string, 'WorkerIncarnation'>;
/** Permission from the adviser to start tasks of a step on one worker, valid for a limited time. */
export type Ticket = Branded<string, 'Ticket'>;
/** Progress that a task saved and can resume from; the empty string means none. */
export type SavedProgress = Branded<string, 'SavedProgress'>;
/** A reading of the wall clock, milliseconds since the Unix epoch. */
export type WallInstant = Branded<number, 'WallInstant'>;
/** Sequence number of an entry in a worker's list of ended runs, from 1 in each incarnation. */
export type EndNumber = Branded<number, 'EndNumber'>;

export const NO_PROGRESS: SavedProgress = brandAs<SavedProgress>('');

/** One step of a job. All tasks of a step are alike. */
export interface StepPlan {
  readonly count: number;
  /** What each task needs. */
  readonly demand: Resources;
  /** The caller's estimate of a task's run time, milliseconds; often far off. */
  readonly estimateMillis: number;
  /** Indices of the earlier steps whose tasks must all be done first. */
  readonly after: readonly number[];
  /** Whether tasks save their progress and can resume from it. */
  readonly savesProgress: boolean;
  /** Whether all tasks must run at the same time (gang scheduling). */
  readonly isGang: boolean;
  /** Whether the tasks take longer when they are on more than one rack. */
  readonly prefersOneRack: boolean;
  /** Label that a worker must have. */
  readonly neededLabel: string | undefined;
  /** Rack that is near the step's data. */
  readonly rackOfData: RackId | undefined;
  /** Maximum number of the step's tasks on one worker; zero means no limit. */
  readonly maxPerWorker: number;
  /** Whether copies of a task may run at the same time (speculative execution). */
  readonly allowsCopies: boolean;
  /** Whether the tasks are long-running: they run until the job is cancelled. */
  readonly isLasting: boolean;
  /** Whether the tasks use only idle processor time, for which none is reserved. */
  readonly usesLeftovers: boolean;
  /**
   * Maximum number of long-running tasks that the scheduler itself may have stopped at a time; zero
   * means no limit.
   */
  readonly mayBeAway: number;
}

/** How often and when the steps of a job are repeated. */
export interface Repetition {
  readonly count: number;
  readonly firstAt: WallInstant;
  readonly intervalMillis: number;
}

/** One job as it was submitted. Immutable once accepted. */
export interface JobPlan {
  readonly id: JobId;
  readonly queue: QueueId;
  readonly team: TeamId | undefined;
  /** Passed to workers unchanged. */
  readonly payload: string;
  readonly steps: readonly StepPlan[];
  readonly repetition: Repetition | undefined;
}

export type JobState = 'pending' | 'running' | 'completed' | 'failed' | 'cancelled';

/**
 * How a run ended, as its worker reports it.
 * - `lapsed`: its lease expired.
 * - `broken`: another member of its gang ended early.
 * - `alone`: the other members of its gang did not start in time.
 */
export type RunOutcome = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

/** A worker's entry in the store, as the worker registers itself. */
export interface WorkerRegistration {
  readonly id: WorkerId;
  readonly incarnation: WorkerIncarnation;
  readonly address: string;
  readonly service: string;
  readonly zone: string;
  readonly isDraining: boolean;
  readonly capacity: Resources;
  /** Contains the machine type and the rack. */
  readonly labels: readonly string[];
  readonly rack: RackId | undefined;
}

/** A run that a worker lists as running. */
export interface RunningEntry {
  readonly task: StepTaskId;
  readonly run: RunNumber;
  readonly saved: SavedProgress;
  /** Share of the run's work that is done, 0 to 100. */
  readonly percent: number;
}

/** A run that a worker lists as ended. */
export interface EndedEntry {
  readonly number: EndNumber;
  readonly task: StepTaskId;
  readonly run: RunNumber;
  readonly end: RunOutcome;
  readonly saved: SavedProgress;
}

/** A queue: the host and path at which jobs are submitted, and how they are scheduled. */
export interface JobQueue {
  readonly id: QueueId;
  readonly host: string;
  readonly pathPrefix: string;
  /** Only workers of this service run the queue's jobs. */
  readonly service: string;
  /** Zero is the highest priority; higher values are placed later. */
  readonly priority: number;
  /** Number of failed runs of one task at which its job fails. */
  readonly attempts: number;
  /**
   * A job is on time if it takes at most this factor times its critical path, by estimate, plus
   * `targetLatencyMillis`.
   */
  readonly objectiveFactor: number;
  readonly targetLatencyMillis: number;
  /** Longest time that a caller's request waits for its answer. */
  readonly timeoutMillis: number;
  readonly advice: AdviceTiming | undefined;
  /** Whether requests are accepted also without a known API key. */
  readonly isPublic: boolean;
}

/** How long a call to the adviser takes, and how long the tickets that it grants are valid. */
export interface AdviceTiming {
  readonly baseMillis: number;
  readonly perWorkerMillis: number;
  readonly validMillis: number;
}

/** A team: its API keys, its share and its resource limit. */
export interface JobTeam {
  readonly id: TeamId;
  readonly keys: readonly string[];
  /**
   * Jobs per second that the team is promised; also its weight in the fair share of a full cluster.
   */
  readonly weight: number;
  /** Zero in a dimension means no limit there. */
  readonly limit: Resources;
}

/** The operator's configuration at one version. */
export interface JobConfiguration {
  readonly version: number;
  readonly queues: readonly JobQueue[];
  readonly teams: readonly JobTeam[];
  readonly maxBodyBytes: number;
}

export function stepIdOf(job: JobId, occurrence: number, step: number): StepId {
  return brandAs<StepId>(`${job}.${occurrence}.${step}`);
}

export function stepTaskIdOf(step: StepId, index: number): StepTaskId {
  return brandAs<StepTaskId>(`${step}.${index}`);
}

/** The incarnation of the worker `id` that started at `bornMillis`. */
export function workerIncarnationOf(id: WorkerId, bornMillis: number): WorkerIncarnation {
  return brandAs<WorkerIncarnation>(`${id}@${bornMillis}`);
}
