/** Which tasks wait for a worker, and the ordering's candidates in step with them. */

import { workOfTask, type TaskId, type WorkId } from '@bamboowell/types/ids';
import { earlier, hasPassed, NEVER, type Deadline, type Instant } from '@bamboowell/types/time';
import { hasEnded, type WorkEntry } from '@bamboowell/state/shard-fold';
import type { Candidate } from '@bamboowell/policy/ordering';
import type { Context } from './context.js';

/** The waiting part of one piece of work. */
interface Group {
  /** Indices of tasks that wait and have no place record on the way. */
  readonly indices: Set<number>;
  readonly since: Instant;
  /** Not tried before then; an attempt has failed. */
  heldUntil: Deadline | undefined;
  /** Not tried any more: it fails wherever it runs. */
  isSetAside: boolean;
}

export class WaitingTasks {
  private readonly groups = new Map<WorkId, Group>();
  private readonly held = new Set<WorkId>();

  constructor(private readonly context: Context) {}

  /** The first waiting tasks of the work, at most `count`, by index. */
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

  /** Takes in work as the fold has it. */
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

  /** The task has a place record on the way to the log. */
  markPlacing(task: TaskId): void {
    this.groups.get(workOfTask(task))?.indices.delete(indexOf(task));
  }

  /** Looks at the task again after its record was applied or void. */
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

  /** Does not try the work before the deadline. */
  hold(work: WorkId, until: Deadline): void {
    const group = this.groups.get(work);
    if (group !== undefined) {
      group.heldUntil = until;
      this.held.add(work);
      this.update(work);
    }
  }

  /** Does not try the work any more; it stays accepted until it is cancelled. */
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

  /** Puts work back into the order whose time has come. */
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

  /** Puts the work into the order, or takes it out when nothing of it is to be tried. */
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
  if (isGang && isUnwinding(tasks, count)) {
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

/** Whether other members of the gang are on their way back to waiting. */
function isUnwinding(tasks: WorkEntry['tasks'], waiting: number): boolean {
  const placed = tasks.filter((task) => task.state.kind === 'placed').length;
  const hasRun = tasks.some((task) => task.failures > 0);
  return placed > 0 && waiting > 0 && !hasRun;
}

function indexOf(task: TaskId): number {
  return Number(task.slice(task.lastIndexOf('/') + 1));
}
