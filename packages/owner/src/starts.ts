/** Places waiting tasks on workers, records the placement, then sends the starts. */

import {
  attemptIdOf,
  taskIdOf,
  type Sequence,
  type WorkerId,
  type WorkId,
} from '@bamboowell/types/ids';
import { fits, multiply } from '@bamboowell/types/resources';
import type { Attempt } from '@bamboowell/types/work';
import type { WorkEntry } from '@bamboowell/state/shard-fold';
import { NO_SPREAD, type Spread } from '@bamboowell/policy/fleet';
import type { Candidate, Round } from '@bamboowell/policy/ordering';
import type { Context } from './context.js';
import type { Health } from './health.js';
import type { Limits } from './limits.js';
import type { LiveAttempt, LiveAttempts } from './live-attempts.js';
import type { Preemptions } from './preemptions.js';
import type { Sessions } from './sessions.js';
import type { WaitingTasks } from './waiting-tasks.js';

/** Maximum number of tasks that one step places, so that a step stays short. */
export const MAX_PLACED_PER_STEP = 256;

/** The parts of the owner that starts use. */
export interface StartParts {
  readonly live: LiveAttempts;
  readonly limits: Limits;
  readonly sessions: Sessions;
  readonly waiting: WaitingTasks;
  readonly health: Health;
  readonly preemptions: Preemptions;
}

export class Starts {
  private readonly placing = new Map<Sequence, readonly LiveAttempt[]>();
  /** Placed attempts without a start, as the owner was not fresh or the worker was detached. */
  private readonly unsent = new Set<LiveAttempt>();

  constructor(
    private readonly context: Context,
    private readonly parts: StartParts,
  ) {}

  /** Tries to place waiting work, in order. True if it stopped early and more may be placeable. */
  place(): boolean {
    if (!this.context.mayStart || !this.context.mayUseHoldings || this.context.draining) {
      return false;
    }
    this.startUnsent();
    const round = this.context.ordering.round(this.context.now);
    let placed = 0;
    for (let next = round.next(); next !== undefined; next = round.next()) {
      placed += this.tryCandidate(next, round);
      if (placed >= MAX_PLACED_PER_STEP) {
        return true;
      }
    }
    return false;
  }

  /** Sends the starts, as the record of their placement was applied. */
  confirmed(sequence: Sequence): void {
    for (const live of this.takePlacing(sequence)) {
      live.phase = 'placed';
      this.startOrDefer(live);
    }
  }

  /** Returns the tasks to waiting, as the record of their placement was void or never sent. */
  voided(sequence: Sequence): void {
    for (const live of this.takePlacing(sequence)) {
      this.parts.live.remove(live);
      this.parts.waiting.refresh(live.attempt.task);
    }
  }

  /**
   * Sends a start. It may be sent again, because a worker runs an attempt id at most once. False if
   * it can't be sent now.
   */
  start(live: LiveAttempt): boolean {
    const epoch = this.context.ownedEpoch;
    const session = this.parts.sessions.get(live.attempt.worker);
    if (epoch === undefined || !this.context.mayStart || session?.attached !== true) {
      return false;
    }
    const startBy = this.parts.sessions.startBy(session);
    const leaseUntil = this.parts.sessions.grantLease(session);
    const entry = this.context.fold.get(live.work);
    if (startBy === undefined || leaseUntil === undefined || entry === undefined) {
      return false;
    }
    live.phase = 'starting';
    live.startBy = startBy;
    const { id, worker } = live.attempt;
    const { payload, demand } = entry.work;
    const checkpoint = this.context.fold.task(live.attempt.task)?.checkpoint;
    this.context.command(worker, {
      kind: 'start',
      epoch,
      attempt: id,
      demand,
      payload,
      startBy,
      leaseUntil,
      ...(typeof checkpoint === 'string' ? { checkpoint } : {}),
    });
    return true;
  }

