/** Sends orders to start and stop runs, and handles the answers of workers. */

import { match } from 'ts-pattern';
import { brandAs } from '@bamboowell/types/ids';
import {
  NO_PROGRESS,
  type WorkerIncarnation,
  type RunNumber,
  type StepTaskId,
} from '@bamboowell/types/job';
import { deadlineAfter } from '@bamboowell/types/time';
import { fits } from '@bamboowell/types/resources';
import type { JobContext } from './context.js';
import type { JobInput, OrderAnswer } from './messages.js';
import { runKey, type Grant, type Run, type Step, type Task, type Worker } from './model.js';
import { expiresInTransit } from './ticket-expiry.js';

/**
 * Pause in new work for a worker that answered `unwell`, milliseconds: the typical length of a short
 * disturbance.
 */
const UNWELL_COOLDOWN_MILLIS = 700;
/**
 * Pause in new work for a worker that answered `no_room`, milliseconds: its next report shows what
 * it runs.
 */
const NO_ROOM_COOLDOWN_MILLIS = 400;
/** Pause in new work for a worker to which starts could not be sent for seconds, milliseconds. */
const BUSY_LINK_COOLDOWN_MILLIS = 1000;

type AnsweredOrder = Extract<JobInput, { kind: 'order_answered' }>;

/** A task and the worker on which to start it. */
export interface Assignment {
  readonly task: Task;
  readonly worker: Worker;
  readonly grant: Grant | undefined;
  /** Whether nothing else may be started beside it for a while. */
  readonly isIsolated: boolean;
}

export class Orders {
  /** Starts that are stored, and wait until the records of evacuations have been read again. */
  private deferredStarts: Run[] = [];

  constructor(
    private readonly context: JobContext,
    private readonly failTask: (task: Task, worker: Worker, number: RunNumber) => void,
    private readonly endIncarnation: (worker: Worker) => void,
  ) {}

  /** Records the starts; each is sent once its record is stored. */
  start(step: Step, assignments: readonly Assignment[]): void {
    const { context } = this;
    const gangRunNumber = 1 + Math.max(...step.tasks.map(({ lastRun }) => lastRun));
    for (const { task, worker, grant, isIsolated } of assignments) {
      const number = step.plan.isGang ? gangRunNumber : task.lastRun + 1;
      task.lastRun = brandAs<RunNumber>(number);
      const run: Run = {
        task,
        number: task.lastRun,
        worker,
        grant,
        phase: 'recorded',
        hasUnansweredStart: false,
        confirmedAt: undefined,
        progress: undefined,
        isIsolated,
      };
      context.attach(run);
      context.markTaskChanged(task);
      context.afterCommit(() => {
        this.sendStart(run);
      });
      context.event('task.placed', {
        task: task.id,
        run: run.number,
        worker: worker.id,
        failures: task.failures,
        ...(task.crashes > 0 ? { crashes: task.crashes, isolated: isIsolated } : {}),
      });
    }
    if (step.job.state !== 'running') {
      step.job.state = 'running';
      context.markChanged(step.job);
    }
  }

  /**
   * Stops a run. If its start was sent, its resources stay allocated until the worker reports the
   * end.
   */
  stop(run: Run): void {
    if (run.phase === 'recorded') {
      this.context.detach(run);
      return;
    }
    if (run.phase !== 'stopping') {
      run.phase = 'stopping';
      this.sendStop(run.worker.incarnation, run.task.id, run.number);
    }
  }

  sendStop(incarnation: WorkerIncarnation, task: StepTaskId, run: RunNumber): void {
    this.context.emit({ kind: 'order', incarnation, order: { kind: 'stop', task, run } });
  }

  /** Stops all remaining members of a gang under this run number. */
  stopGang(step: Step, number: RunNumber): void {
    for (const task of step.tasks) {
      task.runs
        .filter((run) => run.number === number)
        .forEach((run) => {
          this.stop(run);
        });
    }
  }

  /** Sends the starts that waited for the records of evacuations, unless these are outdated again. */
  sendDeferredStarts(): void {
    const runs = this.deferredStarts;
    this.deferredStarts = [];
    runs.forEach((run) => {
      this.sendStart(run);
    });
  }

  /** Drops the runs of evacuated data centres whose starts have not been sent. */
  dropUnsentStarts(): void {
    const { evacuations, workers } = this.context;
    for (const worker of workers.values()) {
      if (evacuations.isEvacuated(worker.registration)) {
        [...worker.runs.values()]
          .filter(({ phase }) => phase === 'recorded')
          .forEach((run) => {
            this.dropUnsentStart(run);
          });
      }
    }
  }

