/**
 * The records in which jobs are stored, and how jobs are restored from them. What a job may need without limit
 * is spread over records of limited size: its steps, and the progress of its tasks. Only the records with
 * something new are written, and an occurrence that is over has none.
 */

import { brandAs, type WorkerId } from '@bamboowell/types/ids';
import {
  NO_PROGRESS,
  type JobId,
  type JobPlan,
  type JobQueue,
  type JobState,
  type WorkerIncarnation,
  type RunNumber,
  type SavedProgress,
  type StepPlan,
  type WallInstant,
} from '@bamboowell/types/job';
import type { RestoredArchive } from './ended-archive.js';
import type { JobWrite } from './messages.js';
import { PLACEHOLDER_QUEUE, isEnded, newJob, newOccurrence, type Job, type Task } from './model.js';

const SPEC_PREFIX = 'spec/';
const PROGRESS_PREFIX = 'progress/';
const ARCHIVE_PREFIX = 'ended/';

/**
 * Steps of one record. A step that waits for all others of a thousand takes 4.3 KB, and the platform takes
 * records of 262,144 bytes.
 */
const STEPS_PER_RECORD = 20;
/** Tasks of one record. A row with the longest saved progress that is stored takes some 1.2 KB. */
const TASKS_PER_RECORD = 64;
/**
 * Longest saved progress that is stored, characters; the lists of workers have it in any case, and a task
 * without it only does more work.
 */
const MAX_SAVED_LENGTH = 1000;

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

/** Occurrences from `from` up to and without `to`. */
type OccurrenceRange = readonly [from: number, to: number];

/** The record of a job's state. Further records have the rows of tasks that this one doesn't. */
export interface ProgressRecord {
  readonly state: JobState;
  readonly acceptedAt: WallInstant;
  readonly endedAt?: WallInstant;
  readonly occurrences: number;
  /** Occurrences whose tasks are all done and have no run left; absent if there are none. */
  readonly over?: readonly OccurrenceRange[];
  readonly tasks: readonly TaskRow[];
}

