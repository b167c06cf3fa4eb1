/**
 * The accepted work of a shard and the states of its tasks. Updating one task takes constant time,
 * however many tasks the work has.
 */

import {
  taskIdOf,
  workOfTask,
  type RequestId,
  type TaskId,
  type TeamId,
  type WorkId,
} from '@bamboowell/types/ids';
import { taskCountOf, type Work } from '@bamboowell/types/work';
import { NEW_TASK, type TaskEntry } from './task-state.js';

/** Maximum number of ended work items that are kept, so that `get` still finds them. */
export const MAX_ENDED_KEPT = 10_000;

/**
 * Maximum size of the ended work that is kept, characters of a snapshot: the lengths of its texts
 * plus a fixed allowance for each work item and each task.
 */
export const MAX_ENDED_CHARACTERS = 8_000_000;

/**
 * Maximum number of requests of forgotten work that are remembered, so that a repeated one does not
 * run again.
 */
export const MAX_FORGOTTEN_REQUESTS = 50_000;

/** Size of a work item and of a task in a snapshot besides their texts, characters. */
const WORK_CHARACTERS = 450;
const TASK_CHARACTERS = 250;

/** One accepted work item. Its fields change as records are applied. */
export interface WorkEntry {
  readonly work: Work;
  readonly cancelled: boolean;
  readonly tasks: readonly TaskEntry[];
  /** Indices of the waiting tasks. */
  readonly waiting: ReadonlySet<number>;
  readonly endedTasks: number;
}

/** A plain copy of a work entry for a checkpoint. */
export interface WorkSnapshot {
  readonly work: Work;
  readonly cancelled: boolean;
  readonly tasks: readonly TaskEntry[];
}

/** A request whose work was forgotten. */
export interface ForgottenRequest {
  readonly team: TeamId;
  readonly request: RequestId;
  readonly work: WorkId;
}

/** A plain copy of the table for a checkpoint. */
export interface TableSnapshot {
  readonly works: readonly WorkSnapshot[];
  /** Ended work, in the order in which it ended. */
  readonly ended: readonly WorkId[];
  /** In the order in which the work was forgotten. */
  readonly forgotten: readonly ForgottenRequest[];
}

interface MutableEntry {
  readonly work: Work;
  cancelled: boolean;
  readonly tasks: TaskEntry[];
  readonly waiting: Set<number>;
  endedTasks: number;
}

/** Whether no task of the work will run any more. */
export function hasEnded(entry: WorkEntry): boolean {
  return entry.endedTasks === entry.tasks.length;
}

export class WorkTable {
  private readonly entries = new Map<WorkId, MutableEntry>();
  private readonly requests = new Map<string, WorkId>();
  /** Ended work with its size in characters, in the order in which it ended. */
  private readonly ended = new Map<WorkId, number>();
  private endedCharacters = 0;
  /** By request key, in the order in which the work was forgotten. */
  private readonly forgotten = new Map<string, ForgottenRequest>();

  get works(): ReadonlyMap<WorkId, WorkEntry> {
    return this.entries;
  }

  findRequest(team: TeamId, request: RequestId): WorkId | undefined {
    return this.requests.get(requestKey(team, request));
  }

  task(id: TaskId): TaskEntry | undefined {
    return this.entries.get(workOfTask(id))?.tasks[indexOf(id)];
  }

  /** Adds the work; returns `false` if its request or its id is already known. */
  add(work: Work): boolean {
    const key = requestKey(work.team, work.requestId);
    if (this.requests.has(key) || this.entries.has(work.id)) {
      return false;
    }
    const tasks = Array.from({ length: taskCountOf(work.shape) }, () => NEW_TASK);
    this.insert({ work, cancelled: false, tasks });
    return true;
  }

  /** Marks the work as cancelled and ends its waiting tasks. */
  cancel(id: WorkId): void {
    const entry = this.entries.get(id);
    if (entry === undefined || entry.cancelled) {
      return;
    }
    entry.cancelled = true;
    for (const index of [...entry.waiting]) {
      this.setTask(entry, index, (task) => ({
        ...task,
        state: { kind: 'ended', outcome: { kind: 'cancelled' } },
      }));
    }
    this.recordIfEnded(entry);
  }

  updateTask(id: TaskId, change: (task: TaskEntry, entry: WorkEntry) => TaskEntry): void {
    const entry = this.entries.get(workOfTask(id));
    if (entry !== undefined) {
      this.setTask(entry, indexOf(id), change);
      this.recordIfEnded(entry);
    }
  }

