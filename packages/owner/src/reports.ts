/** Handles reports of workers and reconciles them with the shard's stream. */

import { match } from 'ts-pattern';
import {
  taskOfAttempt,
  teamOfWork,
  workOfTask,
  type AttemptId,
  type Incarnation,
  type WorkerId,
} from '@bamboowell/types/ids';
import { add, multiply, NO_RESOURCES, type Resources } from '@bamboowell/types/resources';
import type { WorkerInstant } from '@bamboowell/types/time';
import type { Attempt, Outcome } from '@bamboowell/types/work';
import type { AttemptReport, WorkerReport } from '@bamboowell/types/worker-messages';
import type { Calls } from './calls.js';
import type { Context } from './context.js';
import type { Outcomes } from './outcomes.js';
import type { Health } from './health.js';
import type { LiveAttempt, LiveAttempts, Phase } from './live-attempts.js';
import type { UsageEnforcement } from './usage-enforcement.js';
import type { Session, Sessions } from './sessions.js';
import type { Starts } from './starts.js';
import type { Stops } from './stops.js';

type Attached = Extract<WorkerReport, { kind: 'attached' }>;
type StartRefused = Extract<WorkerReport, { kind: 'start_refused' }>;

/** The parts of the owner that handle reports. */
export interface ReportParts {
  readonly live: LiveAttempts;
  readonly sessions: Sessions;
  readonly starts: Starts;
  readonly outcomes: Outcomes;
  readonly calls: Calls;
  readonly stops: Stops;
  readonly health: Health;
  readonly usageEnforcement: UsageEnforcement;
}

export class Reports {
  constructor(
    private readonly context: Context,
    private readonly parts: ReportParts,
  ) {}

  receive(report: WorkerReport): void {
    if (this.context.ownedEpoch === undefined) {
      return;
    }
    match(report)
      .with({ kind: 'usage' }, ({ worker, workerNow, attempts, leaving }) => {
        this.heartbeat(worker, workerNow, leaving);
        this.parts.usageEnforcement.recordUsage(attempts);
      })
      .with({ kind: 'started' }, ({ attempt }) => {
        this.started(attempt);
      })
      .with({ kind: 'ended' }, ({ worker, attempt, outcome }) => {
        this.ended(worker, attempt, outcome);
      })
      .with({ kind: 'attached' }, (attached) => {
        this.attached(attached);
      })
      .with({ kind: 'fenced' }, ({ worker, epoch }) => {
        this.context.event('worker_fenced', { worker, epoch });
        this.parts.sessions.recordDetachment(worker);
      })
      .with({ kind: 'start_refused' }, (refusal) => {
        this.startRefused(refusal);
      })
      .with({ kind: 'detached' }, ({ worker }) => {
        this.context.event('worker_detached', { worker });
        this.parts.sessions.recordDetachment(worker);
      })
      .exhaustive();
  }

  /** Ends the attempts on detached workers whose leases have all ended. */
  endLapsedAttempts(): void {
    if (!this.context.mayStart) {
      return;
    }
    for (const session of this.parts.sessions.lapsed()) {
      for (const live of this.parts.live.onWorker(session.worker)) {
        this.endLapsed(live);
      }
    }
  }

  /** Tracks an attempt that is placed according to the stream. */
  adoptPlaced(attempt: Attempt, phase: Phase): LiveAttempt | undefined {
    const entry = this.context.fold.get(workOfTask(attempt.task));
    if (entry === undefined) {
      return undefined;
    }
    const live: LiveAttempt = {
      attempt,
      work: entry.work.id,
      team: entry.work.team,
      demand: entry.work.demand,
      durable: true,
      phase,
      stopping: false,
      knownSince: this.context.now,
      startBy: undefined,
    };
    this.parts.live.adopt(live);
    return live;
  }

