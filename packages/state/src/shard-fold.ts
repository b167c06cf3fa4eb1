/**
 * The fold of a shard's stream: who owns the shard, which work it accepted, and where each task
 * stands. Every reader that folds the same entries has the same state.
 */

import { match } from 'ts-pattern';
import {
  brandAs,
  nextEpoch,
  taskOfAttempt,
  workOfTask,
  type AttemptId,
  type Epoch,
  type MemberId,
  type Offset,
  type RequestId,
  type Sequence,
  type TaskId,
  type TeamId,
  type WorkId,
  type WriterId,
} from '@bamboowell/types/ids';
import type { Effect, ShardRecord, Stamped, VoidReason } from '@bamboowell/types/records';
import { taskCountOf, type Attempt, type Outcome, type Work } from '@bamboowell/types/work';
import { afterEnd, NEW_TASK, type TaskEntry } from './task-state.js';
import { Writers } from './writers.js';

const APPLIED: Effect = { kind: 'applied' };
const REPEATED: Effect = { kind: 'repeated' };

/** Ended work that is kept, so that `get` and repeated requests are answered. */
export const MAX_ENDED_KEPT = 20_000;

/** One accepted piece of work. */
export interface WorkEntry {
  readonly work: Work;
  readonly cancelled: boolean;
  readonly tasks: readonly TaskEntry[];
}

/** A plain copy of the state, fit for a checkpoint. */
export interface ShardSnapshot {
  readonly upTo: Offset;
  readonly epoch: Epoch;
  readonly owner: MemberId | null;
  readonly works: readonly WorkEntry[];
  readonly ended: readonly WorkId[];
  readonly writers: readonly (readonly [WriterId, Sequence])[];
}

export class ShardFold {
  private currentEpoch: Epoch = brandAs<Epoch>(0);
  private currentOwner: MemberId | null = null;
  private next: Offset = brandAs<Offset>(0);
  private writers = new Writers();
  private readonly entries = new Map<WorkId, WorkEntry>();
  private readonly requests = new Map<string, WorkId>();
  /** Ended works, oldest first. */
  private readonly endedWorks = new Set<WorkId>();

  get epoch(): Epoch {
    return this.currentEpoch;
  }

  /** The owner, or none before the first claim and after a release. */
  get owner(): MemberId | null {
    return this.currentOwner;
  }

  /** The offset below which all entries are folded. */
  get upTo(): Offset {
    return this.next;
  }

  get works(): ReadonlyMap<WorkId, WorkEntry> {
    return this.entries;
  }

  get(work: WorkId): WorkEntry | undefined {
    return this.entries.get(work);
  }

  /** The work that an earlier request with this id was accepted as. */
  findRequest(team: TeamId, request: RequestId): WorkId | undefined {
    return this.requests.get(requestKey(team, request));
  }

  task(id: TaskId): TaskEntry | undefined {
    return this.entries.get(workOfTask(id))?.tasks[indexOf(id)];
  }

  apply(stamped: Stamped<ShardRecord>, offset: Offset): Effect {
    this.next = brandAs<Offset>(Math.max(this.next, offset + 1));
    if (!this.writers.admit(stamped.writer, stamped.sequence)) {
      return REPEATED;
    }
    const problem = this.effectOf(stamped.record);
    return problem === undefined ? APPLIED : { kind: 'void', reason: problem };
  }

  snapshot(): ShardSnapshot {
    return {
      upTo: this.next,
      epoch: this.currentEpoch,
      owner: this.currentOwner,
      works: [...this.entries.values()],
      ended: [...this.endedWorks],
      writers: this.writers.entries(),
    };
  }

  static restore(snapshot: ShardSnapshot): ShardFold {
    const fold = new ShardFold();
    fold.next = snapshot.upTo;
    fold.currentEpoch = snapshot.epoch;
    fold.currentOwner = snapshot.owner;
    fold.writers = new Writers(snapshot.writers);
    for (const entry of snapshot.works) {
      fold.entries.set(entry.work.id, entry);
      fold.requests.set(requestKey(entry.work.team, entry.work.requestId), entry.work.id);
    }
    for (const work of snapshot.ended) {
      fold.endedWorks.add(work);
    }
    return fold;
  }

