/**
 * Counts the workers that crashed under each task and gives up the task that crashes them. Suspects run
 * in isolation, which tells them from tasks that only shared a worker with one.
 */

import { deadlineAfter, hasPassed, type Deadline, type Instant } from '@bamboowell/types/time';
import type { JobContext } from './context.js';
import type { Lifecycle } from './lifecycle.js';
import { isEnded, type Run, type Task, type Worker } from './model.js';

/** A task is given up after a crash in isolation if this many workers have crashed under it. */
const MAX_CRASHES_ISOLATED = 2;
/** A task is given up after this many crashes, whatever ran beside it. */
const MAX_CRASHES = 3;
/**
 * A task is given up after this many crashes with and without proof: it may take worker after worker down that
 * each come back only after their lease. The platform bounds the starts after three crashes by three.
 */
const MAX_CRASHES_UNPROVEN = 5;
/**
 * The lease of an unreachable worker may have ended this long before the end that the owner counts with,
 * milliseconds: the slack and the drift that are added, and the time that the reading of the worker's clock took.
 */
const LEASE_DOUBT_MILLIS = 600;
/** A worker that lives renews its registration within this time, as read by the owner, milliseconds. */
const REGISTRATION_SILENCE_MILLIS = 2500;
/**
 * A run that its worker confirmed longer than this before it was last heard is unlikely to be the cause
 * of its first crash, milliseconds.
 */
const YOUNG_RUN_MILLIS = 1000;
/** A run that lasts is not to blame for a crash after this long, milliseconds. */
const LASTING_RUN_MILLIS = 10_000;
/** Nothing is started beside an isolated run until it has run for this long, milliseconds. */
const ISOLATION_MILLIS = 1500;
/** Largest fraction of the workers with an isolated run, unless two workers crashed under the task. */
const MAX_ISOLATED_FRACTION = 0.15;
/** In a small cluster so many workers may have one all the same. */
const MIN_ISOLATED = 2;
/**
 * For this long after a crash of a worker, milliseconds, its next one proves nothing about an isolated run
 * there: the worker may go down and up by itself.
 */
const UNRELIABLE_MILLIS = 15_000;

export class WorkerCrashes {
  /** By the address of the worker, whose id may change with its incarnation. */
  private readonly unreliableUntil = new Map<string, Deadline>();

  constructor(
    private readonly context: JobContext,
    private readonly lifecycle: Lifecycle,
  ) {}

  /**
   * Counts a crash under each task that ran on the worker. A worker whose lease may have lapsed before its process
   * ended ran nothing any more, as behind a cut: that is no proof.
   */
  recordCrash(worker: Worker): void {
    const mayHaveLapsed = mayHaveLapsedBy(worker, this.context.now);
    const started = [...worker.runs.values()].filter(({ phase }) => phase !== 'recorded');
    const isIsolated = started.length === 1 && !this.isUnreliable(worker);
    for (const run of started) {
      if (hasLasted(run, worker)) {
        run.task.crashes = 0;
        run.task.unprovenCrashes = 0;
        this.context.markTaskChanged(run.task);
      } else if (run.confirmedAt === undefined) {
        // The start may have arrived after the crash.
        this.suspect(run.task);
      } else if (mayHaveLapsed) {
        this.recordUnproven(run, worker);
      } else {
        this.countCrash(run.task, run.number, worker, isIsolated, isYoung(run, worker));
      }
    }
    for (const run of worker.lapsedRuns) {
      if (!hasLasted(run, worker)) {
        this.recordUnproven(run, worker);
      }
    }
    const { address } = worker.registration;
    this.unreliableUntil.set(address, deadlineAfter(this.context.now, UNRELIABLE_MILLIS));
  }

  /** Whether the worker has crashed recently. */
  isUnreliable({ registration }: Worker): boolean {
    const until = this.unreliableUntil.get(registration.address);
    return until !== undefined && !hasPassed(until, this.context.now);
  }

  /** A worker may have crashed under the task, for which there is no proof. */
  suspect(task: Task): void {
    task.isSuspected = true;
  }

