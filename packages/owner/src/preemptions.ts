/** Makes room for urgent tasks that fit nowhere, by stopping work that can go on later. */

import type { AttemptId, WorkId } from '@bamboowell/types/ids';
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

export class Preemptions {
  /** Work for which room is being made. */
  private readonly awaited = new Map<WorkId, Deadline>();

  constructor(
    private readonly context: Context,
    private readonly live: LiveAttempts,
    private readonly stops: Stops,
  ) {}

  /** Stops the cheapest attempts on one worker, unless room is being made already. */
  makeRoomFor(candidate: Candidate): void {
    const until = this.awaited.get(candidate.work);
    if (
      candidate.urgency !== 'urgent' ||
      (until !== undefined && !hasPassed(until, this.context.now))
    ) {
      return;
    }
    const victims = chooseVictims(
      this.occupied(),
      candidate.demand,
      (team) => this.context.ordering.excessOf(team),
      this.context.now,
    );
    if (victims === undefined) {
      return;
    }
    this.awaited.set(candidate.work, deadlineAfter(this.context.now, AWAIT_MILLIS));
    for (const { attempt, checkpointable } of victims.attempts) {
      this.preempt(attempt, checkpointable, candidate.work);
    }
  }

  /** The work has started or is gone. */
  settled(work: WorkId): void {
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

  private *occupied(): Iterable<OccupiedWorker> {
    const { fleet } = this.context;
    for (const machine of fleet.all()) {
      if (machine.usable) {
        const worker = machine.profile.id;
        const attempts = this.live.on(worker).flatMap((live) => this.runningOf(live) ?? []);
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
      together: work.shape.kind === 'gang' ? taskCountOf(work.shape) : 1,
      startedAt: live.since,
    };
  }
}
