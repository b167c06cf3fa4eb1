/** Handles reports of runs and their ends, unreachable workers, and incarnations that ended. */

import {
  NO_PROGRESS,
  type EndedEntry,
  type EndNumber,
  type RunningEntry,
  type WorkerIncarnation,
} from '@bamboowell/types/job';
import { earlier, hasPassed, type Deadline } from '@bamboowell/types/time';
import type { JobContext } from './context.js';
import type { Lifecycle } from './lifecycle.js';
import type { WorkerReport } from './messages.js';
import { NEVER_HEARD, isEnded, runKey, type Run, type Task, type Worker } from './model.js';
import type { Orders } from './orders.js';
import type { Quarantines } from './quarantines.js';
import type { Successors } from './successors.js';
import type { WorkerCrashes } from './worker-crashes.js';

/** Most ends in one report; a report with as many may leave ends out. */
const MAX_LISTED_ENDS = 500;

export class Reports {
  constructor(
    private readonly context: JobContext,
    private readonly lifecycle: Lifecycle,
    private readonly orders: Orders,
    private readonly quarantines: Quarantines,
    private readonly crashes: WorkerCrashes,
    private readonly successors: Successors,
  ) {}

  receive(report: WorkerReport): void {
    const worker = this.context.workers.get(report.incarnation);
    if (worker === undefined || report.askedAt < worker.linkedAt) {
      return;
    }
    if (!worker.isReachable) {
      this.context.event('worker.regained', { worker: worker.id });
    }
    const { unknownRuns } = worker;
    const isNews = !worker.isReachable || !worker.hasReported || report.ended.length > 0;
    worker.isReachable = true;
    worker.lastHeardAt = this.context.now;
    worker.startLimit = Math.max(1, report.startLimit);
    const { lapsedRuns } = worker;
    worker.lapsedRuns = [];
    const listed = new Set<string>();
    worker.unknownRuns = 0;
    for (const entry of report.running) {
      listed.add(runKey(entry.task, entry.run));
      this.handleRunning(worker, entry, lapsedRuns);
    }
    this.handleEnds(worker, report.ended);
    const isComplete = report.ended.length < MAX_LISTED_ENDS;
    if (isComplete && worker.hasReported) {
      this.loseUnlistedRuns(worker, listed, report);
    } else if (isComplete) {
      this.handleFirstReport(worker, listed);
    }
    if (report.suspension !== undefined) {
      // What was dropped has been withdrawn by earlier outputs.
      const { incarnation, suspension } = report;
      this.context.emit({ kind: 'renew', incarnation, suspension });
    }
    // Nearly all reports say only that the worker works on.
    if (isNews || worker.unknownRuns !== unknownRuns) {
      this.context.needsPlacement = true;
    }
  }

  /** Its runs may continue until its lease lapses at `lapsesAt`; after that they are lost. */
  markUnreachable(worker: Worker, lapsesAt: Deadline): void {
    if (worker.isReachable) {
      this.context.event('worker.unreachable', {
        worker: worker.id,
        runs: worker.runs.size,
        lapsesInMillis: Math.round(lapsesAt - this.context.now),
      });
      worker.runs.forEach((run) => {
        // It may end at any time before the worker answers again.
        run.isTimed = false;
      });
    }
    worker.isReachable = false;
    // A link that has never had an answer has renewed no lease, and may not know how soon earlier ones end.
    const isHeard = worker.lastHeardAt !== NEVER_HEARD;
    worker.lapsesAt = isHeard ? lapsesAt : earlier(worker.lapsesAt, lapsesAt);
  }

  /** The leases of earlier owners end at `endAt` instead of `before` on workers that were never heard. */
  bringForwardEarlierLeases(before: Deadline, endAt: Deadline): void {
    for (const worker of this.context.workers.values()) {
      if (worker.lastHeardAt === NEVER_HEARD && worker.lapsesAt === before) {
        worker.lapsesAt = endAt;
      }
    }
  }