  private effectOf(record: ShardRecord): VoidReason | undefined {
    if (record.kind === 'checkpoint') {
      return undefined;
    }
    if (record.kind === 'claim') {
      return this.claim(record.epoch, record.owner);
    }
    if (record.epoch !== this.currentEpoch || this.currentOwner === null) {
      return 'stale_epoch';
    }
    return match(record)
      .with({ kind: 'release' }, () => {
        this.release();
        return undefined;
      })
      .with({ kind: 'accept' }, ({ work }) => this.accept(work))
      .with({ kind: 'cancel' }, ({ works }) => {
        this.cancel(works);
        return undefined;
      })
      .with({ kind: 'place' }, ({ attempts }) => this.place(attempts))
      .with({ kind: 'end' }, ({ attempt, outcome }) => this.end(attempt, outcome))
      .exhaustive();
  }

  private claim(epoch: Epoch, owner: MemberId): VoidReason | undefined {
    if (epoch !== nextEpoch(this.currentEpoch)) {
      return 'stale_epoch';
    }
    this.currentEpoch = epoch;
    this.currentOwner = owner;
    return undefined;
  }

  private release(): void {
    this.currentOwner = null;
  }

  private accept(work: Work): VoidReason | undefined {
    const key = requestKey(work.team, work.requestId);
    if (this.requests.has(key)) {
      return 'repeated_request';
    }
    this.requests.set(key, work.id);
    const tasks = Array.from({ length: taskCountOf(work.shape) }, () => NEW_TASK);
    this.entries.set(work.id, { work, cancelled: false, tasks });
    return undefined;
  }

  private cancel(works: readonly WorkId[]): void {
    for (const id of works) {
      const entry = this.entries.get(id);
      if (entry !== undefined && !entry.cancelled) {
        this.update({ ...entry, cancelled: true, tasks: entry.tasks.map(cancelWaiting) });
      }
    }
  }

  private place(attempts: readonly Attempt[]): VoidReason | undefined {
    const problem = attempts
      .map((attempt) => this.placeProblem(attempt))
      .find((found) => found !== undefined);
    if (problem !== undefined) {
      return problem;
    }
    for (const attempt of attempts) {
      this.updateTask(attempt.task, (entry) => ({
        ...entry,
        attempts: entry.attempts + 1,
        worker: attempt.worker,
        state: { kind: 'placed', attempt },
      }));
    }
    return undefined;
  }

  private placeProblem(attempt: Attempt): VoidReason | undefined {
    const state = this.task(attempt.task)?.state;
    if (state === undefined) {
      return 'unknown_work';
    }
    return match(state)
      .with({ kind: 'waiting' }, () => undefined)
      .with({ kind: 'placed' }, () => 'already_placed' as const)
      .with({ kind: 'ended' }, () => 'already_ended' as const)
      .exhaustive();
  }

  private end(attempt: AttemptId, outcome: Outcome): VoidReason | undefined {
    const task = taskOfAttempt(attempt);
    const entry = this.entries.get(workOfTask(task));
    const state = this.task(task)?.state;
    if (entry === undefined || state === undefined) {
      return 'unknown_work';
    }
    if (state.kind !== 'placed' || state.attempt.id !== attempt) {
      return 'already_ended';
    }
    this.updateTask(task, (old) => afterEnd(entry.work, old, outcome, entry.cancelled));
    return undefined;
  }

  private updateTask(id: TaskId, change: (entry: TaskEntry) => TaskEntry): void {
    const entry = this.entries.get(workOfTask(id));
    if (entry === undefined) {
      return;
    }
    const index = indexOf(id);
    const tasks = entry.tasks.map((task, at) => (at === index ? change(task) : task));
    this.update({ ...entry, tasks });
  }

  private update(entry: WorkEntry): void {
    this.entries.set(entry.work.id, entry);
    if (hasEnded(entry)) {
      this.endedWorks.add(entry.work.id);
      this.forgetOldest();
    }
  }

  private forgetOldest(): void {
    for (const id of this.endedWorks) {
      if (this.endedWorks.size <= MAX_ENDED_KEPT) {
        return;
      }
      this.forget(id);
    }
  }

  private forget(id: WorkId): void {
    const entry = this.entries.get(id);
    this.endedWorks.delete(id);
    this.entries.delete(id);
    if (entry !== undefined) {
      this.requests.delete(requestKey(entry.work.team, entry.work.requestId));
    }
  }
}

/** Whether no task of the work will run any more. */
export function hasEnded(entry: WorkEntry): boolean {
  return entry.tasks.every((task) => task.state.kind === 'ended');
}

function cancelWaiting(entry: TaskEntry): TaskEntry {
  if (entry.state.kind !== 'waiting') {
    return entry;
  }
  return { ...entry, state: { kind: 'ended', outcome: { kind: 'cancelled' } } };
}

function requestKey(team: TeamId, request: RequestId): string {
  return `${team} ${request}`;
}

function indexOf(task: TaskId): number {
  return Number(task.slice(task.lastIndexOf('/') + 1));
}