  private attached(report: Attached): void {
    if (report.epoch !== this.context.ownedEpoch) {
      return;
    }
    const { worker, incarnation, profile, workerNow } = report;
    const isNew = this.context.fleet.get(worker) === undefined;
    const session = this.parts.sessions.recordAttachment(worker, incarnation, profile, workerNow);
    if (isNew) {
      this.countOnWorker(worker);
    }
    if (report.leaving) {
      this.parts.sessions.setLeaving(session);
    }
    this.context.event('worker_attached', { worker, attempts: report.attempts.length });
    this.reconcile(session, report);
    this.context.ordering.setCapacity(this.capacity());
    this.parts.sessions.renew(session);
  }

  /** An estimate of the capacity of all shards, which assumes that the others are like this one. */
  private capacity(): Resources {
    let sum = NO_RESOURCES;
    for (const { profile } of this.context.fleet.all()) {
      sum = add(sum, profile.capacity);
    }
    const shards = this.context.cell?.configuration.dataCentres.size ?? 1;
    return multiply(sum, Math.max(1, shards));
  }

  /** Counts the attempts on a newly attached worker against its capacity. */
  private countOnWorker(worker: WorkerId): void {
    for (const live of this.parts.live.onWorker(worker)) {
      this.context.fleet.adopt(worker, live.demand);
    }
  }

  private reconcile(session: Session, { attempts, incarnation, workerNow }: Attached): void {
    const reported = new Set(attempts.map((report) => report.attempt));
    for (const report of attempts) {
      this.reconcileReported(session.worker, incarnation, report);
    }
    for (const live of this.parts.live.onWorker(session.worker)) {
      if (!reported.has(live.attempt.id)) {
        this.reconcileMissing(live, incarnation, workerNow);
      }
    }
  }

  private reconcileReported(
    worker: WorkerId,
    incarnation: Incarnation,
    report: AttemptReport,
  ): void {
    const { attempt, demand, state } = report;
    if (state.kind === 'ended') {
      this.ended(worker, attempt, state.outcome);
      return;
    }
    const live =
      this.parts.live.get(attempt) ?? this.adoptReported(worker, incarnation, attempt, demand);
    live.phase = 'running';
    if (live.stopping) {
      // Sends the stop again, in case it did not reach the worker.
      live.stopping = false;
      this.parts.stops.stop(live, false);
    }
  }

  /**
   * Tracks an attempt that this process did not start: a quick call of an earlier owner, or a
   * leftover of durable work, which is stopped.
   */
  private adoptReported(
    worker: WorkerId,
    incarnation: Incarnation,
    id: AttemptId,
    demand: Resources,
  ): LiveAttempt {
    const task = taskOfAttempt(id);
    const work = workOfTask(task);
    const live: LiveAttempt = {
      attempt: { id, task, worker, incarnation },
      work,
      team: teamOfWork(work),
      demand,
      durable: false,
      phase: 'running',
      stopping: false,
      knownSince: this.context.now,
      startBy: undefined,
    };
    this.parts.live.adopt(live);
    if (this.context.fold.get(work) !== undefined) {
      this.parts.stops.stop(live, false);
    }
    return live;
  }

  /** Handles an attempt that the worker's present incarnation has neither running nor ended. */
  private reconcileMissing(
    live: LiveAttempt,
    incarnation: Incarnation,
    workerNow: WorkerInstant,
  ): void {
    if (live.phase === 'placing') {
      return;
    }
    if (live.attempt.incarnation !== incarnation) {
      this.finish(live, live.phase === 'placed' ? { kind: 'never_started' } : { kind: 'lost' });
      return;
    }
    if (live.startBy !== undefined && workerNow > live.startBy) {
      this.finish(live, { kind: 'never_started' });
      return;
    }
    this.startAgain(live);
  }

  private startAgain(live: LiveAttempt): void {
    if (live.stopping) {
      this.endUnsent(live);
      return;
    }
    if (live.durable) {
      this.parts.starts.start(live);
    } else {
      this.parts.calls.startAgain(live);
    }
  }

