/**
 * The running and ended attempts of a worker: their resources, leases and outcomes. Reads no clock
 * and sends nothing.
 */

import type { AttemptId, Epoch } from '@bamboowell/types/ids';
import { NO_RESOURCES, add, fits, type Resources } from '@bamboowell/types/resources';
import type { Deadline, WorkerInstant } from '@bamboowell/types/time';
import type { Outcome } from '@bamboowell/types/work';
import type { Program, Start } from './worker-protocol.js';

/** One run, as tests read it. Times are those of the worker's clock and of the wall clock. */
export interface Run {
  readonly attempt: AttemptId;
  readonly epoch: Epoch;
  readonly demand: Resources;
  readonly startedAt: WorkerInstant;
  readonly startedWallMillis: number;
  endedAt?: WorkerInstant;
  endedWallMillis?: number;
  outcome?: Outcome['kind'];
}

export interface RunningAttempt {
  readonly attempt: AttemptId;
  readonly demand: Resources;
  readonly program: Program;
  readonly run: Run;
  leaseUntil: Deadline;
  isThrottled: boolean;
}

export interface EndedAttempt {
  readonly attempt: AttemptId;
  readonly demand: Resources;
  readonly outcome: Outcome;
}

export class WorkerRuns {
  readonly running = new Map<AttemptId, RunningAttempt>();
  /** Kept until the owner says that they may be forgotten. */
  readonly ended = new Map<AttemptId, EndedAttempt>();
  /** All runs of this incarnation, in the order of their starts. */
  readonly runs: Run[] = [];
  private readonly seen = new Set<AttemptId>();

  constructor(private readonly capacity: Resources) {}

  /** Whether the attempt was ever started; if so, it is never started again. */
  hasSeen(attempt: AttemptId): boolean {
    return this.seen.has(attempt);
  }

  hasRoomFor(demand: Resources): boolean {
    return fits(add(this.held(), demand), this.capacity);
  }

  held(): Resources {
    return [...this.running.values()].reduce((sum, { demand }) => add(sum, demand), NO_RESOURCES);
  }

  start(start: Start, program: Program, run: Run, leaseUntil: Deadline): RunningAttempt {
    const { attempt, demand } = start;
    const running = { attempt, demand, program, run, leaseUntil, isThrottled: false };
    this.seen.add(attempt);
    this.running.set(attempt, running);
    this.runs.push(run);
    return running;
  }

  end(attempt: AttemptId, outcome: Outcome): EndedAttempt | undefined {
    const running = this.running.get(attempt);
    if (running === undefined) {
      return undefined;
    }
    this.running.delete(attempt);
    const ended = { attempt, demand: running.demand, outcome };
    this.ended.set(attempt, ended);
    return ended;
  }

  forget(attempts: readonly AttemptId[]): void {
    for (const attempt of attempts) {
      this.ended.delete(attempt);
    }
  }
}