export interface SpecRecord {
  /** Without the steps that further records have. */
  readonly plan: JobPlan;
  /** Number of further records; absent if there are none. */
  readonly moreRecords?: number;
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

/** The job to which a record belongs; undefined if it belongs to several. */
export function jobOfKey(key: string): JobId | undefined {
  const [prefix, job] = key.split('/');
  const isOfOneJob = `${prefix ?? ''}/` === SPEC_PREFIX || `${prefix ?? ''}/` === PROGRESS_PREFIX;
  return isOfOneJob && job !== undefined ? brandAs<JobId>(job) : undefined;
}

export function isSpecKey(key: string): boolean {
  return key.startsWith(SPEC_PREFIX);
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

/** Key of the record with the task's row: that of the job's state for the first tasks. */
export function recordOf({ step, index }: Task): string {
  const { job, occurrence, tasksBefore } = step;
  const part = Math.floor((tasksBefore + index) / TASKS_PER_RECORD);
  return taskRecordKey(job.id, occurrence.index, part);
}

function taskRecordKey(job: JobId, occurrence: number, part: number): string {
  return occurrence === 0 && part === 0
    ? progressKey(job)
    : `${progressKey(job)}/${occurrence}/${part}`;
}

/** The records of a new job: the one with the plan comes last, so that it is there only with all others. */
export function specWrites(job: Job, plan: JobPlan): JobWrite[] {
  const { queue, acceptedAt, isExcess } = job;
  const groups = groupsOf(plan.steps);
  const spec: SpecRecord = {
    plan: { ...plan, steps: groups[0] ?? [] },
    ...(groups.length > 1 ? { moreRecords: groups.length - 1 } : {}),
    queue,
    acceptedAt,
    ...(isExcess ? { isExcess } : {}),
  };
  const more = groups.slice(1).map((steps, index) => ({
    key: `${specKey(job.id)}/${index + 1}`,
    value: steps,
  }));
  return [...more, { key: specKey(job.id), value: spec }];
}

/** Deletes the records of the plan; first the one without which the others are of no use. */
export function specDeletions({ id, plan }: Job): JobWrite[] {
  const more = groupsOf(plan?.steps ?? []).slice(1);
  return [
    { key: specKey(id), value: undefined },
    ...more.map((_, index) => ({ key: `${specKey(id)}/${index + 1}`, value: undefined })),
  ];
}

function groupsOf(steps: readonly StepPlan[]): StepPlan[][] {
  const groups: StepPlan[][] = [];
  for (let from = 0; from < steps.length; from += STEPS_PER_RECORD) {
    groups.push(steps.slice(from, from + STEPS_PER_RECORD));
  }
  return groups;
}

/** The record of the job's state, with the first tasks of an open job. */
export function progressOf(job: Job): ProgressRecord {
  const over = rangesOver(job);
  return {
    state: job.state,
    acceptedAt: job.acceptedAt,
    ...(job.endedAt === undefined ? {} : { endedAt: job.endedAt }),
    occurrences: job.openedCount,
    ...(over.length === 0 || isEnded(job.state) ? {} : { over }),
    tasks: isEnded(job.state) ? [] : rowsOf(job, 0, 0),
  };
}

/** A record with the rows of further tasks. */
export function taskRecord(job: Job, key: string): JobWrite {
  const [occurrence = 0, part = 0] = placeOf(key);
  return { key, value: rowsOf(job, occurrence, part) };
}

/** The occurrence and the part of it that a record with rows of tasks has. */
function placeOf(key: string): number[] {
  return key.split('/').slice(2).map(Number);
}

export function occurrenceOf(key: string): number {
  return placeOf(key)[0] ?? 0;
}

function rowsOf({ occurrences }: Job, occurrence: number, part: number): TaskRow[] {
  const rows: TaskRow[] = [];
  const from = part * TASKS_PER_RECORD;
  for (const { tasks, tasksBefore } of occurrences.get(occurrence)?.steps ?? []) {
    const first = Math.max(0, from - tasksBefore);
    const end = Math.max(0, from + TASKS_PER_RECORD - tasksBefore);
    rows.push(...tasks.slice(first, end).filter(isTouched).map(rowOf));
  }
  return rows;
}

function rangesOver({ occurrences, openedCount }: Job): OccurrenceRange[] {
  const ranges: OccurrenceRange[] = [];
  let from = 0;
  for (const open of [...occurrences.keys(), openedCount]) {
    if (from < open) {
      ranges.push([from, open]);
    }
    from = open + 1;
  }
  return ranges;
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
    task.saved.length > MAX_SAVED_LENGTH ? NO_PROGRESS : task.saved,
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
  /** Records that belong to no open job: the write or deletion of a job's records was cut short. */
  readonly orphans: string[];
  /** Tasks whose rows an earlier version has put into the record of the job's state. */
  readonly misplaced: Task[];
}

/** The stored records of one job, by their keys. */
interface StoredJob {
  spec?: SpecRecord;
  readonly moreSteps: Map<string, readonly StepPlan[]>;
  progress?: ProgressRecord;
  readonly moreTasks: Map<string, readonly TaskRow[]>;
}

/**
 * Restores jobs from the newest record of each key. A job with a spec only has not started yet; one
 * with progress only is restored if it has ended, and skipped otherwise.
 */
export function restoreJobs(entries: Iterable<readonly [key: string, value: unknown]>): Restored {
  const stored = new Map<JobId, StoredJob>();
  const restored: Restored = { jobs: [], runs: [], archives: [], orphans: [], misplaced: [] };
  for (const [key, value] of entries) {
    const job = jobOfKey(key);
    if (job !== undefined) {
      addRecord(storedJob(stored, job), key, value);
    } else if (key.startsWith(ARCHIVE_PREFIX)) {
      restoreArchive(restored, key, value as readonly ArchiveRow[]);
    }
  }
  const archived = new Set(restored.archives.flatMap(({ jobs }) => jobs));
  for (const [id, records] of stored) {
    const { progress } = records;
    const plan = planOf(records);
    if (plan !== undefined && records.spec !== undefined) {
      restoreOpen(restored, { ...records.spec, plan }, records);
      continue;
    }
    restored.orphans.push(...(records.spec === undefined ? [] : [specKey(id)]));
    restored.orphans.push(...records.moreSteps.keys(), ...records.moreTasks.keys());
    if (progress !== undefined && isEnded(progress.state) && !archived.has(id)) {
      restored.jobs.push(endedJob(id, progress));
    }
  }
  return restored;
}

function storedJob(stored: Map<JobId, StoredJob>, id: JobId): StoredJob {
  let job = stored.get(id);
  if (job === undefined) {
    job = { moreSteps: new Map(), moreTasks: new Map() };
    stored.set(id, job);
  }
  return job;
}

function addRecord(job: StoredJob, key: string, value: unknown): void {
  const isFirst = key.split('/').length === 2;
  if (key.startsWith(SPEC_PREFIX)) {
    if (isFirst) {
      job.spec = value as SpecRecord;
    } else {
      job.moreSteps.set(key, value as readonly StepPlan[]);
    }
  } else if (isFirst) {
    job.progress = value as ProgressRecord;
  } else {
    job.moreTasks.set(key, value as readonly TaskRow[]);
  }
}

/** The plan with all its steps; undefined if a record is missing. */
function planOf({ spec, moreSteps }: StoredJob): JobPlan | undefined {
  if (spec === undefined) {
    return undefined;
  }
  const steps = [...spec.plan.steps];
  for (let part = 1; part <= (spec.moreRecords ?? 0); part += 1) {
    const more = moreSteps.get(`${specKey(spec.plan.id)}/${part}`);
    if (more === undefined) {
      return undefined;
    }
    steps.push(...more);
  }
  return { ...spec.plan, steps };
}

function restoreArchive(restored: Restored, key: string, rows: readonly ArchiveRow[]): void {
  restored.archives.push({ key, jobs: rows.map(([id]) => id) });
  for (const [id, state, acceptedAt, endedAt] of rows) {
    restored.jobs.push(endedJob(id, { state, acceptedAt, endedAt }));
  }
}

function restoreOpen(
  restored: Restored,
  { plan, queue, acceptedAt, isExcess }: SpecRecord,
  { progress, moreTasks }: StoredJob,
): void {
  const job = newJob(plan, queue, acceptedAt);
  job.isExcess = isExcess === true;
  restored.jobs.push(job);
  if (progress === undefined) {
    restored.orphans.push(...moreTasks.keys());
    return;
  }
  job.state = progress.state;
  job.visibleState = progress.state;
  job.endedAt = progress.endedAt;
  restoreOccurrences(job, plan, progress, moreTasks);
  const rows = [...progress.tasks];
  for (const [key, more] of moreTasks) {
    if (!job.occurrences.has(occurrenceOf(key)) || isEnded(job.state)) {
      restored.orphans.push(key);
    } else {
      job.taskRecords.add(key);
      rows.push(...more);
    }
  }
  job.hasStarted = (progress.over ?? []).length > 0 || rows.some(hasBegun);
  for (const row of rows) {
    restoreTask(restored, job, row);
  }
  for (const [occurrence, step, index] of progress.tasks) {
    const task = job.occurrences.get(occurrence)?.steps[step]?.tasks[index];
    if (task !== undefined && recordOf(task) !== progressKey(job.id)) {
      restored.misplaced.push(task);
    }
  }
}

/**
 * Opens the occurrences up to the last one of which something was begun. Those after it have nothing that must be
 * kept, and are opened again as there is room for them.
 */
function restoreOccurrences(
  job: Job,
  plan: JobPlan,
  { occurrences, over = [], tasks }: ProgressRecord,
  moreTasks: ReadonlyMap<string, readonly TaskRow[]>,
): void {
  let begunCount = 0;
  const begun = [
    ...over.map(([, to]) => to - 1),
    ...tasks.map(([occurrence]) => occurrence),
    ...[...moreTasks.keys()].map(occurrenceOf),
  ];
  for (const index of begun) {
    begunCount = Math.max(begunCount, index + 1);
  }
  job.openedCount = Math.min(occurrences, begunCount);
  let from = 0;
  for (const [overFrom, overTo] of [...over, [job.openedCount, job.openedCount] as const]) {
    for (let index = from; index < overFrom; index += 1) {
      job.occurrences.set(index, newOccurrence(job, plan, index));
    }
    from = overTo;
  }
}

/** Whether the row shows that a run has begun; reports tell of those that only were to begin. */
function hasBegun([, , , isDone, , failures, saved]: TaskRow): boolean {
  return isDone === 1 || failures > 0 || saved !== NO_PROGRESS;
}

function restoreTask(restored: Restored, job: Job, row: TaskRow): void {
  const [occurrence, stepIndex, index, isDone, lastRun, failures, saved, runs, crashes = 0] = row;
  const step = job.occurrences.get(occurrence)?.steps[stepIndex];
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
    occurrences: new Map(),
    openedCount: 0,
    taskRecords: new Set(),
    hasStarted: true,
    isExcess: false,
  };
}
