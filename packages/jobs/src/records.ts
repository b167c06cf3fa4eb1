/** The records in which jobs are stored, and how jobs are restored from them. */

import { brandAs, type WorkerId } from '@bamboowell/types/ids';
import type {
  JobId,
  JobPlan,
  JobQueue,
  JobState,
  WorkerIncarnation,
  RunNumber,
  SavedProgress,
  WallInstant,
} from '@bamboowell/types/job';
import type { RestoredArchive } from './ended-archive.js';
import { PLACEHOLDER_QUEUE, isEnded, newJob, newOccurrence, type Job, type Task } from './model.js';

const SPEC_PREFIX = 'spec/';
const PROGRESS_PREFIX = 'progress/';
const ARCHIVE_PREFIX = 'ended/';

/** A run that may be active: its worker's incarnation and id, and its number. */
type RunRow = readonly [incarnation: WorkerIncarnation, worker: WorkerId, run: RunNumber];

/** A task that is done or was started; others have no row. */
type TaskRow = readonly [
  occurrence: number,
  step: number,
  index: number,
  isDone: 0 | 1,
  lastRun: RunNumber,
  failures: number,
  saved: SavedProgress,
  runs: readonly RunRow[],
  /** Absent if no worker crashed under it. */
  crashes?: number,
];

export interface ProgressRecord {
  readonly state: JobState;
  readonly acceptedAt: WallInstant;
  readonly endedAt?: WallInstant;
  readonly occurrences: number;
  readonly tasks: readonly TaskRow[];
}

export interface SpecRecord {
  readonly plan: JobPlan;
  /** The queue when the job was accepted, in case later configurations no longer have it. */
  readonly queue: JobQueue;
  readonly acceptedAt: WallInstant;
  readonly isExcess?: boolean;
}

export function specKey(job: JobId): string {
  return SPEC_PREFIX + job;
}

export function progressKey(job: JobId): string {
  return PROGRESS_PREFIX + job;
}

/** The record is named after its first job, which is in no other. */
export function archiveKey(jobs: readonly Job[]): string {
  return ARCHIVE_PREFIX + (jobs[0]?.id ?? '');
}

/** An ended job in a record that it shares with others. */
export type ArchiveRow = readonly [
  id: JobId,
  state: JobState,
  acceptedAt: WallInstant,
  endedAt: WallInstant,
];

export function archiveRowOf({ id, state, acceptedAt, endedAt }: Job): ArchiveRow {
  return [id, state, acceptedAt, endedAt ?? acceptedAt];
}

export function progressOf(job: Job): ProgressRecord {
  const tasks = isEnded(job.state)
    ? []
    : job.occurrences.flatMap(({ steps }) => steps.flatMap((step) => step.tasks));
  return {
    state: job.state,
    acceptedAt: job.acceptedAt,
    ...(job.endedAt === undefined ? {} : { endedAt: job.endedAt }),
    occurrences: job.occurrences.length,
    tasks: tasks.filter(isTouched).map(rowOf),
  };
}

function isTouched(task: Task): boolean {
  return task.isDone || task.lastRun > 0;
}

function rowOf(task: Task): TaskRow {
  const { step } = task;
  const row = [
    step.occurrence.index,
    step.index,
    task.index,
    task.isDone ? 1 : 0,
    task.lastRun,
    task.failures,
    task.saved,
    task.runs.map((run) => [run.worker.incarnation, run.worker.id, run.number] as const),
  ] as const;
  return task.crashes > 0 ? [...row, task.crashes] : row;
}

/** A run that an earlier owner stored. */
export interface RestoredRun {
  readonly task: Task;
  readonly incarnation: WorkerIncarnation;
  readonly worker: WorkerId;
  readonly number: RunNumber;
}

export interface Restored {
  readonly jobs: Job[];
  readonly runs: RestoredRun[];
  readonly archives: RestoredArchive[];
}

/**
 * Restores jobs from the newest record of each key. A job with a spec only has not started yet; one
 * with progress only is restored if it has ended, and skipped otherwise.
 */
export function restoreJobs(entries: Iterable<readonly [key: string, value: unknown]>): Restored {
  const specs = new Map<JobId, SpecRecord>();
  const progress = new Map<JobId, ProgressRecord>();
  const restored: Restored = { jobs: [], runs: [], archives: [] };
  for (const [key, value] of entries) {
    if (key.startsWith(SPEC_PREFIX)) {
      specs.set(brandAs<JobId>(key.slice(SPEC_PREFIX.length)), value as SpecRecord);
    } else if (key.startsWith(PROGRESS_PREFIX)) {
      progress.set(brandAs<JobId>(key.slice(PROGRESS_PREFIX.length)), value as ProgressRecord);
    } else if (key.startsWith(ARCHIVE_PREFIX)) {
      restoreArchive(restored, key, value as readonly ArchiveRow[]);
    }
  }
  const archived = new Set(restored.archives.flatMap(({ jobs }) => jobs));
  for (const [id, spec] of specs) {
    restoreFromSpec(restored, spec, progress.get(id));
  }
  for (const [id, record] of progress) {
    if (!specs.has(id) && !archived.has(id) && isEnded(record.state)) {
      restored.jobs.push(endedJob(id, record));
    }
  }
  return restored;
}

function restoreArchive(restored: Restored, key: string, rows: readonly ArchiveRow[]): void {
  restored.archives.push({ key, jobs: rows.map(([id]) => id) });
  for (const [id, state, acceptedAt, endedAt] of rows) {
    restored.jobs.push(endedJob(id, { state, acceptedAt, endedAt }));
  }
}

function restoreFromSpec(
  restored: Restored,
  { plan, queue, acceptedAt, isExcess }: SpecRecord,
  record: ProgressRecord | undefined,
): void {
  const job = newJob(plan, queue, acceptedAt);
  job.isExcess = isExcess === true;
  restored.jobs.push(job);
  if (record === undefined) {
    return;
  }
  job.state = record.state;
  job.visibleState = record.state;
  job.endedAt = record.endedAt;
  job.hasStarted = record.tasks.some(([, , , , lastRun]) => lastRun > 0);
  for (let index = 0; index < record.occurrences; index += 1) {
    job.occurrences.push(newOccurrence(job, plan, index));
  }
  for (const row of record.tasks) {
    restoreTask(restored, job, row);
  }
}

function restoreTask(restored: Restored, job: Job, row: TaskRow): void {
  const [occurrence, stepIndex, index, isDone, lastRun, failures, saved, runs, crashes = 0] = row;
  const step = job.occurrences[occurrence]?.steps[stepIndex];
  const task = step?.tasks[index];
  if (step === undefined || task === undefined) {
    return;
  }
  task.isDone = isDone === 1;
  step.doneCount += isDone;
  task.lastRun = lastRun;
  task.failures = failures;
  task.saved = saved;
  task.crashes = crashes;
  // Whether it began shortly before is not stored.
  task.isSuspected = crashes > 0;
  for (const [incarnation, worker, number] of runs) {
    restored.runs.push({ task, incarnation, worker, number });
  }
}

function endedJob(
  id: JobId,
  record: Pick<ProgressRecord, 'state' | 'acceptedAt' | 'endedAt'>,
): Job {
  return {
    id,
    plan: undefined,
    queue: PLACEHOLDER_QUEUE,
    state: record.state,
    visibleState: record.state,
    acceptedAt: record.acceptedAt,
    endedAt: record.endedAt ?? record.acceptedAt,
    occurrences: [],
    hasStarted: true,
    isExcess: false,
  };
}