  /** Drops the runs of workers whose lease has lapsed, and removes such workers if unregistered. */
  expireLeases(): void {
    for (const worker of this.context.workers.values()) {
      if (!worker.isReachable && hasPassed(worker.lapsesAt, this.context.now)) {
        this.rememberLapsedRuns(worker);
        this.loseAllRuns(worker, 'lapsed');
        if (!worker.isRegistered) {
          this.remove(worker);
        }
      }
    }
  }

  /** The worker may have crashed, which shows only when its next process answers. */
  private rememberLapsedRuns(worker: Worker): void {
    const confirmed = [...worker.runs.values()].filter(
      ({ confirmedAt }) => confirmedAt !== undefined,
    );
    if (confirmed.length > 0) {
      worker.lapsedRuns = confirmed;
    }
  }

  /**
   * Handles the end of an incarnation: none of its runs continues, but a start of one may have reached the
   * successor.
   */
  endIncarnation(worker: Worker, reason: string, successor: WorkerIncarnation | undefined): void {
    if (!worker.registration.isDraining) {
      this.crashes.recordCrash(worker);
    }
    this.successors.recordEnd(worker.incarnation);
    if (successor !== undefined) {
      this.successors.moveUnproven(worker, successor);
    }
    this.loseAllRuns(worker, reason);
    this.remove(worker);
  }

  private remove(worker: Worker): void {
    this.context.workers.delete(worker.incarnation);
    if (this.context.currentIncarnations.get(worker.id) === worker) {
      this.context.currentIncarnations.delete(worker.id);
    }
    this.quarantines.forget(worker.id);
    this.context.emit({ kind: 'part', incarnation: worker.incarnation });
    this.context.event('worker.over', { worker: worker.id, life: worker.incarnation });
  }

  /**
   * Handles the first complete report to this owner: a run that it doesn't list, and whose end was not
   * listed, never started there and never will.
   */
  private handleFirstReport(worker: Worker, listed: ReadonlySet<string>): void {
    worker.hasReported = true;
    for (const run of [...worker.runs.values()]) {
      if (!listed.has(runKey(run.task.id, run.number))) {
        this.loseRun(run, 'not_started');
      } else if (run.phase === 'stopping') {
        this.orders.sendStop(worker.incarnation, run.task.id, run.number);
      }
    }
    this.context.event('worker.met', { worker: worker.id, runs: worker.runs.size });
  }

  private handleRunning(
    worker: Worker,
    entry: RunningEntry,
    lapsedRuns: Worker['lapsedRuns'],
  ): void {
    const run = worker.runs.get(runKey(entry.task, entry.run));
    if (run === undefined) {
      worker.unknownRuns += 1;
      this.orders.sendStop(worker.incarnation, entry.task, entry.run);
      this.context.event('run.unknown', { worker: worker.id, task: entry.task, run: entry.run });
      this.checkLapse(worker, entry, lapsedRuns);
      return;
    }
    if (run.phase === 'ordered' || run.phase === 'recorded') {
      run.phase = 'running';
      this.context.startConfirmed(run);
    }
    run.confirmedAt ??= this.context.now;
    const { now } = this.context;
    const { percent } = entry;
    const earlier = run.progress;
    const firstSeenAt = earlier?.percent === percent ? earlier.firstSeenAt : now;
    run.progress = { percent, firstSeenAt, lastSeenAt: now };
    if (entry.saved !== NO_PROGRESS && !run.task.isDone) {
      this.saveProgress(run.task, entry.saved);
    }
  }

  /** Logs a run that works on though this owner has taken its lease for lapsed: it may run elsewhere too. */
  private checkLapse(
    worker: Worker,
    { task, run }: RunningEntry,
    lapsed: Worker['lapsedRuns'],
  ): void {
    if (lapsed.some((each) => each.task.id === task && each.number === run)) {
      const lapsedForMillis = Math.round(this.context.now - worker.lapsesAt);
      this.context.event('run.outlived_lease', { worker: worker.id, task, run, lapsedForMillis });
    }
  }

