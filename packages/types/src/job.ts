/** Jobs: work in steps, as callers hand it in and as its owner keeps it. */

import {
  brandAs,
  type Branded,
  type QueueId,
  type RackId,
  type TeamId,
  type WorkerId,
} from './ids.js';
import type { Resources } from './resources.js';

/** A caller's own name for a job; the same id again is the same job. */
export type JobId = Branded<string, 'JobId'>;
/** One step of one occurrence of a job: `JOB.OCCURRENCE.STEP`. */
export type StepId = Branded<string, 'StepId'>;
/** One task of a step: `JOB.OCCURRENCE.STEP.INDEX`. */
export type StepTaskId = Branded<string, 'StepTaskId'>;
/** Number of a task's start, from 1. Members of a gang share it. */
export type RunNumber = Branded<number, 'RunNumber'>;
/** Count of the owners that the cluster's work has had. Workers refuse orders of lower terms. */
export type Term = Branded<number, 'Term'>;
/** One life of a worker: a restart under the same id is another life. */
export type WorkerIncarnation = Branded<string, 'LifeId'>;
/** Lets the tasks of a step start on one worker for a while. */
export type Ticket = Branded<string, 'Ticket'>;
/** Progress that a task saved; the empty text means none. */
export type SavedProgress = Branded<string, 'SavedProgress'>;
/** Milliseconds since 1970 by the time of day. */
export type WallInstant = Branded<number, 'WallInstant'>;
/** Names the entry of an end in a worker's list, from 1 in each life. */
export type EndNumber = Branded<number, 'EndNumber'>;

export const NO_PROGRESS: SavedProgress = brandAs<SavedProgress>('');

/** One step of a job. All tasks of a step are alike. */
export interface StepPlan {
  readonly count: number;
  /** What each task needs. */
  readonly demand: Resources;
  /** The caller's estimate of a task's run time, milliseconds; often far off. */
  readonly estimateMillis: number;
  /** Earlier steps, by index, all of whose tasks must be done first. */
  readonly after: readonly number[];
  /** Whether tasks save progress and can resume. */
  readonly savesProgress: boolean;
  /** Whether the tasks run only together. */
  readonly isGang: boolean;
  /** Whether tasks on more than one rack take longer. */
  readonly prefersOneRack: boolean;
  /** Label that a worker must have. */
  readonly neededLabel: string | undefined;
  /** Rack near the step's data. */
  readonly rackOfData: RackId | undefined;
  /** Most tasks of the step on one worker; zero for no bound. */
  readonly maxPerWorker: number;
  /** Whether copies of a task may run side by side. */
  readonly allowsCopies: boolean;
  /** Whether tasks run until the job is cancelled. */
  readonly isLasting: boolean;
  /** Whether the tasks use only processor time that others leave, and take no room for it. */
  readonly usesLeftovers: boolean;
  /** Most lasting tasks that may be away through our own doing; zero for no bound. */
  readonly mayBeAway: number;
}

/** When a job's steps run again. */
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
  /** Handed to workers as it is. */
  readonly payload: string;
  readonly steps: readonly StepPlan[];
  readonly repetition: Repetition | undefined;
}

export type JobState = 'pending' | 'running' | 'completed' | 'failed' | 'cancelled';

/** How a run ended, by its worker. */
export type RunOutcome = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

/** A worker as it announces itself. */
export interface WorkerRegistration {
  readonly id: WorkerId;
  readonly incarnation: WorkerIncarnation;
  readonly address: string;
  readonly service: string;
  readonly zone: string;
  readonly isDraining: boolean;
  readonly capacity: Resources;
  /** Its kind and its rack among them. */
  readonly labels: readonly string[];
  readonly rack: RackId | undefined;
}

/** What a worker lists as running. */
export interface RunningEntry {
  readonly task: StepTaskId;
  readonly run: RunNumber;
  readonly saved: SavedProgress;
  /** Share of the work done, 0 to 100. */
  readonly percent: number;
}

/** What a worker lists as ended. */
export interface EndedEntry {
  readonly number: EndNumber;
  readonly task: StepTaskId;
  readonly run: RunNumber;
  readonly end: RunOutcome;
  readonly saved: SavedProgress;
}

/** A queue: where jobs come in and how they are treated. */
export interface JobQueue {
  readonly id: QueueId;
  readonly host: string;
  readonly pathPrefix: string;
  readonly service: string;
  /** Zero goes first. */
  readonly priority: number;
  /** Failed runs of a task after which its job has failed. */
  readonly attempts: number;
  /** A job is on time within this many times its longest chain of work, and the latency target more. */
  readonly objectiveFactor: number;
  readonly targetLatencyMillis: number;
  readonly timeoutMillis: number;
  readonly advice: AdviceTiming | undefined;
  readonly isPublic: boolean;
}

/** What a call for advice takes, and how long its tickets are good. */
export interface AdviceTiming {
  readonly baseMillis: number;
  readonly perWorkerMillis: number;
  readonly validMillis: number;
}

/** A team: its keys, its share, and what it may have running. */
export interface JobTeam {
  readonly id: TeamId;
  readonly keys: readonly string[];
  /** Jobs a second that it is promised; its share when all is full. */
  readonly weight: number;
  /** Zero in a dimension means no limit there. */
  readonly limit: Resources;
}

/** What the operator declared, as of one version. */
export interface JobConfiguration {
  readonly version: number;
  readonly queues: readonly JobQueue[];
  readonly teams: readonly JobTeam[];
  readonly maxBodyBytes: number;
}

/** The id of a step. */
export function stepIdOf(job: JobId, occurrence: number, step: number): StepId {
  return brandAs<StepId>(`${job}.${occurrence}.${step}`);
}

/** The id of a step's task. */
export function stepTaskIdOf(step: StepId, index: number): StepTaskId {
  return brandAs<StepTaskId>(`${step}.${index}`);
}

/** The life of a worker that started at `bornMillis` under `id`. */
export function workerIncarnationOf(id: WorkerId, bornMillis: number): WorkerIncarnation {
  return brandAs<WorkerIncarnation>(`${id}@${bornMillis}`);
}
