/**
 * Starts a second run elsewhere of a task that takes far longer than nearly all tasks of its kind, for loads
 * where a few runs in a hundred take many times as long as the others. The first run to end counts, and the
 * other one is stopped. Only tasks whose plan allows copies get one; any other task never has two runs.
 */

import { fits } from '@bamboowell/types/resources';
import { brandAs } from '@bamboowell/types/ids';
import { deadlineAfter, hasPassed, type Deadline } from '@bamboowell/types/time';
import { isEligible, type AvailableWorker } from './available-workers.js';
import type { JobContext } from './context.js';
import type { Lifecycle } from './lifecycle.js';
import { allocationOf, isEnded, waitingTasks, type Run, type Step } from './model.js';
import type { Assignment } from './orders.js';
import type { Reservations } from './reservations.js';
import { endByProgress } from './run-ends.js';
import type { StepAdvice } from './step-advice.js';
import type { WorkerCrashes } from './worker-crashes.js';
import type { WorkerSelection } from './worker-selection.js';

/** A run gets a copy once it has taken this many times as long as nearly all tasks of its kind. */
const OVERDUE_FACTOR = 1.25;
/** A run that by its progress will take this many times as long gets a copy earlier. */
const SLOW_FACTOR = 2;
/** Fraction of its expected time that a run must have taken before its progress is judged. */
const MIN_SEEN_FRACTION = 0.4;
/** Less progress than this, percent, may mean that the task reports none until it ends. */
const MIN_PERCENT = 5;
/** Interval between checks, milliseconds: a quick task is over within a second. */
const CHECK_INTERVAL_MILLIS = 100;
/** Bounds the time of a check and the room that copies take at once. */
const MAX_COPIES_PER_CHECK = 4;
/** Fraction of the processor time of a service that copies leave free for what comes next. */
const RESERVED_FRACTION = 0.05;

export class Copies {
  private nextCheckAt: Deadline = brandAs<Deadline>(0);
  /** Runs that have had a copy: if that was refused or failed, there is no other. */
  private readonly copied = new WeakSet<Run>();

  constructor(
    private readonly context: JobContext,
    private readonly lifecycle: Lifecycle,
    private readonly selection: WorkerSelection,
    private readonly advice: StepAdvice,
    private readonly crashes: WorkerCrashes,
  ) {}

  /**
   * Starts the copies that are due, in the room that the pass has left and that the waiting steps don't need. Each
   * is started before the next one is assigned, so that limits on runs count it.
   */
  place(
    available: readonly AvailableWorker[],
    reservations: Reservations,
    start: (copy: Assignment) => void,
  ): void {
    const { now, load, runTimes } = this.context;
    if (!runTimes.isLearning || !hasPassed(this.nextCheckAt, now)) {
      return;
    }
    this.nextCheckAt = deadlineAfter(now, CHECK_INTERVAL_MILLIS);
    if (load.isSaturated(now)) {
      return;
    }
    const overdue = this.overdueRuns().slice(0, MAX_COPIES_PER_CHECK);
    const room = new SpareRoom(this.context, this.lifecycle.readySteps, available);
    for (const run of overdue) {
      this.assignCopy(run, available, room, reservations).forEach(start);
    }
  }

  private overdueRuns(): Run[] {
    const overdue: Run[] = [];
    for (const { runs } of this.context.workers.values()) {
      for (const run of runs.values()) {
        if (run.task.step.plan.allowsCopies && this.isOverdue(run)) {
          overdue.push(run);
        }
      }
    }
    return overdue.sort((left, right) => (left.confirmedAt ?? 0) - (right.confirmedAt ?? 0));
  }

  private isOverdue(run: Run): boolean {
    const { task, worker, confirmedAt } = run;
    const { step } = task;
    const { runTimes, now } = this.context;
    const mayHaveCopy =
      run.phase === 'running' &&
      confirmedAt !== undefined &&
      !step.plan.isGang &&
      !step.plan.isLasting &&
      !task.isDone &&
      task.runs.length === 1 &&
      !isEnded(step.job.state) &&
      !this.copied.has(run);
    // Each run may fail, and each failure counts as an attempt.
    const isWithinAttempts = task.failures + 2 <= step.job.queue.attempts;
    if (!mayHaveCopy || !isWithinAttempts || this.crashes.needsIsolation(task)) {
      return false;
    }
    const speed = runTimes.speedOf(worker.id);
    const lateMillis = runTimes.lateMillis(step) / speed;
    const seenMillis = MIN_SEEN_FRACTION * runTimes.expectedMillis(step);
    const isSlow =
      now - confirmedAt > OVERDUE_FACTOR * lateMillis ||
      leastMillisOf(run, seenMillis / speed) > SLOW_FACTOR * lateMillis;
    return isSlow && runTimes.isKnown(step) && !this.endsSoon(run);
  }

