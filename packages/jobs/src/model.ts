/** State that the owner keeps of jobs, their tasks and the workers that run them. */

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
 * `recorded`: the start is being stored. `ordered`: the start was sent. `running`: the worker
 * confirmed it. `stopping`: a stop was sent, or the task no longer needs the run; it keeps its
 * resources until it has ended.
 */
export type RunPhase = 'recorded' | 'ordered' | 'running' | 'stopping';

/** One start of a task on one worker. */
export interface Run {
  readonly task: Task;
  readonly number: RunNumber;
  readonly worker: Worker;
  /** The grant that allows its start, if its queue requires advice. */
  readonly grant: Grant | undefined;
  phase: RunPhase;
  /** Whether a copy of its start was sent and not answered, so that it may begin later. */
  hasUnansweredStart: boolean;
  /** When the worker first confirmed it. */
  confirmedAt: Instant | undefined;
  /** Progress by the worker's reports; undefined until one lists the run. */
  progress: Progress | undefined;
  /** Whether nothing may be started beside it for a while, because its task may crash workers. */
  readonly isIsolated: boolean;
  /** Whether all of it was seen, so that its time tells how long such a task takes. */
  isTimed?: boolean;
}

/** Progress as seen in reports: only these tell how long it has not changed. */
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
  /** Number of workers that crashed while they ran it. */
  crashes: number;
  /** Number of workers that were silent until their lease ended while they ran it, and came back as new processes. */
  unprovenCrashes: number;
  /** Whether it may be the cause of a crash. */
  isSuspected: boolean;
  saved: SavedProgress;
  readonly runs: Run[];
  /** Workers on which it failed or stalled. */
  failedOn: ReadonlySet<WorkerId>;
}

/** Allows starts of a step on one worker for a while. */
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
  /** Number of tasks of the earlier steps of the occurrence. */
  readonly tasksBefore: number;
  readonly tasks: Task[];
  doneCount: number;
  /** By worker; an expired grant still tells that advice allows the worker. */
  readonly grants: Map<WorkerId, Grant>;
  /** When the newest tickets expire. */
  ticketsUntil: Deadline;
  /** Workers about which advice came, whether granted or not. */
  readonly workersWithAdvice: Set<WorkerId>;
  /** Workers named in the open call for advice; undefined if none is open. */
  workersInOpenCall: readonly WorkerId[] | undefined;
  readySince: Instant | undefined;
  /** The last run that was counted as failed; members of a gang share its number and count once. */
  lastFailedRun: RunNumber;
}

export interface Occurrence {
  readonly index: number;
  readonly steps: Step[];
}

export interface Job {
  readonly id: JobId;
  /** Undefined for a job that ended under an earlier owner, or that has ended and has no run left. */
  plan: JobPlan | undefined;
  /** Its queue, from the newest configuration that has it. */
  queue: JobQueue;
  state: JobState;
  /** The state that callers are told: a change shows once the store has it. */
  visibleState: JobState;
  readonly acceptedAt: WallInstant;
  endedAt: WallInstant | undefined;
  /** The occurrences that were opened and are not over, by index, in ascending order. */
  readonly occurrences: Map<number, Occurrence>;
  /** Number of occurrences that were opened; the later ones have no state. */
  openedCount: number;
  /** Keys of its stored records with rows of tasks, but for that of its state. */
  readonly taskRecords: Set<string>;
  /** Whether a worker has confirmed a start of one of its tasks, or the end of its run. */
  hasStarted: boolean;
  /** Whether it exceeds the rate that its team was promised. */
  isExcess: boolean;
}

/** One incarnation of a worker: a restart under the same id is another one. */
export interface Worker {
  readonly incarnation: WorkerIncarnation;
  readonly id: WorkerId;
  registration: WorkerRegistration;
  /** Whether this owner has a link to it; there is none before its registration has been read. */
  isMet: boolean;
  /** When its present link was opened, if there was an earlier one, whose reports no longer count. */
  linkedAt: Instant;
  /** Whether it has reported all to this owner, so that no order of an earlier one can take effect. */
  hasReported: boolean;
  /** Whether its registration is in the store. */
  isRegistered: boolean;
  /** When its registration was last read. */
  registeredAt: Instant;
  /** When its registration disappeared; those of live workers may disappear and come back. */
  unregisteredAt: Instant;
  isReachable: boolean;
  /** When it last answered. */
  lastHeardAt: Instant;
  /** When its lease lapses while it is unreachable; nothing runs there from then on. */
  lapsesAt: Deadline;
  used: Resources;
  readonly runs: Map<string, Run>;
  /** Confirmed runs that were lost when its lease lapsed, until it answers again. */
  lapsedRuns: readonly Run[];
  /** Number of runs in its last report that belong to no known task; what they use is not known. */
  unknownRuns: number;
  /** Number of the last end that was processed. */
  lastProcessedEnd: EndNumber;
  /** Gets no new work before then. */
  cooldownUntil: Deadline;
  /**
   * How many starts its link delivers soon enough for the tasks of a gang to meet; as many may be under way.
   * Unlimited until its first report.
   */
  startLimit: number;
}