  snapshot(): TableSnapshot {
    return {
      works: [...this.entries.values()].map(({ work, cancelled, tasks }) => ({
        work,
        cancelled,
        tasks: [...tasks],
      })),
      ended: [...this.ended.keys()],
      forgotten: [...this.forgotten.values()],
    };
  }

  static restore(snapshot: TableSnapshot): WorkTable {
    const table = new WorkTable();
    for (const work of snapshot.works) {
      table.insert(work);
    }
    for (const id of snapshot.ended) {
      const entry = table.entries.get(id);
      if (entry !== undefined) {
        table.recordIfEnded(entry);
      }
    }
    for (const request of snapshot.forgotten) {
      table.rememberRequest(request);
    }
    return table;
  }

  private insert({ work, cancelled, tasks }: WorkSnapshot): void {
    const waiting = new Set<number>();
    let endedTasks = 0;
    for (const [index, { state }] of tasks.entries()) {
      if (state.kind === 'waiting') {
        waiting.add(index);
      }
      endedTasks += state.kind === 'ended' ? 1 : 0;
    }
    this.requests.set(requestKey(work.team, work.requestId), work.id);
    this.entries.set(work.id, { work, cancelled, tasks: [...tasks], waiting, endedTasks });
  }

  private setTask(
    entry: MutableEntry,
    index: number,
    change: (task: TaskEntry, entry: WorkEntry) => TaskEntry,
  ): void {
    const before = entry.tasks[index];
    if (before === undefined) {
      return;
    }
    const after = change(before, entry);
    entry.tasks[index] = after;
    entry.endedTasks += endedCount(after) - endedCount(before);
    if (after.state.kind === 'waiting') {
      entry.waiting.add(index);
    } else {
      entry.waiting.delete(index);
    }
  }

  private recordIfEnded(entry: MutableEntry): void {
    if (!hasEnded(entry) || this.ended.has(entry.work.id)) {
      return;
    }
    const characters = charactersOf(entry);
    this.ended.set(entry.work.id, characters);
    this.endedCharacters += characters;
    this.forgetOldest();
  }

  /** Forgets the oldest ended work until the rest is within the bounds. Always keeps the newest. */
  private forgetOldest(): void {
    for (const [id, characters] of this.ended) {
      const isWithin =
        this.ended.size <= MAX_ENDED_KEPT && this.endedCharacters <= MAX_ENDED_CHARACTERS;
      if (isWithin || this.ended.size === 1) {
        return;
      }
      this.ended.delete(id);
      this.endedCharacters -= characters;
      this.forget(id);
    }
  }

  private forget(id: WorkId): void {
    const entry = this.entries.get(id);
    this.entries.delete(id);
    if (entry !== undefined) {
      const { team, requestId } = entry.work;
      this.rememberRequest({ team, request: requestId, work: id });
    }
  }

  private rememberRequest(request: ForgottenRequest): void {
    const key = requestKey(request.team, request.request);
    this.requests.set(key, request.work);
    this.forgotten.set(key, request);
    for (const oldest of this.forgotten.keys()) {
      if (this.forgotten.size <= MAX_FORGOTTEN_REQUESTS) {
        return;
      }
      this.forgotten.delete(oldest);
      this.requests.delete(oldest);
    }
  }
}

/** 1 if the task has ended, else 0. */
function endedCount(task: TaskEntry): number {
  return task.state.kind === 'ended' ? 1 : 0;
}

/** Estimated size of an ended work item in a snapshot, characters. */
function charactersOf({ work, tasks }: WorkEntry): number {
  let characters = work.payload.length + WORK_CHARACTERS;
  for (const { state, checkpoint } of tasks) {
    characters += TASK_CHARACTERS + (checkpoint?.length ?? 0);
    characters += state.kind === 'ended' ? textLengthOf(state.outcome) : 0;
  }
  return characters;
}

function textLengthOf(outcome: object): number {
  let length = 0;
  for (const value of Object.values(outcome)) {
    length += typeof value === 'string' ? value.length : 0;
  }
  return length;
}

/**
 * The length of the team's id keeps pairs apart that read the same when joined, such as `a`, `b c`
 * and `a b`, `c`.
 */
function requestKey(team: TeamId, request: RequestId): string {
  return `${team.length} ${team} ${request}`;
}

/** The index of a task in its work; NaN if the id is not one that `taskIdOf` makes. */
function indexOf(id: TaskId): number {
  const index = Number(id.slice(id.lastIndexOf('/') + 1));
  return taskIdOf(workOfTask(id), index) === id ? index : Number.NaN;
}
