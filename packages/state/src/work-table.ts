/**
 * The works of a shard and where their tasks stand. A change of one task takes constant time,
 * however many tasks its work has.
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

/** Bounds of the ended work that is kept, so that `get` is answered. */
export const MAX_ENDED_KEPT = 10_000;
/** Characters of a snapshot, counted by the texts and an allowance for each work and task. */
export const MAX_ENDED_CHARACTERS = 8_000_000;

/** Requests of forgotten work that are kept, so that a repeat does not run again. */
export const MAX_FORGOTTEN_REQUESTS = 50_000;

/** What a work and a task take in a snapshot besides their texts, characters. */
const WORK_CHARACTERS = 450;
const TASK_CHARACTERS = 250;

/** One accepted piece of work. Its fields change as records are applied. */
export interface WorkEntry {
  readonly work: Work;
  readonly cancelled: boolean;
  readonly tasks: readonly TaskEntry[];
  /** Indices of the tasks that wait. */
  readonly waiting: ReadonlySet<number>;
  readonly endedTasks: number;
}

/** A plain copy of a work entry. */
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

/** A plain copy of the table. */
export interface TableSnapshot {
  readonly works: readonly WorkSnapshot[];
  /** Ended works, oldest first. */
  readonly ended: readonly WorkId[];
  /** Oldest first. */
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
  /** Ended works with their size in characters, oldest first. */
  private readonly ended = new Map<WorkId, number>();
  private endedCharacters = 0;
  /** By request key, oldest first. */
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

  /** Whether the work was new. */
  add(work: Work): boolean {
    const key = requestKey(work.team, work.requestId);
    if (this.requests.has(key) || this.entries.has(work.id)) {
      return false;
    }
    const tasks = Array.from({ length: taskCountOf(work.shape) }, () => NEW_TASK);
    this.put({ work, cancelled: false, tasks });
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
    this.noteEnd(entry);
  }

  updateTask(id: TaskId, change: (task: TaskEntry, entry: WorkEntry) => TaskEntry): void {
    const entry = this.entries.get(workOfTask(id));
    if (entry !== undefined) {
      this.setTask(entry, indexOf(id), change);
      this.noteEnd(entry);
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
      table.put(work);
    }
    for (const id of snapshot.ended) {
      const entry = table.entries.get(id);
      if (entry !== undefined) {
        table.noteEnd(entry);
      }
    }
    for (const request of snapshot.forgotten) {
      table.rememberRequest(request);
    }
    return table;
  }

  private put({ work, cancelled, tasks }: WorkSnapshot): void {
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
    entry.endedTasks += count(after) - count(before);
    if (after.state.kind === 'waiting') {
      entry.waiting.add(index);
    } else {
      entry.waiting.delete(index);
    }
  }

  private noteEnd(entry: MutableEntry): void {
    if (!hasEnded(entry) || this.ended.has(entry.work.id)) {
      return;
    }
    const characters = charactersOf(entry);
    this.ended.set(entry.work.id, characters);
    this.endedCharacters += characters;
    this.forgetOldest();
  }

  /** Forgets ended works beyond the bounds, but for the newest. */
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

function count(task: TaskEntry): number {
  return task.state.kind === 'ended' ? 1 : 0;
}

/** What an ended work takes in a snapshot. */
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

/** The length keeps apart pairs whose joined texts are the same. */
function requestKey(team: TeamId, request: RequestId): string {
  return `${team.length} ${team} ${request}`;
}

/** The index of a task in its work; not a number if the id is not as `taskIdOf` makes it. */
function indexOf(id: TaskId): number {
  const index = Number(id.slice(id.lastIndexOf('/') + 1));
  return taskIdOf(workOfTask(id), index) === id ? index : Number.NaN;
}
