/** Keeps the ordering's candidates in step with the fold. */

import { taskIdOf, type TaskId, type WorkId } from '@bamboowell/types/ids';
import { brandAs } from '@bamboowell/types/ids';
import type { Instant } from '@bamboowell/types/time';
import type { WorkEntry } from '@bamboowell/state/shard-fold';
import type { Candidate } from '@bamboowell/policy/ordering';
import type { Context } from './context.js';

export class Waiting {
  /** Tasks with a place record on the way to the log. */
  private readonly placing = new Set<TaskId>();
  private readonly since = new Map<WorkId, Instant>();

  constructor(private readonly context: Context) {}

  /** Indices of tasks that wait for a worker. */
  waitingTasks(entry: WorkEntry): number[] {
    const waiting: number[] = [];
    for (const [index, task] of entry.tasks.entries()) {
      const id = taskIdOf(entry.work.id, index);
      if (task.state.kind === 'waiting' && !this.placing.has(id)) {
        waiting.push(index);
      }
    }
    return waiting;
  }

  markPlacing(task: TaskId): void {
    this.placing.add(task);
  }

  unmarkPlacing(task: TaskId): void {
    this.placing.delete(task);
  }

  /** Puts the work into the order, or takes it out when none of its tasks waits. */
  update(id: WorkId): void {
    const entry = this.context.fold.get(id);
    const candidate = entry === undefined ? undefined : this.candidateOf(entry);
    if (candidate === undefined) {
      this.context.ordering.remove(id);
      this.since.delete(id);
      return;
    }
    this.context.ordering.put(candidate);
  }

  clear(): void {
    for (const id of this.since.keys()) {
      this.context.ordering.remove(id);
    }
    this.since.clear();
    this.placing.clear();
  }

  private candidateOf(entry: WorkEntry): Candidate | undefined {
    const { work } = entry;
    const count = this.waitingTasks(entry).length;
    if (count === 0 || (work.shape.kind === 'gang' && isUnwinding(entry, count))) {
      return undefined;
    }
    const waitingSince = this.since.get(work.id) ?? brandAs<Instant>(this.context.now);
    this.since.set(work.id, waitingSince);
    return {
      work: work.id,
      team: work.team,
      queue: work.queue,
      urgency: work.urgency,
      demand: work.demand,
      together: work.shape.kind === 'gang' ? count : 1,
      waitingSince,
    };
  }
}

/** Whether other members of the gang are on their way back to waiting. */
function isUnwinding(entry: WorkEntry, waiting: number): boolean {
  const placed = entry.tasks.filter((task) => task.state.kind === 'placed').length;
  const hasRun = entry.tasks.some((task) => task.failures > 0);
  return placed > 0 && waiting > 0 && !hasRun;
}