  clear(): void {
    this.placing.clear();
    this.unsent.clear();
  }

  private startOrDefer(live: LiveAttempt): void {
    if (this.start(live)) {
      this.unsent.delete(live);
    } else {
      this.unsent.add(live);
    }
  }

  /** Sends the starts that could not be sent before, unless they have ended or were sent since. */
  private startUnsent(): void {
    for (const live of this.unsent) {
      const isLive = this.parts.live.get(live.attempt.id) === live;
      if (!isLive || live.phase !== 'placed' || this.start(live)) {
        this.unsent.delete(live);
      }
    }
  }

  /** Places one task of the candidate, or all tasks of a gang. Returns the number placed. */
  private tryCandidate(candidate: Candidate, round: Round): number {
    const entry = this.context.fold.get(candidate.work);
    if (entry === undefined) {
      this.context.ordering.remove(candidate.work);
      return 0;
    }
    const indices = this.parts.waiting.firstOf(candidate.work, candidate.gangSize);
    const isWhole = indices.length === candidate.gangSize;
    if (!isWhole || !this.tryPlace(candidate, entry, indices, round)) {
      return 0;
    }
    this.parts.waiting.update(candidate.work);
    round.requeue(candidate);
    return indices.length;
  }

  private tryPlace(
    candidate: Candidate,
    entry: WorkEntry,
    indices: readonly number[],
    round: Round,
  ): boolean {
    const need = multiply(candidate.demand, indices.length);
    if (!fits(need, this.parts.limits.roomOf(candidate.team))) {
      this.parts.limits.requestMore(candidate.team, need);
      round.reportBlocked(candidate, 'team_limit_reached');
      return false;
    }
    const workers = this.reserve(candidate, entry, indices);
    if (workers !== undefined && this.wouldRepeatFailure(entry, indices, workers)) {
      this.release(workers, candidate);
      return false;
    }
    if (workers === undefined) {
      this.blockedByRoom(candidate, round);
      return false;
    }
    this.parts.preemptions.forget(candidate.work);
    this.record(entry, indices, workers);
    return true;
  }

  /** No hold of capacity and no preemption helps work that all workers together can't hold. */
  private blockedByRoom(candidate: Candidate, round: Round): void {
    if (!this.context.fleet.couldEverHold(candidate.demand, candidate.gangSize)) {
      round.reportBlocked(candidate, 'fleet_too_small');
      return;
    }
    round.reportBlocked(candidate, 'no_worker_fits');
    this.parts.preemptions.makeRoomFor(candidate);
  }

  /** Reserves resources for all of the tasks or for none. */
  private reserve(
    candidate: Candidate,
    entry: WorkEntry,
    indices: readonly number[],
  ): WorkerId[] | undefined {
    const chosen: WorkerId[] = [];
    for (const index of indices) {
      const spread = this.spreadFor(entry, index, chosen);
      const worker = this.context.options.placement.choose(
        this.context.fleet,
        candidate.demand,
        spread,
      );
      if (worker === undefined || !this.reserveOn(worker, candidate)) {
        this.release(chosen, candidate);
        return undefined;
      }
      chosen.push(worker);
    }
    return chosen;
  }

  /** Reserves resources on the worker unless they are being freed for other, urgent work. */
  private reserveOn(worker: WorkerId, { work, demand }: Candidate): boolean {
    const isReserved = this.parts.preemptions.isReservedForOther(worker, work);
    return !isReserved && this.context.fleet.reserve(worker, demand);
  }

  private release(workers: readonly WorkerId[], candidate: Candidate): void {
    for (const worker of workers) {
      this.context.fleet.release(worker, candidate.demand);
    }
  }

