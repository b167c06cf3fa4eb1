/** Tracks failures of workers and of work: quarantines workers, and delays or sets aside work. */

import type { WorkerId, WorkId } from '@bamboowell/types/ids';
import { deadlineAfter, hasPassed, type Deadline } from '@bamboowell/types/time';
import type { Outcome, Work } from '@bamboowell/types/work';
import { JobHealth } from '@bamboowell/policy/job-health';
import { RetryBudgets, type Backoff } from '@bamboowell/policy/retry';
import { WorkerHealth, type HealthChange } from '@bamboowell/policy/worker-health';
import type { Context } from './context.js';
import type { Sessions } from './sessions.js';
import type { WaitingTasks } from './waiting-tasks.js';

/** A replica's end within this time after the last one counts as a repeat, milliseconds. */
const RESTART_WINDOW_MILLIS = 60_000;

interface Restarts {
  readonly count: number;
  readonly countsUntil: Deadline;
}

export class Health {
  private readonly workers = new WorkerHealth();
  private readonly jobs = new JobHealth();
  private readonly budgets = new RetryBudgets();
  private readonly restarts = new Map<WorkId, Restarts>();

  constructor(
    private readonly context: Context,
    private readonly sessions: Sessions,
    private readonly waiting: WaitingTasks,
    private readonly backoff: Backoff,
  ) {}

  /** Counts the end of an attempt. `failures` is the number of failed attempts of its task. */
  recordOutcome(work: Work, worker: WorkerId, outcome: Outcome, failures: number): void {
    if (work.shape.kind === 'service' && outcome.kind === 'succeeded') {
      this.delayRestart(work);
    }
    if (outcome.kind === 'succeeded') {
      this.jobs.clearFailures(work.id);
      this.applyChange(this.workers.recordSuccess(worker, work.queue));
    } else if (outcome.kind === 'failed') {
      this.failed(work, worker, failures);
    } else {
      this.recordInconclusive(worker);
    }
  }

  /** Counts the end of an attempt that says nothing about the health of its worker. */
  recordInconclusive(worker: WorkerId): void {
    this.workers.recordInconclusive(worker);
    this.refresh(worker);
  }

  /** Counts the end of a quick call's attempt. Calls are never set aside or held back. */
  recordCallOutcome(call: Work, worker: WorkerId, outcome: Outcome): void {
    if (outcome.kind === 'succeeded') {
      this.applyChange(this.workers.recordSuccess(worker, call.queue));
    } else if (outcome.kind === 'failed') {
      this.applyChange(this.workers.recordFailure(worker, call.queue, call.id, this.context.now));
    } else {
      this.recordInconclusive(worker);
    }
  }

  recordPlacement(worker: WorkerId): void {
    this.workers.recordPlacement(worker, this.context.now);
    this.refresh(worker);
  }

  setWorkerCount(count: number): void {
    this.workers.setWorkerCount(count);
  }

  endQuarantines(): void {
    this.budgets.sweep(this.context.now);
    for (const change of this.workers.endQuarantines(this.context.now)) {
      this.applyChange(change);
    }
  }

  nextDeadline(): Deadline | undefined {
    return this.workers.nextDeadline();
  }

  /** Delays the restart of a replica that ended by itself. The delay grows with repeated ends. */
  private delayRestart(work: Work): void {
    const { now } = this.context;
    const before = this.restarts.get(work.id);
    const isRepeat = before !== undefined && !hasPassed(before.countsUntil, now);
    const count = isRepeat ? before.count + 1 : 1;
    this.restarts.set(work.id, { count, countsUntil: deadlineAfter(now, RESTART_WINDOW_MILLIS) });
    this.waiting.hold(work.id, this.backoff.retryAt(count, now));
  }

  private failed(work: Work, worker: WorkerId, failures: number): void {
    const isTrusted = this.workers.isTrusted(worker, work.queue);
    const isSetAside = this.jobs.recordFailure(work.id, worker, isTrusted);
    this.applyChange(this.workers.recordFailure(worker, work.queue, work.id, this.context.now));
    if (isSetAside) {
      this.context.event('work_set_aside', { work: work.id });
      this.waiting.setAside(work.id);
      return;
    }
    this.waiting.hold(work.id, this.retryAt(work, Math.max(1, failures)));
  }

  /** The time of the next retry: after the backoff, and once the team's retry budget allows it. */
  private retryAt(work: Work, failures: number): Deadline {
    const { now } = this.context;
    const backedOff = this.backoff.retryAt(failures, now);
    if (this.budgets.spend(work.team, now)) {
      return backedOff;
    }
    const budgeted = this.budgets.nextAt(work.team, now);
    return budgeted > backedOff ? budgeted : backedOff;
  }

  private applyChange(change: HealthChange | undefined): void {
    if (change !== undefined) {
      this.context.event('worker_health', { worker: change.worker, standing: change.state });
      this.refresh(change.worker);
    }
  }

  private refresh(worker: WorkerId): void {
    const session = this.sessions.get(worker);
    if (session !== undefined) {
      this.sessions.setQuarantined(session, !this.workers.mayPlace(worker));
    }
  }
}