/** When a worker was last heard that has never answered this owner. */
export const NEVER_HEARD = brandAs<Instant>(0);

export function newWorker(registration: WorkerRegistration, lapsesAt: Deadline): Worker {
  return {
    incarnation: registration.incarnation,
    id: registration.id,
    registration,
    isMet: false,
    linkedAt: brandAs<Instant>(0),
    hasReported: false,
    isRegistered: true,
    registeredAt: NEVER_HEARD,
    unregisteredAt: brandAs<Instant>(0),
    isReachable: true,
    lastHeardAt: NEVER_HEARD,
    lapsesAt,
    used: NO_RESOURCES,
    runs: new Map(),
    lapsedRuns: [],
    unknownRuns: 0,
    lastProcessedEnd: brandAs<EndNumber>(0),
    cooldownUntil: brandAs<Deadline>(0),
    startLimit: Number.POSITIVE_INFINITY,
  };
}

/** Stands in for the queue of a job that ended under an earlier owner. */
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

/** Identifies a run among those of a worker. */
export function runKey(task: StepTaskId, run: RunNumber): string {
  return `${task}#${run}`;
}

/** Resources that a run reserves on its worker: no processor time if it uses only idle time. */
export function allocationOf({ demand, usesLeftovers }: StepPlan): Resources {
  return usesLeftovers ? { ...demand, millicores: 0 } : demand;
}

/** Adds a run to its task and its worker, and counts its resources as used. */
export function attachRun(run: Run): void {
  run.task.runs.push(run);
  run.worker.runs.set(runKey(run.task.id, run.number), run);
  run.worker.used = add(run.worker.used, allocationOf(run.task.step.plan));
}

/** Removes a run and frees its resources; does nothing if it was removed already. */
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
    occurrences: new Map(),
    openedCount: 0,
    taskRecords: new Set(),
    hasStarted: false,
    isExcess: false,
  };
}

/** Opens the next occurrence of the job. */
export function openOccurrence(job: Job, plan: JobPlan): Occurrence {
  const occurrence = newOccurrence(job, plan, job.openedCount);
  job.occurrences.set(occurrence.index, occurrence);
  job.openedCount += 1;
  return occurrence;
}

export function newOccurrence(job: Job, plan: JobPlan, index: number): Occurrence {
  const occurrence: Occurrence = { index, steps: [] };
  let tasksBefore = 0;
  plan.steps.forEach((stepPlan, stepIndex) => {
    occurrence.steps.push(newStep(job, occurrence, stepPlan, { index: stepIndex, tasksBefore }));
    tasksBefore += stepPlan.count;
  });
  return occurrence;
}

function newStep(
  job: Job,
  occurrence: Occurrence,
  plan: StepPlan,
  { index, tasksBefore }: Pick<Step, 'index' | 'tasksBefore'>,
): Step {
  const id = stepIdOf(job.id, occurrence.index, index);
  const step: Step = {
    id,
    job,
    occurrence,
    plan,
    index,
    tasksBefore,
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
      crashes: 0,
      unprovenCrashes: 0,
      isSuspected: false,
      saved: NO_PROGRESS,
      runs: [],
      failedOn: NO_WORKERS,
    });
  }
  return step;
}

/** A set for each task would be half of what a task takes in memory, and few tasks fail. */
const NO_WORKERS: ReadonlySet<WorkerId> = new Set();

/** Records that the task failed or stalled on the worker. */
export function recordFailedOn(task: Task, worker: WorkerId): void {
  task.failedOn = new Set(task.failedOn).add(worker);
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

/** Whether the task needs a start: it is not done and has no run that may be active. */
export function isWaiting({ isDone, runs }: Task): boolean {
  return !isDone && runs.length === 0;
}

/** Number of starts under way on the workers: recorded or sent, and not confirmed. */
export function openStartsOn(workers: Iterable<Worker>): number {
  let count = 0;
  for (const { runs } of workers) {
    for (const { phase } of runs.values()) {
      count += Number(phase === 'recorded' || phase === 'ordered');
    }
  }
  return count;
}

export function waitingTasks(step: Step): Task[] {
  return step.tasks.filter(isWaiting);
}
