/** Frees resources for urgent tasks that fit nowhere, by stopping work that can continue later. */

import type { AttemptId, WorkerId, WorkId } from '@bamboowell/types/ids';
import { hasPassed, deadlineAfter, type Deadline } from '@bamboowell/types/time';
import { taskCountOf } from '@bamboowell/types/work';
import type { Candidate } from '@bamboowell/policy/ordering';
import {
  chooseVictims,
  type OccupiedWorker,
  type RunningAttempt,
} from '@bamboowell/policy/preemption';
import type { Context } from './context.js';
import type { LiveAttempt, LiveAttempts } from './live-attempts.js';
import type { Stops } from './stops.js';

/** Time to wait for stopped attempts to end before others are stopped, milliseconds. */
const ROOM_TIMEOUT_MILLIS = 2_000;

/** Resources that are being freed on one worker. */
interface PendingRoom {
  readonly worker: WorkerId;
  readonly until: Deadline;
}

export class Preemptions {
  /** Urgent work for which resources are being freed. */
  private readonly pending = new Map<WorkId, PendingRoom>();

  constructor(
    private readonly context: Context,
    private readonly live: LiveAttempts,
    private readonly stops: Stops,
  ) {}

  /** Stops the cheapest attempts on one worker, unless resources for the work are pending. */
  makeRoomFor(candidate: Candidate): void {
    if (candidate.urgency !== 'urgent' || this.isPending(candidate.work)) {
      return;
    }
    const victims = chooseVictims(
      this.occupiedWorkers(candidate.work),
      candidate.demand,
      (team) => this.context.ordering.excessOf(team),
      this.context.now,
    );
    if (victims === undefined) {
      return;
    }
    const until = deadlineAfter(this.context.now, ROOM_TIMEOUT_MILLIS);
    this.pending.set(candidate.work, { worker: victims.worker, until });
    for (const { attempt, checkpointable } of victims.attempts) {
      this.preempt(attempt, checkpointable, candidate.work);
    }
  }

  /** Whether resources are being freed on the worker for other work, which must not lose them. */
  isReservedForOther(worker: WorkerId, work: WorkId): boolean {
    for (const [other, room] of this.pending) {
      if (other !== work && room.worker === worker && this.isPending(other)) {
        return true;
      }
    }
    return false;
  }

  /** Forgets work that was placed. */
  forget(work: WorkId): void {
    this.pending.delete(work);
  }

  clear(): void {
    this.pending.clear();
  }

  private preempt(attempt: AttemptId, checkpoint: boolean, by: WorkId): void {
    const live = this.live.get(attempt);
    if (live !== undefined) {
      this.context.event('preempted', { attempt, by });
      this.context.emit({ kind: 'retried', reason: 'preempted' });
      this.stops.stop(live, checkpoint);
    }
  }

  private isPending(work: WorkId): boolean {
    const room = this.pending.get(work);
    return room !== undefined && !hasPassed(room.until, this.context.now);
  }

  private *occupiedWorkers(work: WorkId): Iterable<OccupiedWorker> {
    const { fleet } = this.context;
    for (const fleetWorker of fleet.all()) {
      const worker = fleetWorker.profile.id;
      if (fleetWorker.usable && !this.isReservedForOther(worker, work)) {
        const attempts = this.live.onWorker(worker).flatMap((live) => this.runningOf(live) ?? []);
        yield { worker, free: fleet.freeOf(fleetWorker), attempts };
      }
    }
  }

  private runningOf(live: LiveAttempt): RunningAttempt | undefined {
    const work = this.context.fold.get(live.work)?.work;
    if (work === undefined || live.stopping || live.phase !== 'running') {
      return undefined;
    }
    return {
      attempt: live.attempt.id,
      team: live.team,
      demand: live.demand,
      urgency: work.urgency,
      idempotent: work.idempotent || work.shape.kind === 'service',
      checkpointable: work.checkpointable,
      gangSize: work.shape.kind === 'gang' ? taskCountOf(work.shape) : 1,
      startedAt: live.knownSince,
    };
  }
}
