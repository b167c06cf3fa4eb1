/**
 * Folds the records of a shard's stream: who owns the shard, which work it accepted, and the state
 * of each task. Every reader that folds the same entries has the same state.
 */

import { match } from 'ts-pattern';
import {
  attemptIdOf,
  brandAs,
  nextEpoch,
  taskOfAttempt,
  type AttemptId,
  type Epoch,
  type MemberId,
  type RequestId,
  type TaskId,
  type TeamId,
  type WorkId,
} from '@bamboowell/types/ids';
import type { ShardRecord, VoidReason } from '@bamboowell/types/records';
import type { Attempt, Outcome, Work } from '@bamboowell/types/work';
import { afterEnd, afterPlace, type TaskEntry } from './task-state.js';
import { WorkTable, type TableSnapshot, type WorkEntry } from './work-table.js';
import { Fold, type FoldPosition } from './fold.js';

export { hasEnded, type WorkEntry } from './work-table.js';

type FoldedRecord = Exclude<ShardRecord, { kind: 'checkpoint' }>;

/** A plain copy of the state for a checkpoint. Taken between entries, never within one. */
export interface ShardSnapshot extends FoldPosition, TableSnapshot {
  readonly epoch: Epoch;
  readonly owner: MemberId | null;
}

export class ShardFold extends Fold<FoldedRecord> {
  private currentEpoch: Epoch = brandAs<Epoch>(0);
  private currentOwner: MemberId | null = null;
  private table = new WorkTable();

  get epoch(): Epoch {
    return this.currentEpoch;
  }

  /** The owner; `null` before the first claim and after a release. */
  get owner(): MemberId | null {
    return this.currentOwner;
  }

  get works(): ReadonlyMap<WorkId, WorkEntry> {
    return this.table.works;
  }

  get(work: WorkId): WorkEntry | undefined {
    return this.table.works.get(work);
  }

  /**
   * The work that was accepted for an earlier request with this id. `get` may no longer find it if
   * it ended long ago.
   */
  findRequest(team: TeamId, request: RequestId): WorkId | undefined {
    return this.table.findRequest(team, request);
  }

  task(id: TaskId): TaskEntry | undefined {
    return this.table.task(id);
  }

  snapshot(): ShardSnapshot {
    return {
      ...this.position(),
      epoch: this.currentEpoch,
      owner: this.currentOwner,
      ...this.table.snapshot(),
    };
  }

  static restore(snapshot: ShardSnapshot): ShardFold {
    const fold = new ShardFold();
    fold.restorePosition(snapshot);
    fold.currentEpoch = snapshot.epoch;
    fold.currentOwner = snapshot.owner;
    fold.table = WorkTable.restore(snapshot);
    return fold;
  }

  protected override effectOf(record: FoldedRecord): VoidReason | undefined {
    if (record.kind === 'claim') {
      return this.claim(record.epoch, record.owner);
    }
    if (record.epoch !== this.currentEpoch || this.currentOwner === null) {
      return 'stale_epoch';
    }
    return match(record)
      .with({ kind: 'release' }, () => {
        this.currentOwner = null;
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

  private accept(work: Work): VoidReason | undefined {
    return this.table.add(work) ? undefined : 'repeated_request';
  }

  private cancel(works: readonly WorkId[]): void {
    for (const id of works) {
      this.table.cancel(id);
    }
  }

  /** Places all attempts or none of them. */
  private place(attempts: readonly Attempt[]): VoidReason | undefined {
    const tasks = new Set(attempts.map((attempt) => attempt.task));
    if (tasks.size < attempts.length) {
      return 'already_placed';
    }
    for (const attempt of attempts) {
      const problem = this.placementProblem(attempt);
      if (problem !== undefined) {
        return problem;
      }
    }
    for (const attempt of attempts) {
      this.table.updateTask(attempt.task, (task) => afterPlace(task, attempt));
    }
    return undefined;
  }

  private placementProblem(attempt: Attempt): VoidReason | undefined {
    const task = this.table.task(attempt.task);
    if (task === undefined) {
      return 'unknown_work';
    }
    if (attempt.id !== attemptIdOf(attempt.task, task.attempts + 1)) {
      return 'already_placed';
    }
    return match(task.state)
      .with({ kind: 'waiting' }, () => undefined)
      .with({ kind: 'placed' }, () => 'already_placed' as const)
      .with({ kind: 'ended' }, () => 'already_ended' as const)
      .exhaustive();
  }

  private end(attempt: AttemptId, outcome: Outcome): VoidReason | undefined {
    const id = taskOfAttempt(attempt);
    const state = this.table.task(id)?.state;
    if (state === undefined) {
      return 'unknown_work';
    }
    if (state.kind !== 'placed' || state.attempt.id !== attempt) {
      return 'already_ended';
    }
    this.table.updateTask(id, (task, { work, cancelled }) =>
      afterEnd(work, task, outcome, cancelled),
    );
    return undefined;
  }
}
