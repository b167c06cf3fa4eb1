/** What the owner keeps of jobs, their tasks and the workers that run them. */

import { brandAs, type QueueId, type WorkerId } from '@bamboowell/types/ids';
import {
  NO_PROGRESS,
  stepIdOf,
  stepTaskIdOf,
  type EndNumber,
  type JobId,
  type JobPlan,
  type JobQueue,
  type JobState,
  type WorkerIncarnation,
  type RunNumber,
  type SavedProgress,
  type StepId,
  type StepPlan,
  type StepTaskId,
  type Ticket,
  type WallInstant,
  type WorkerRegistration,
} from '@bamboowell/types/job';
import { NO_RESOURCES, add, subtract, type Resources } from '@bamboowell/types/resources';
import type { Deadline, Instant } from '@bamboowell/types/time';

/**
 * `recorded`: on its way into the store. `ordered`: the start was sent. `running`: the worker said
 * so. `stopping`: a stop was sent, or its task no longer needs it; it holds room until it ended.
 */
export type RunPhase = 'recorded' | 'ordered' | 'running' | 'stopping';

/** One start of a task on one worker. */
export interface Run {
  readonly task: Task;
  readonly number: RunNumber;
  readonly worker: Worker;
  /** What allows its start, if its queue asks for advice. */
  readonly grant: Grant | undefined;
  phase: RunPhase;
  /** When the worker first confirmed it. */
  confirmedAt: Instant | undefined;
  /** Progress by the worker's lists; absent before the first one that has it. */
  progress: Progress | undefined;
}

/** Progress as lists showed it: only these tell how long it stood still. */
export interface Progress {
  readonly percent: number;
  readonly firstSeenAt: Instant;
  readonly lastSeenAt: Instant;
}

export interface Task {
  readonly id: StepTaskId;
  readonly step: Step;
  readonly index: number;
  isDone: boolean;
  lastRun: RunNumber;
  failures: number;
  saved: SavedProgress;
  readonly runs: Run[];
  /** Workers on which it failed. */
  readonly failedOn: Set<WorkerId>;
}

/** Allows starts of a step on one worker. */
export interface Grant {
  readonly ticket: Ticket;
  readonly until: Deadline;
}

export interface Step {
  readonly id: StepId;
  readonly job: Job;
  readonly occurrence: Occurrence;
  readonly plan: StepPlan;
  readonly index: number;
  readonly tasks: Task[];
  doneCount: number;
  /** By worker; an expired one still tells that the worker is allowed. */
  readonly grants: Map<WorkerId, Grant>;
  /** The newest tickets hold until then. */
  ticketsUntil: Deadline;
  /** Workers on which there was advice. */
  readonly workersWithAdvice: Set<WorkerId>;
  /** Workers named in the call for advice that is open, if one is. */
  workersInOpenCall: readonly WorkerId[] | undefined;
  readySince: Instant | undefined;
  /** The last run of a gang that was counted as failed. */
  lastFailedRun: RunNumber;
}

export interface Occurrence {
  readonly index: number;
  readonly steps: Step[];
}

export interface Job {
  readonly id: JobId;
  /** Absent for a job that ended before this owner came. */
  readonly plan: JobPlan | undefined;
  /** Its queue, by the newest configuration that has it. */
  queue: JobQueue;
  state: JobState;
  /** The state as the store has it; what callers are told. */
  visibleState: JobState;
  readonly acceptedAt: WallInstant;
  endedAt: WallInstant | undefined;
  occurrences: Occurrence[];
  hasStarted: boolean;
  /** Whether its team sent it beyond the rate that it was promised. */
  isExcess: boolean;
}

/** One life of a worker. */
export interface Worker {
  readonly incarnation: WorkerIncarnation;
  readonly id: WorkerId;
  registration: WorkerRegistration;
  /** Whether it answered this owner, so that no order of an earlier one can take effect. */
  hasReported: boolean;
  /** Whether its entry in the store is there. */
  isRegistered: boolean;
  /** When its entry went; the store may drop entries of living workers and get them back. */
  unregisteredAt: Instant;
  isReachable: boolean;
  /** While unreachable: from then on nothing runs there. */
  lapsesAt: Deadline;
  used: Resources;
  readonly runs: Map<string, Run>;
  /** Runs that it lists and that no task knows; they take room that isn't known. */
  unknownRuns: number;
  /** Ends up to this one were taken in. */
  lastProcessedEnd: EndNumber;
  /** Gets no new work before then. */
  cooldownUntil: Deadline;
}

