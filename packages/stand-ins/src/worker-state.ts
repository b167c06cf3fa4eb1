/**
 * The state of the worker stand-in, without its sockets: fencing, starts, leases, stops and
 * outcomes.
 */

import { brandAs, type AttemptId, type Epoch } from '@bamboowell/types/ids';
import { NO_RESOURCES, type Resources } from '@bamboowell/types/resources';
import type { Deadline, WorkerInstant } from '@bamboowell/types/time';
import type { Outcome } from '@bamboowell/types/work';
import type { WorkerClock } from './worker-clock.js';
import { programOf, type Program, type Start, type Switches } from './worker-protocol.js';
import { WorkerRuns, type EndedAttempt, type RunningAttempt } from './worker-runs.js';

export type StartRefusal = 'late' | 'no_room' | 'leaving' | 'fenced';

export type StartResult =
  | { readonly kind: 'started'; readonly running: RunningAttempt }
  /** The attempt was started before and is not started again. */
  | { readonly kind: 'repeated' }
  | { readonly kind: 'refused'; readonly why: StartRefusal };

interface Checkpoint {
  readonly ranMillis: number;
}

export class WorkerState {
  readonly runs: WorkerRuns;
  private highestEpoch: Epoch = brandAs<Epoch>(0);
  private readonly refusals = new Map<AttemptId, StartRefusal>();

  constructor(
    capacity: Resources,
    private readonly clock: WorkerClock,
    private readonly switches: Readonly<Switches>,
  ) {
    this.runs = new WorkerRuns(capacity);
  }

  get epoch(): Epoch {
    return this.highestEpoch;
  }

  /** Returns whether the epoch is at least the highest one seen so far, and if so, remembers it. */
  admit(epoch: Epoch): boolean {
    if (epoch < this.highestEpoch) {
      return false;
    }
    this.highestEpoch = epoch;
    return true;
  }

  /** Starts an attempt at most once. An attempt that was refused once is always refused. */
  start(start: Start): StartResult {
    const { attempt } = start;
    if (this.runs.hasSeen(attempt)) {
      return { kind: 'repeated' };
    }
    const why = this.refusals.get(attempt) ?? this.refusalOf(start);
    if (why !== undefined) {
      this.refusals.set(attempt, why);
      return { kind: 'refused', why };
    }
    return { kind: 'started', running: this.run(start) };
  }

  /** Extends all leases; never shortens one. */
  renew(leaseUntil: WorkerInstant): void {
    const deadline = this.clock.deadlineOf(leaseUntil);
    for (const running of this.runs.running.values()) {
      running.leaseUntil = deadline > running.leaseUntil ? deadline : running.leaseUntil;
    }
  }

  /** Ends the attempt. One that has not started yet will be refused. */
  stop(attempt: AttemptId, wantsCheckpoint: boolean): EndedAttempt | undefined {
    const running = this.runs.running.get(attempt);
    if (running !== undefined) {
      return this.end(
        attempt,
        stoppedOutcome(wantsCheckpoint ? this.ranMillis(running) : undefined),
      );
    }
    if (!this.runs.hasSeen(attempt) && !this.refusals.has(attempt)) {
      this.refusals.set(attempt, 'late');
      this.runs.ended.set(attempt, {
        attempt,
        demand: NO_RESOURCES,
        outcome: { kind: 'never_started' },
      });
    }
    return this.runs.ended.get(attempt);
  }

  throttle(attempt: AttemptId): void {
    const running = this.runs.running.get(attempt);
    if (running !== undefined) {
      running.isThrottled = true;
    }
  }

  /** Ends the attempt with the outcome that its program defines. */
  finish(attempt: AttemptId): EndedAttempt | undefined {
    const running = this.runs.running.get(attempt);
    if (running === undefined) {
      return undefined;
    }
    const isFailed = this.switches.failEverything || running.program.fail === true;
    const outcome: Outcome = isFailed
      ? { kind: 'failed', detail: 'the program failed' }
      : { kind: 'succeeded', answer: running.program.answer ?? '' };
    return this.end(attempt, outcome);
  }

  /**
   * Ends the attempt if its lease has lapsed; otherwise returns the end of the lease, when to check
   * again.
   */
  checkLease(attempt: AttemptId): EndedAttempt | Deadline | undefined {
    const running = this.runs.running.get(attempt);
    if (running === undefined) {
      return undefined;
    }
    const isLapsed = this.clock.local.now() >= running.leaseUntil;
    return isLapsed ? this.end(attempt, { kind: 'stopped' }) : running.leaseUntil;
  }

  private end(attempt: AttemptId, outcome: Outcome): EndedAttempt | undefined {
    const run = this.runs.running.get(attempt)?.run;
    if (run !== undefined) {
      run.endedAt = this.clock.now();
      run.endedWallMillis = Date.now();
      run.outcome = outcome.kind;
    }
    return this.runs.end(attempt, outcome);
  }

  private refusalOf(start: Start): StartRefusal | undefined {
    if (!this.admit(start.epoch)) {
      return 'fenced';
    }
    if (this.clock.now() >= start.startBy || this.clock.now() >= start.leaseUntil) {
      return 'late';
    }
    if (this.switches.leaving) {
      return 'leaving';
    }
    return this.runs.hasRoomFor(start.demand) ? undefined : 'no_room';
  }

  private run(start: Start): RunningAttempt {
    const { attempt, epoch, demand } = start;
    const run = {
      attempt,
      epoch,
      demand,
      startedAt: this.clock.now(),
      startedWallMillis: Date.now(),
    };
    const program = resumed(programOf(start.payload), start.checkpoint);
    return this.runs.start(start, program, run, this.clock.deadlineOf(start.leaseUntil));
  }

  private ranMillis({ run }: RunningAttempt): number {
    return this.clock.now() - run.startedAt;
  }
}

function stoppedOutcome(ranMillis: number | undefined): Outcome {
  if (ranMillis === undefined) {
    return { kind: 'stopped' };
  }
  const checkpoint: Checkpoint = { ranMillis };
  return { kind: 'stopped', checkpoint: JSON.stringify(checkpoint) };
}

/** The program without the part that ran before the checkpoint. */
function resumed(program: Program, checkpoint: string | undefined): Program {
  if (checkpoint === undefined) {
    return program;
  }
  const { ranMillis } = JSON.parse(checkpoint) as Checkpoint;
  return { ...program, millis: Math.max(0, (program.millis ?? 0) - ranMillis) };
}