  /** Whether the run is expected to end before a copy would. */
  private endsSoon(run: Run): boolean {
    const { now, runTimes } = this.context;
    const end = endByProgress(run);
    return end !== undefined && end - now <= runTimes.expectedMillis(run.task.step);
  }

  private assignCopy(
    run: Run,
    available: readonly AvailableWorker[],
    room: SpareRoom,
    reservations: Reservations,
  ): Assignment[] {
    const { task } = run;
    const { step } = task;
    const usable = available.filter(
      (candidate) => !candidate.isClosed && isUsable(run, candidate, reservations),
    );
    if (usable.length === 0 || !room.isFor(step)) {
      return [];
    }
    if (!this.advice.hasTicket(step)) {
      this.advice.request(step, reservations);
      return [];
    }
    const admitted = usable.filter(({ worker }) => this.advice.admits(step, worker));
    if (admitted.length === 0) {
      this.advice.requestMore(step, available, reservations);
      return [];
    }
    const assignments = this.selection.assign(step, [task], admitted);
    for (const { worker } of assignments) {
      this.copied.add(run);
      room.take(step);
      this.context.event('run.copied', {
        task: task.id,
        run: run.number,
        worker: run.worker.id,
        copyOn: worker.id,
        expectedMillis: Math.round(this.context.runTimes.expectedMillis(step)),
        afterMillis: Math.round(this.context.now - (run.confirmedAt ?? this.context.now)),
      });
    }
    return assignments;
  }
}

/** Free processor time that no waiting step needs, by service, thousandths of a core. */
class SpareRoom {
  private readonly spare = new Map<string, number>();

  constructor(
    private readonly context: JobContext,
    private readonly readySteps: ReadonlySet<Step>,
    private readonly available: readonly AvailableWorker[],
  ) {}

  isFor(step: Step): boolean {
    return this.spareOf(step.job.queue.service) >= allocationOf(step.plan).millicores;
  }

  take(step: Step): void {
    const { service } = step.job.queue;
    this.spare.set(service, this.spareOf(service) - allocationOf(step.plan).millicores);
  }

  private spareOf(service: string): number {
    const known = this.spare.get(service);
    if (known !== undefined) {
      return known;
    }
    const free = this.available
      .filter(({ worker }) => worker.registration.service === service)
      .reduce((sum, each) => sum + freeForCopies(each), 0);
    const spare = free - this.neededIn(service);
    this.spare.set(service, spare);
    return spare;
  }

  private neededIn(service: string): number {
    let needed = 0;
    for (const step of this.readySteps) {
      const mayStart =
        step.job.queue.service === service &&
        this.context.obstacleOf(step) === undefined &&
        !this.context.isWaitingForTeamLimit(step);
      needed += mayStart ? waitingTasks(step).length * allocationOf(step.plan).millicores : 0;
    }
    return needed;
  }
}

/**
 * The least time that the run takes if it goes on as it did; zero if its progress tells too little.
 *
 * @param seenMillis for how long the run must have been seen.
 */
function leastMillisOf({ progress, confirmedAt }: Run, seenMillis: number): number {
  if (progress === undefined || confirmedAt === undefined || progress.percent < MIN_PERCENT) {
    return 0;
  }
  const passed = progress.lastSeenAt - confirmedAt;
  // Progress is rounded down to whole percents.
  return passed < seenMillis ? 0 : (100 * passed) / (progress.percent + 1);
}

function freeForCopies({ worker, free }: AvailableWorker): number {
  return free.millicores - RESERVED_FRACTION * worker.registration.capacity.millicores;
}

/** Workers where the task failed, and those that are kept for gangs, are left alone. */
function isUsable(
  { task, worker: runsOn }: Run,
  { worker, free }: AvailableWorker,
  reservations: Reservations,
): boolean {
  return (
    worker.id !== runsOn.id &&
    !task.failedOn.has(worker.id) &&
    !reservations.isReserved(worker) &&
    fits(allocationOf(task.step.plan), free) &&
    isEligible(worker.registration, task.step)
  );
}
