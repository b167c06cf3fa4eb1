/** Makes room for urgent tasks that fit nowhere, by stopping work that can go on later. */

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

/** Room that was made for a task is awaited for this long before more is made, milliseconds. */
const AWAIT_MILLIS = 2_000;

/** Room that is being made on one worker. */
interface Awaited {
  readonly worker: WorkerId;
  readonly until: Deadline;
}

export class Preemptions {
  /** Work for which room is being made. */
  private readonly awaited = new Map<WorkId, Awaited>();

  constructor(
    private readonly context: Context,
    private readonly live: LiveAttempts,
    private readonly stops: Stops,
  ) {}

  /** Stops the cheapest attempts on one worker, unless room is being made already. */
  makeRoomFor(candidate: Candidate): void {
    if (candidate.urgency !== 'urgent' || this.isAwaiting(candidate.work)) {
      return;
    }
    const victims = chooseVictims(
      this.occupied(candidate.work),
      candidate.demand,
      (team) => this.context.ordering.excessOf(team),
      this.context.now,
    );
    if (victims === undefined) {
      return;
    }
    const until = deadlineAfter(this.context.now, AWAIT_MILLIS);
    this.awaited.set(candidate.work, { worker: victims.worker, until });
    for (const { attempt, checkpointable } of victims.attempts) {
      this.preempt(attempt, checkpointable, candidate.work);
    }
  }

  /** Whether room is being made on the worker for other work, which would lose it. */
  isReservedForOther(worker: WorkerId, work: WorkId): boolean {
    for (const [other, awaited] of this.awaited) {
      if (other !== work && awaited.worker === worker && this.isAwaiting(other)) {
        return true;
      }
    }
    return false;
  }

  /** The work has started or is gone. */
  forget(work: WorkId): void {
    this.awaited.delete(work);
  }

  clear(): void {
    this.awaited.clear();
  }

  private preempt(attempt: AttemptId, checkpoint: boolean, by: WorkId): void {
    const live = this.live.get(attempt);
    if (live !== undefined) {
      this.context.event('preempted', { attempt, by });
      this.context.emit({ kind: 'retried', reason: 'preempted' });
      this.stops.stop(live, checkpoint);
    }
  }

  private isAwaiting(work: WorkId): boolean {
    const awaited = this.awaited.get(work);
    return awaited !== undefined && !hasPassed(awaited.until, this.context.now);
  }

  private *occupied(work: WorkId): Iterable<OccupiedWorker> {
    const { fleet } = this.context;
    for (const machine of fleet.all()) {
      const worker = machine.profile.id;
      if (machine.usable && !this.isReservedForOther(worker, work)) {
        const attempts = this.live.onWorker(worker).flatMap((live) => this.runningOf(live) ?? []);
        yield { worker, free: fleet.freeOf(machine), attempts };
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