  handleAnswer(worker: Worker, answered: AnsweredOrder): void {
    const { answer } = answered;
    const run = worker.runs.get(runKey(answered.task, answered.run));
    if (answer.kind !== 'evacuated' && answer.kind !== 'not_sent') {
      worker.lastHeardAt = this.context.now;
    }
    if (answer.kind === 'other_life') {
      this.endIncarnation(worker);
      return;
    }
    if (run === undefined) {
      return;
    }
    if (answered.order === 'start') {
      run.hasUnansweredStart = answered.hasUnansweredCopies;
      this.handleStartAnswer(run, answer);
      return;
    }
    if (run.confirmedAt === undefined) {
      // A run that wasn't there when it was stopped never starts: the next report tells.
      this.context.emit({ kind: 'probe', incarnation: worker.incarnation });
      run.confirmedAt = this.context.now;
    }
  }

  private sendStart(run: Run): void {
    const { job } = run.task.step;
    const isCurrent = run.worker.runs.get(runKey(run.task.id, run.number)) === run;
    if (!isCurrent || run.phase !== 'recorded' || job.plan === undefined) {
      return;
    }
    if (this.context.evacuations.isEvacuated(run.worker.registration)) {
      this.handleRejection(run, 'evacuated', 0);
      return;
    }
    if (!this.context.evacuations.isCurrent(this.context.now)) {
      this.deferredStarts.push(run);
      return;
    }
    if (expiresInTransit(run, this.context.now)) {
      // The worker would only refuse the start. It may be named again in the call for advice that follows.
      run.task.step.workersWithAdvice.delete(run.worker.id);
      this.handleRejection(run, 'ticket_ran_out', 0);
      return;
    }
    if (!fits(run.worker.used, run.worker.registration.capacity)) {
      this.handleRejection(run, 'capacity_shrank', 0);
      return;
    }
    run.phase = 'ordered';
    run.hasUnansweredStart = true;
    run.isTimed = run.task.saved === NO_PROGRESS;
    job.visibleState = job.visibleState === 'pending' ? 'running' : job.visibleState;
    this.context.emit({
      kind: 'order',
      incarnation: run.worker.incarnation,
      order: {
        kind: 'start',
        task: run.task.id,
        run: run.number,
        payload: job.plan.payload,
        saved: run.task.saved,
        ticket: run.grant?.ticket,
      },
    });
  }

  /** An earlier member of its gang may have dropped it already. */
  private dropUnsentStart(run: Run): void {
    if (run.task.runs.includes(run)) {
      this.handleRejection(run, 'evacuated', 0);
    }
  }

  private handleStartAnswer(run: Run, answer: OrderAnswer): void {
    match(answer)
      .with({ kind: 'done' }, { kind: 'outdated' }, () => {
        this.confirm(run);
      })
      .with({ kind: 'no_ticket' }, () => {
        run.task.step.grants.delete(run.worker.id);
        run.task.step.workersWithAdvice.delete(run.worker.id);
        this.handleRejection(run, answer.kind, 0);
      })
      .with({ kind: 'no_room' }, () => {
        this.handleRejection(run, answer.kind, NO_ROOM_COOLDOWN_MILLIS);
      })
      .with({ kind: 'unwell' }, () => {
        this.handleRejection(run, answer.kind, UNWELL_COOLDOWN_MILLIS);
      })
      .with({ kind: 'late' }, { kind: 'evacuated' }, () => {
        this.handleRejection(run, answer.kind, 0);
      })
      .with({ kind: 'not_sent' }, () => {
        this.handleRejection(run, answer.kind, BUSY_LINK_COOLDOWN_MILLIS);
      })
      .with({ kind: 'malformed' }, () => {
        this.handleRejection(run, answer.kind, 0);
        this.failTask(run.task, run.worker, run.number);
      })
      .with({ kind: 'fenced' }, { kind: 'other_life' }, () => undefined)
      .exhaustive();
  }

  private confirm(run: Run): void {
    run.confirmedAt ??= this.context.now;
    if (run.phase === 'ordered') {
      run.phase = 'running';
      this.context.startConfirmed(run);
    }
  }

  /**
   * Drops a run that has not started and never will: its worker refused the start, or the start was not sent
   * after all. A refusal holds for its own copy of the start only: if another one was left unanswered, the run
   * is stopped, after which its worker carries out none.
   */
  private handleRejection(run: Run, reason: string, cooldownMillis: number): void {
    const { worker, task, hasUnansweredStart } = run;
    this.context.event('start.rejected', {
      task: task.id,
      run: run.number,
      worker: worker.id,
      reason,
      ...(hasUnansweredStart ? { phase: run.phase, mayBeginLater: true } : {}),
    });
    if (cooldownMillis > 0) {
      worker.cooldownUntil = deadlineAfter(this.context.now, cooldownMillis);
    }
    if (run.phase === 'running') {
      return;
    }
    if (hasUnansweredStart) {
      this.stop(run);
    } else {
      this.context.detach(run);
    }
    if (task.step.plan.isGang) {
      this.stopGang(task.step, run.number);
    }
  }
}
