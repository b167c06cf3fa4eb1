/** Starts and stops of runs, and what workers answer to them. */

import { match } from 'ts-pattern';
import { brandAs } from '@bamboowell/types/ids';
import type { WorkerIncarnation, RunNumber, StepTaskId } from '@bamboowell/types/job';
import { deadlineAfter, hasPassed } from '@bamboowell/types/time';
import type { JobContext } from './context.js';
import type { OrderAnswer } from './messages.js';
import { runKey, type Grant, type Run, type Step, type Task, type Worker } from './model.js';

/** A worker that did nothing because it was unwell gets no new work for so long, milliseconds. Typical length of a short spell. */
const UNWELL_REST_MILLIS = 700;
/** A worker that refused for room gets no new work for so long, milliseconds: its next report shows what it runs. */
const NO_ROOM_REST_MILLIS = 400;

/** One task and the worker that it is to start on. */
export interface Assignment {
  readonly task: Task;
  readonly worker: Worker;
  readonly grant: Grant | undefined;
}

export class Orders {
  constructor(
    private readonly context: JobContext,
    private readonly failTask: (task: Task, worker: Worker, number: RunNumber) => void,
    private readonly otherLife: (worker: Worker) => void,
  ) {}

  /** Records starts; they are sent once the store has them. */
  start(step: Step, assignments: readonly Assignment[]): void {
    const { context } = this;
    const shared = 1 + Math.max(...step.tasks.map(({ lastRun }) => lastRun));
    for (const { task, worker, grant } of assignments) {
      const number = step.plan.isGang ? shared : task.lastRun + 1;
      task.lastRun = brandAs<RunNumber>(number);
      const run: Run = {
        task,
        number: task.lastRun,
        worker,
        grant,
        phase: 'recorded',
        confirmedAt: undefined,
        progress: undefined,
      };
      context.attach(run);
      context.afterCommit(() => {
        this.send(run);
      });
      context.event('task.placed', {
        task: task.id,
        run: run.number,
        worker: worker.id,
        failures: task.failures,
      });
    }
    step.job.state = 'running';
    context.markChanged(step.job);
  }

  /** Ends a run; its room is free once the worker has listed the end. */
  stop(run: Run): void {
    if (run.phase === 'recorded') {
      this.context.detach(run);
      this.context.markChanged(run.task.step.job);
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

  /** Ends what is left of a gang's run. */
  stopGang(step: Step, number: RunNumber): void {
    for (const task of step.tasks) {
      task.runs
        .filter((run) => run.number === number)
        .forEach((run) => {
          this.stop(run);
        });
    }
  }

  handleAnswer(
    order: 'start' | 'stop',
    worker: Worker,
    task: StepTaskId,
    number: RunNumber,
    answer: OrderAnswer,
  ): void {
    const run = worker.runs.get(runKey(task, number));
    if (answer.kind === 'other_life') {
      this.otherLife(worker);
      return;
    }
    if (run === undefined) {
      return;
    }
    if (order === 'stop') {
      run.confirmedAt ??= this.context.now;
      return;
    }
    this.startAnswered(run, answer);
  }

  private send(run: Run): void {
    const { job } = run.task.step;
    const isCurrent = run.worker.runs.get(runKey(run.task.id, run.number)) === run;
    if (!isCurrent || run.phase !== 'recorded' || job.plan === undefined) {
      return;
    }
    if (run.grant !== undefined && hasPassed(run.grant.until, this.context.now)) {
      // Its record took longer than the ticket holds: the worker would only refuse it.
      this.rejected(run, 'ticket_ran_out', 0);
      return;
    }
    run.phase = 'ordered';
    job.hasStarted = true;
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

  private startAnswered(run: Run, answer: OrderAnswer): void {
    match(answer)
      .with({ kind: 'done' }, { kind: 'outdated' }, () => {
        this.confirm(run);
      })
      .with({ kind: 'no_ticket' }, () => {
        run.task.step.grants.delete(run.worker.id);
        run.task.step.workersWithAdvice.delete(run.worker.id);
        this.rejected(run, answer.kind, 0);
      })
      .with({ kind: 'no_room' }, () => {
        this.rejected(run, answer.kind, NO_ROOM_REST_MILLIS);
      })
      .with({ kind: 'unwell' }, () => {
        this.rejected(run, answer.kind, UNWELL_REST_MILLIS);
      })
      .with({ kind: 'late' }, () => {
        this.rejected(run, answer.kind, 0);
      })
      .with({ kind: 'malformed' }, () => {
        this.rejected(run, answer.kind, 0);
        this.failTask(run.task, run.worker, run.number);
      })
      .with({ kind: 'fenced' }, { kind: 'other_life' }, () => undefined)
      .exhaustive();
  }

  private confirm(run: Run): void {
    run.confirmedAt ??= this.context.now;
    if (run.phase === 'ordered') {
      run.phase = 'running';
    }
  }

  /** The worker did nothing, and never will for this run. */
  private rejected(run: Run, reason: string, restMillis: number): void {
    const { worker, task } = run;
    this.context.event('start.rejected', {
      task: task.id,
      run: run.number,
      worker: worker.id,
      reason,
    });
    if (restMillis > 0) {
      worker.cooldownUntil = deadlineAfter(this.context.now, restMillis);
    }
    this.context.detach(run);
    this.context.markChanged(task.step.job);
    if (task.step.plan.isGang) {
      this.stopGang(task.step, run.number);
    }
  }
}