  /** Whether the next run of the task must be isolated, as far as workers can be spared for that. */
  needsIsolation(task: Task): boolean {
    if (task.step.plan.isGang || !isSuspect(task)) {
      return false;
    }
    return task.crashes >= MAX_CRASHES_ISOLATED || this.countIsolated() < this.maxIsolated();
  }

  /** Whether the worker has an isolated run beside which nothing may be started yet. */
  hasIsolatedRun({ runs }: Worker): boolean {
    for (const run of runs.values()) {
      if (run.isIsolated && this.isRecent(run)) {
        return true;
      }
    }
    return false;
  }

  private isRecent({ confirmedAt }: Run): boolean {
    return (
      confirmedAt === undefined ||
      !hasPassed(deadlineAfter(confirmedAt, ISOLATION_MILLIS), this.context.now)
    );
  }

  private countIsolated(): number {
    let count = 0;
    for (const worker of this.context.workers.values()) {
      count += Number(this.hasIsolatedRun(worker));
    }
    return count;
  }

  private maxIsolated(): number {
    return Math.max(MIN_ISOLATED, Math.floor(MAX_ISOLATED_FRACTION * this.context.workers.size));
  }

  /**
   * The task may have crashed its worker. That counts for little, and only if the worker was silent towards the store
   * as well before its lease ended: one that is cut off from the members alone still renews its registration.
   */
  private recordUnproven({ task, number }: Run, worker: Worker): void {
    const { job } = task.step;
    if (isEnded(job.state) || task.isDone) {
      return;
    }
    this.suspect(task);
    const wasSilent = worker.lapsesAt - worker.registeredAt >= REGISTRATION_SILENCE_MILLIS;
    task.unprovenCrashes += Number(wasSilent);
    this.context.event('task.crash_unproven', {
      task: task.id,
      run: number,
      worker: worker.id,
      wasSilent,
      unproven: task.unprovenCrashes,
      crashes: task.crashes,
    });
    const crashes = task.crashes + task.unprovenCrashes;
    if (crashes >= MAX_CRASHES_UNPROVEN) {
      this.lifecycle.giveUp(job, `${crashes} workers crashed or were lost under ${task.id}`);
    }
  }

  private countCrash(
    task: Task,
    run: Run['number'],
    worker: Worker,
    isIsolated: boolean,
    isSuspected: boolean,
  ): void {
    const { job } = task.step;
    if (isEnded(job.state) || task.isDone) {
      return;
    }
    task.crashes += 1;
    task.isSuspected ||= isSuspected;
    this.context.markTaskChanged(task);
    this.context.event('task.crashed', {
      task: task.id,
      run,
      worker: worker.id,
      crashes: task.crashes,
      isolated: isIsolated,
      suspected: task.isSuspected,
    });
    const limit = isIsolated ? MAX_CRASHES_ISOLATED : MAX_CRASHES;
    if (task.crashes >= limit) {
      this.lifecycle.giveUp(job, `${task.crashes} workers crashed under ${task.id}`);
    }
  }
}

/** Whether the worker's runs may have been ended by its lease, since it is unreachable. */
function mayHaveLapsedBy({ isReachable, lapsesAt }: Worker, now: Instant): boolean {
  return !isReachable && now >= lapsesAt - LEASE_DOUBT_MILLIS;
}

/** Whether the run is one that lasts, and had done so for long enough that it is not to blame. */
function hasLasted({ task, confirmedAt }: Run, { lastHeardAt }: Worker): boolean {
  return (
    task.step.plan.isLasting &&
    confirmedAt !== undefined &&
    lastHeardAt - confirmedAt >= LASTING_RUN_MILLIS
  );
}

/** Whether the run had begun shortly before the worker was last heard, or even later. */
function isYoung({ confirmedAt }: Run, { lastHeardAt }: Worker): boolean {
  return confirmedAt === undefined || lastHeardAt - confirmedAt < YOUNG_RUN_MILLIS;
}

function isSuspect({ crashes, isSuspected }: Task): boolean {
  return crashes >= MAX_CRASHES_ISOLATED || isSuspected;
}