  private handleEnds(worker: Worker, ended: readonly EndedEntry[]): void {
    const newEnds = ended.filter(({ number }) => number > worker.lastProcessedEnd);
    if (newEnds.length === 0) {
      return;
    }
    newEnds.sort((left, right) => left.number - right.number);
    for (const entry of newEnds) {
      this.handleEnd(worker, entry);
    }
    const upTo = newEnds.at(-1)?.number ?? worker.lastProcessedEnd;
    worker.lastProcessedEnd = upTo;
    this.acknowledgeAfterCommit(worker, upTo);
  }

  private acknowledgeAfterCommit(worker: Worker, upTo: EndNumber): void {
    this.context.afterCommit(() => {
      this.context.emit({ kind: 'acknowledge', incarnation: worker.incarnation, upTo });
    });
  }

  private handleEnd(worker: Worker, entry: EndedEntry): void {
    const task = this.context.task(entry.task);
    const run = worker.runs.get(runKey(entry.task, entry.run));
    this.context.event('task.ended', {
      task: entry.task,
      run: entry.run,
      worker: worker.id,
      end: entry.end,
      number: entry.number,
    });
    if (run !== undefined) {
      this.context.recordStart(run.task.step.job);
      this.context.detach(run);
    }
    if (task !== undefined && !isEnded(task.step.job.state) && !task.isDone) {
      this.applyEnd(task, entry, worker, run);
    }
  }

  private applyEnd(task: Task, entry: EndedEntry, worker: Worker, run: Run | undefined): void {
    const queue = task.step.job.plan?.queue;
    if (entry.end === 'done' && !task.step.plan.isLasting) {
      this.quarantines.recordSuccess(worker.id, queue);
      if (run !== undefined) {
        this.context.runTimes.record(run, this.context.now);
      }
      this.lifecycle.runSucceeded(task, entry.run);
      return;
    }
    if (entry.saved !== NO_PROGRESS) {
      this.saveProgress(task, entry.saved);
    }
    if (entry.end === 'failed' && run !== undefined) {
      this.quarantines.recordFailure(worker.id, queue, task.step.job.id);
      this.lifecycle.runFailed(task, worker, entry.run);
    }
    this.lifecycle.enqueueIfReady(task.step);
  }

  /** Saved progress of any member of a gang holds for all of them. */
  private saveProgress(task: Task, saved: RunningEntry['saved']): void {
    const members = task.step.plan.isGang ? task.step.tasks : [task];
    members.forEach((member) => {
      member.saved = saved;
    });
  }

  /** Drops runs that were confirmed before the report was requested and that it no longer lists. */
  private loseUnlistedRuns(
    worker: Worker,
    listed: ReadonlySet<string>,
    report: WorkerReport,
  ): void {
    for (const run of [...worker.runs.values()]) {
      const wasRunning = run.confirmedAt !== undefined && run.confirmedAt < report.askedAt;
      if (wasRunning && !listed.has(runKey(run.task.id, run.number))) {
        this.loseRun(run, 'vanished');
      }
    }
  }

  private loseAllRuns(worker: Worker, reason: string): void {
    for (const run of [...worker.runs.values()]) {
      this.context.withdraw(run);
      this.loseRun(run, reason);
    }
    worker.unknownRuns = 0;
  }

  /** How long ago the worker was heard, for the log; nothing if it never answered this owner. */
  private heardBefore({ lastHeardAt }: Worker): Readonly<Record<string, number>> {
    return lastHeardAt === NEVER_HEARD
      ? {}
      : { heardBeforeMillis: Math.round(this.context.now - lastHeardAt) };
  }

  private loseRun(run: Run, reason: string): void {
    const { task } = run;
    this.context.detach(run);
    this.context.event('run.lost', {
      task: task.id,
      run: run.number,
      worker: run.worker.id,
      reason,
      phase: run.phase,
      ...this.heardBefore(run.worker),
    });
    if (!isEnded(task.step.job.state)) {
      this.lifecycle.enqueueIfReady(task.step);
    }
    if (task.step.plan.isGang) {
      this.orders.stopGang(task.step, run.number);
    }
  }
}