  /** Ends an attempt that got no start in this epoch. Workers refuse starts of earlier epochs. */
  private endUnsent(live: LiveAttempt): void {
    if (live.startBy === undefined) {
      this.finish(live, { kind: 'never_started' });
    }
  }

  private started(attempt: AttemptId): void {
    const live = this.parts.live.get(attempt);
    if (live !== undefined) {
      live.phase = 'running';
      this.context.emit({ kind: 'changed', work: live.work });
    }
  }

  private startRefused({ worker, attempt, why }: StartRefused): void {
    const live = this.parts.live.get(attempt);
    const session = this.parts.sessions.get(worker);
    if (session !== undefined && why === 'leaving') {
      this.parts.sessions.setLeaving(session);
    }
    if (session !== undefined && why === 'no_room') {
      this.parts.sessions.startCooldown(session);
    }
    if (live === undefined || why === 'fenced') {
      return;
    }
    if (live.durable) {
      this.context.event('start_refused', { attempt, worker, why });
      this.context.emit({ kind: 'retried', reason: 'worker_refused' });
      this.parts.outcomes.record(live, { kind: 'never_started' });
    } else {
      this.parts.calls.startRefused(live, why);
    }
  }

  private ended(worker: WorkerId, attempt: AttemptId, outcome: Outcome): void {
    const live = this.parts.live.get(attempt);
    if (live !== undefined) {
      this.finish(live, outcome);
      return;
    }
    this.endedUntracked(worker, attempt, outcome);
  }

  private finish(live: LiveAttempt, outcome: Outcome): void {
    if (live.durable) {
      this.parts.outcomes.record(live, outcome);
      return;
    }
    this.parts.calls.ended(live, outcome);
    this.forget(live.attempt.worker, live.attempt.id);
  }

  private endedUntracked(worker: WorkerId, attempt: AttemptId, outcome: Outcome): void {
    const state = this.context.fold.task(taskOfAttempt(attempt))?.state;
    if (state?.kind === 'placed' && state.attempt.id === attempt) {
      if (!this.parts.outcomes.isRecording(attempt)) {
        this.parts.outcomes.recordUntracked(attempt, worker, outcome);
      }
      return;
    }
    this.forget(worker, attempt);
  }

  private forget(worker: WorkerId, attempt: AttemptId): void {
    const epoch = this.context.ownedEpoch;
    if (epoch !== undefined) {
      this.context.command(worker, { kind: 'forget', epoch, attempts: [attempt] });
    }
  }

  private heartbeat(worker: WorkerId, workerNow: Attached['workerNow'], leaving: boolean): void {
    const session = this.parts.sessions.get(worker);
    if (session?.attached !== true) {
      return;
    }
    this.parts.sessions.recordClock(session, workerNow);
    this.attachAgainIfOverdue(session, workerNow);
    if (leaving && !session.leaving) {
      this.context.event('worker_leaving', { worker });
      this.parts.sessions.setLeaving(session);
    }
  }

  /** Asks the worker again for its attempts if a start was not reported by its deadline. */
  private attachAgainIfOverdue(session: Session, workerNow: WorkerInstant): void {
    const isOverdue = this.parts.live
      .onWorker(session.worker)
      .some(
        ({ phase, startBy }) =>
          phase === 'starting' && startBy !== undefined && startBy < workerNow,
      );
    const epoch = this.context.ownedEpoch;
    if (isOverdue && epoch !== undefined) {
      const { shard, member } = this.context.options;
      this.context.command(session.worker, { kind: 'attach', epoch, shard, member });
    }
  }

  private endLapsed(live: LiveAttempt): void {
    if (live.phase === 'placing' || live.phase === 'ending') {
      return;
    }
    this.context.event('lease_lapsed', { attempt: live.attempt.id, worker: live.attempt.worker });
    this.context.emit({ kind: 'retried', reason: 'lease_lapsed' });
    this.finish(live, live.phase === 'placed' ? { kind: 'never_started' } : { kind: 'lost' });
  }
}