  /**
   * Whether a single task would go back to the worker on which it failed although other usable
   * workers are large enough for it. It waits for one of those instead, because a worker on which
   * everything fails always has free resources and would get the task every time.
   */
  private wouldRepeatFailure(
    entry: WorkEntry,
    indices: readonly number[],
    workers: readonly WorkerId[],
  ): boolean {
    const [worker] = workers;
    const task = entry.tasks[indices[0] ?? 0];
    if (indices.length > 1 || task === undefined || task.failures === 0 || task.worker !== worker) {
      return false;
    }
    const { demand } = entry.work;
    return [...this.context.fleet.all()].some(
      ({ usable, profile }) => usable && profile.id !== worker && fits(demand, profile.capacity),
    );
  }

  /** Spreads replicas of a service, and keeps a failed task off its last worker if possible. */
  private spreadFor(entry: WorkEntry, index: number, chosen: readonly WorkerId[]): Spread {
    if (entry.work.shape.kind === 'service') {
      return this.spreadOf(entry, chosen);
    }
    const task = entry.tasks[index];
    return task === undefined || task.failures === 0 || task.worker === null
      ? NO_SPREAD
      : { workers: new Map([[task.worker, 1]]), racks: NO_SPREAD.racks };
  }

  private spreadOf(entry: WorkEntry, chosen: readonly WorkerId[]): Spread {
    const workers = new Map<WorkerId, number>();
    const racks = new Map(NO_SPREAD.racks);
    const placed = entry.tasks.flatMap((task) =>
      task.state.kind === 'placed' ? [task.state.attempt.worker] : [],
    );
    for (const worker of [...placed, ...this.beingPlaced(entry.work.id), ...chosen]) {
      workers.set(worker, (workers.get(worker) ?? 0) + 1);
      const rack = this.context.fleet.get(worker)?.profile.rack;
      if (rack !== undefined) {
        racks.set(rack, (racks.get(rack) ?? 0) + 1);
      }
    }
    return { workers, racks };
  }

  /** Workers of those tasks of the work whose placement records are not read back yet. */
  private beingPlaced(work: WorkId): WorkerId[] {
    const attempts = [...this.placing.values()].flat();
    return attempts.filter((live) => live.work === work).map(({ attempt }) => attempt.worker);
  }

  private record(entry: WorkEntry, indices: readonly number[], workers: readonly WorkerId[]): void {
    const epoch = this.context.ownedEpoch;
    if (epoch === undefined) {
      return;
    }
    const placed: LiveAttempt[] = [];
    for (const [at, index] of indices.entries()) {
      const attempt = this.attemptOf(entry, index, workers[at]);
      if (attempt !== undefined) {
        placed.push(this.addLive(entry, attempt));
      }
    }
    const attempts = placed.map((live) => live.attempt);
    this.placing.set(this.context.append({ kind: 'place', epoch, attempts }), placed);
  }

  private attemptOf(
    entry: WorkEntry,
    index: number,
    worker: WorkerId | undefined,
  ): Attempt | undefined {
    const incarnation =
      worker === undefined ? undefined : this.parts.sessions.get(worker)?.incarnation;
    if (worker === undefined || incarnation === undefined) {
      return undefined;
    }
    const task = taskIdOf(entry.work.id, index);
    const number = (entry.tasks[index]?.attempts ?? 0) + 1;
    return { id: attemptIdOf(task, number), task, worker, incarnation };
  }

  private addLive(entry: WorkEntry, attempt: Attempt): LiveAttempt {
    const live: LiveAttempt = {
      attempt,
      work: entry.work.id,
      team: entry.work.team,
      demand: entry.work.demand,
      durable: true,
      phase: 'placing',
      stopping: false,
      knownSince: this.context.now,
      startBy: undefined,
    };
    this.parts.waiting.markPlacing(attempt.task);
    this.parts.health.recordPlacement(attempt.worker);
    this.parts.live.add(live);
    return live;
  }

  private takePlacing(sequence: Sequence): readonly LiveAttempt[] {
    const attempts = this.placing.get(sequence) ?? [];
    this.placing.delete(sequence);
    return attempts;
  }
}