export function newWorker(registration: WorkerRegistration, lapsesAt: Deadline): Worker {
  return {
    incarnation: registration.incarnation,
    id: registration.id,
    registration,
    hasReported: false,
    isRegistered: true,
    unregisteredAt: brandAs<Instant>(0),
    isReachable: true,
    lapsesAt,
    used: NO_RESOURCES,
    runs: new Map(),
    unknownRuns: 0,
    lastProcessedEnd: brandAs<EndNumber>(0),
    cooldownUntil: brandAs<Deadline>(0),
  };
}

/** Stands for the queue of a job that ended before this owner came. */
export const PLACEHOLDER_QUEUE: JobQueue = {
  id: brandAs<QueueId>(''),
  host: '',
  pathPrefix: '',
  service: '',
  priority: 0,
  attempts: 0,
  objectiveFactor: 0,
  targetLatencyMillis: 0,
  timeoutMillis: 0,
  advice: undefined,
  isPublic: false,
};

/** Names a run among those of a worker. */
export function runKey(task: StepTaskId, run: RunNumber): string {
  return `${task}#${run}`;
}

/** What a run takes of its worker's room. */
export function allocationOf({ demand, usesLeftovers }: StepPlan): Resources {
  return usesLeftovers ? { ...demand, millicores: 0 } : demand;
}

/** Notes a run at its task and its worker. */
export function attachRun(run: Run): void {
  run.task.runs.push(run);
  run.worker.runs.set(runKey(run.task.id, run.number), run);
  run.worker.used = add(run.worker.used, allocationOf(run.task.step.plan));
}

/** Frees what a run held; does nothing if it is gone already. */
export function detachRun(run: Run): void {
  const at = run.task.runs.indexOf(run);
  if (at < 0) {
    return;
  }
  run.task.runs.splice(at, 1);
  run.worker.runs.delete(runKey(run.task.id, run.number));
  run.worker.used = subtract(run.worker.used, allocationOf(run.task.step.plan));
}

export function newJob(plan: JobPlan, queue: JobQueue, acceptedAt: WallInstant): Job {
  return {
    id: plan.id,
    plan,
    queue,
    state: 'pending',
    visibleState: 'pending',
    acceptedAt,
    endedAt: undefined,
    occurrences: [],
    hasStarted: false,
    isExcess: false,
  };
}

export function newOccurrence(job: Job, plan: JobPlan, index: number): Occurrence {
  const occurrence: Occurrence = { index, steps: [] };
  plan.steps.forEach((stepPlan, stepIndex) => {
    occurrence.steps.push(newStep(job, occurrence, stepPlan, stepIndex));
  });
  return occurrence;
}

function newStep(job: Job, occurrence: Occurrence, plan: StepPlan, index: number): Step {
  const id = stepIdOf(job.id, occurrence.index, index);
  const step: Step = {
    id,
    job,
    occurrence,
    plan,
    index,
    tasks: [],
    doneCount: 0,
    grants: new Map(),
    ticketsUntil: brandAs<Deadline>(0),
    workersWithAdvice: new Set(),
    workersInOpenCall: undefined,
    readySince: undefined,
    lastFailedRun: brandAs<RunNumber>(0),
  };
  for (let taskIndex = 0; taskIndex < plan.count; taskIndex += 1) {
    step.tasks.push({
      id: stepTaskIdOf(id, taskIndex),
      step,
      index: taskIndex,
      isDone: false,
      lastRun: brandAs<RunNumber>(0),
      failures: 0,
      saved: NO_PROGRESS,
      runs: [],
      failedOn: new Set(),
    });
  }
  return step;
}

export function isEnded(state: JobState): boolean {
  return state === 'completed' || state === 'failed' || state === 'cancelled';
}

export function isStepDone(step: Step): boolean {
  return step.doneCount === step.tasks.length;
}

/** Whether all earlier steps that the step waits for are done. */
export function isStepReady(step: Step): boolean {
  return step.plan.after.every((index) => {
    const earlier = step.occurrence.steps[index];
    return earlier !== undefined && isStepDone(earlier);
  });
}

/** Whether the task needs a start: it isn't done, and nothing of it runs or may run. */
export function isWaiting({ isDone, runs }: Task): boolean {
  return !isDone && runs.length === 0;
}

export function waitingTasks(step: Step): Task[] {
  return step.tasks.filter(isWaiting);
}
