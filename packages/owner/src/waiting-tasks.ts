/** Tracks the tasks that wait for a worker, and keeps the candidates of the ordering in sync. */

import { workOfTask, type TaskId, type WorkId } from '@bamboowell/types/ids';
import { earlier, hasPassed, NEVER, type Deadline, type Instant } from '@bamboowell/types/time';
import { hasEnded, type WorkEntry } from '@bamboowell/state/shard-fold';
import type { Candidate } from '@bamboowell/policy/ordering';
import type { Context } from './context.js';

/** The waiting tasks of one work item. */
interface Group {
  /** Indices of tasks that wait and have no `place` record under way to the log. */
  readonly indices: Set<number>;
  readonly since: Instant;
  /** Not placed before then, because an attempt has failed or a replica has ended. */
  heldUntil: Deadline | undefined;
  /** Not placed any more, because it failed on several healthy workers. */
  isSetAside: boolean;
}

export class WaitingTasks {
  private readonly groups = new Map<WorkId, Group>();
  private readonly held = new Set<WorkId>();

  constructor(private readonly context: Context) {}

  /** The indices of the first waiting tasks of the work, at most `count`. */
  firstOf(work: WorkId, count: number): number[] {
    const indices: number[] = [];
    for (const index of this.groups.get(work)?.indices ?? []) {
      if (indices.length === count) {
        break;
      }
      indices.push(index);
    }
    return indices;
  }

  /** Adds the waiting tasks of work, as the fold has them. */
  resume(entry: WorkEntry): void {
    const indices = new Set<number>();
    for (const [index, task] of entry.tasks.entries()) {
      if (task.state.kind === 'waiting') {
        indices.add(index);
      }
    }
    const group = { indices, since: this.context.now, heldUntil: undefined, isSetAside: false };
    this.groups.set(entry.work.id, group);
    this.update(entry.work.id);
  }

  /** Removes a task whose `place` record is under way to the log. */
  markPlacing(task: TaskId): void {
    this.groups.get(workOfTask(task))?.indices.delete(indexOf(task));
  }

  /** Updates the task from the fold after its record was applied or void. */
  refresh(task: TaskId): void {
    const work = workOfTask(task);
    const group = this.groups.get(work);
    if (this.context.fold.task(task)?.state.kind === 'waiting') {
      group?.indices.add(indexOf(task));
    } else {
      group?.indices.delete(indexOf(task));
    }
    this.update(work);
  }

  /** Keeps the work from being placed before the deadline. */
  hold(work: WorkId, until: Deadline): void {
    const group = this.groups.get(work);
    if (group !== undefined) {
      group.heldUntil = until;
      this.held.add(work);
      this.update(work);
    }
  }

  /** Keeps the work from being placed any more. It stays accepted until it is cancelled. */
  setAside(work: WorkId): void {
    const group = this.groups.get(work);
    if (group !== undefined) {
      group.isSetAside = true;
      this.update(work);
    }
  }

  isSetAside(work: WorkId): boolean {
    return this.groups.get(work)?.isSetAside ?? false;
  }

  heldUntil(work: WorkId): Deadline | undefined {
    return this.groups.get(work)?.heldUntil;
  }

  /** Puts held work whose deadline has passed back into the ordering. */
  releaseHeld(): void {
    for (const work of this.held) {
      const group = this.groups.get(work);
      if (group?.heldUntil === undefined || hasPassed(group.heldUntil, this.context.now)) {
        this.held.delete(work);
        this.clearHold(work);
      }
    }
  }

  nextDeadline(): Deadline {
    let next = NEVER;
    for (const work of this.held) {
      next = earlier(next, this.groups.get(work)?.heldUntil ?? NEVER);
    }
    return next;
  }

  /** Puts the work into the ordering, or removes it if none of its tasks may be placed. */
  update(work: WorkId): void {
    const entry = this.context.fold.get(work);
    const group = this.groups.get(work);
    const candidate =
      entry === undefined || group === undefined ? undefined : candidateOf(entry, group);
    if (candidate === undefined) {
      this.context.ordering.remove(work);
    } else {
      this.context.ordering.put(candidate);
    }
    this.forgetEnded(work, entry);
  }

  clear(): void {
    for (const work of this.groups.keys()) {
      this.context.ordering.remove(work);
    }
    this.groups.clear();
    this.held.clear();
  }

  private clearHold(work: WorkId): void {
    const group = this.groups.get(work);
    if (group !== undefined) {
      group.heldUntil = undefined;
      this.update(work);
    }
  }

  private forgetEnded(work: WorkId, entry: WorkEntry | undefined): void {
    if (entry === undefined || hasEnded(entry)) {
      this.groups.delete(work);
      this.held.delete(work);
    }
  }
}

function candidateOf({ work, tasks }: WorkEntry, group: Group): Candidate | undefined {
  const count = group.indices.size;
  const isGang = work.shape.kind === 'gang';
  if (count === 0 || group.isSetAside || group.heldUntil !== undefined) {
    return undefined;
  }
  if (isGang && waitsInPart(tasks, count)) {
    return undefined;
  }
  return {
    work: work.id,
    team: work.team,
    queue: work.queue,
    urgency: work.urgency,
    demand: work.demand,
    gangSize: isGang ? count : 1,
    waitingSince: group.since,
  };
}

/**
 * Whether a gang waits in part: some of its tasks are placed, and none has failed. The placed tasks
 * are expected to return to waiting, so that the gang starts whole.
 */
function waitsInPart(tasks: WorkEntry['tasks'], waiting: number): boolean {
  const placed = tasks.filter((task) => task.state.kind === 'placed').length;
  const hasFailed = tasks.some((task) => task.failures > 0);
  return placed > 0 && waiting > 0 && !hasFailed;
}

function indexOf(task: TaskId): number {
  return Number(task.slice(task.lastIndexOf('/') + 1));
}
