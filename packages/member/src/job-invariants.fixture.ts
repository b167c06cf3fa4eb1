/** Tracks submitted jobs and what workers did for them, and records violated invariants. */

import { brandAs, type TeamId, type WorkerId } from '@bamboowell/types/ids';
import type {
  EndedEntry,
  JobId,
  JobPlan,
  RunOutcome,
  RunNumber,
  StepPlan,
  StepTaskId,
} from '@bamboowell/types/job';
import type { StartOrder } from '@bamboowell/jobs/messages';
import type { EmulatedWorker } from './emulated-workers.fixture.js';

interface TaskHistory {
  isDone: boolean;
  isDoneAcknowledged: boolean;
  /** Starts after a success that nobody has taken note of yet, by the run that succeeded. */
  readonly startsAfterDone: Map<RunNumber, string[]>;
  readonly doneRuns: Set<RunNumber>;
  readonly endedRuns: Set<RunNumber>;
  readonly failedRuns: Set<RunNumber>;
  /** Workers that crashed while they ran it. */
  crashes: number;
}

/** The circumstances of a start. */
export interface StartedRun {
  readonly hasRoom: boolean;
  /** Whether the worker carried it out long after it was sent: then no bound in time holds for it. */
  readonly isLate: boolean;
}

export class JobInvariants {
  readonly plans = new Map<JobId, JobPlan>();
  readonly cancelledAt = new Map<JobId, number>();
  /** Since when the record of each evacuated data centre has been stored. */
  readonly evacuatedAt = new Map<string, number>();
  readonly failingJobs = new Set<JobId>();
  /** Descriptions of violated invariants. */
  readonly violations: string[] = [];
  starts = 0;
  private readonly tasks = new Map<StepTaskId, TaskHistory>();
  private readonly workers: EmulatedWorker[] = [];

  constructor(
    private readonly now: () => number,
    /** Undefined where the operator's evacuations are not followed. */
    private readonly evacuationBoundMillis?: number,
  ) {}

  setWorkers(workers: Iterable<EmulatedWorker>): void {
    this.workers.push(...workers);
  }

  stepOf(task: StepTaskId): StepPlan {
    const [job = '', , step = ''] = task.split('.');
    const plan = this.plans.get(brandAs<JobId>(job))?.steps[Number(step)];
    if (plan === undefined) {
      throw new Error(`no step for ${task}`);
    }
    return plan;
  }

  teamOf(task: StepTaskId): TeamId | undefined {
    return this.plans.get(jobOf(task))?.team;
  }

  alwaysFails(task: StepTaskId): boolean {
    return this.failingJobs.has(jobOf(task));
  }

  /** Checks the invariants when a worker carries out a start order. */
  checkStart({ task, run }: StartOrder, worker: WorkerId, { hasRoom, isLate }: StartedRun): void {
    this.starts += 1;
    const history = this.history(task);
    const running = this.workers.filter((each) => each.isUp && each.running().includes(task));
    const { allowsCopies } = this.stepOf(task);
    if (running.length > (allowsCopies ? 1 : 0)) {
      this.addViolation(
        `${task} run ${run} started on ${worker} while it was running on ${running[0]?.id ?? ''}`,
      );
    }
    if (history.isDoneAcknowledged) {
      this.addViolation(
        `${task} run ${run} started on ${worker} after its success was acknowledged`,
      );
    }
    if (!allowsCopies) {
      // A copy may start before its owner can know that the first run has succeeded.
      history.startsAfterDone.forEach((starts, done) => {
        starts.push(
          `${task} run ${run} started on ${worker} at ${Math.round(this.now())}, after the success of run ` +
            `${done}, which was acknowledged later`,
        );
      });
    }
    if (!hasRoom) {
      this.addViolation(`${task} run ${run} started on ${worker} without enough free resources`);
    }
    this.checkStepOrder(task);
    const zone = this.workers.find(({ id }) => id === worker)?.zone ?? '';
    const lateMillis = this.now() - (this.evacuatedAt.get(zone) ?? this.now());
    if (!isLate && lateMillis > (this.evacuationBoundMillis ?? Infinity)) {
      this.addViolation(
        `${task} run ${run} started on ${worker}, evacuated ${lateMillis} ms before`,
      );
    }
    const cancelledAt = this.cancelledAt.get(jobOf(task));
    if (!isLate && cancelledAt !== undefined && this.now() > cancelledAt + 3000) {
      this.addViolation(`${task} run ${run} started long after its job was cancelled`);
    }
  }

  ended(task: StepTaskId, run: RunNumber, end: RunOutcome): void {
    const history = this.history(task);
    history.endedRuns.add(run);
    if (end === 'done') {
      history.isDone = true;
      history.doneRuns.add(run);
      history.startsAfterDone.set(run, []);
    }
    if (end === 'failed') {
      history.failedRuns.add(run);
    }
  }

  /** A worker has crashed that ran these tasks. */
  crashed(tasks: readonly StepTaskId[]): void {
    for (const task of tasks) {
      this.history(task).crashes += 1;
    }
  }

  /**
   * The owner has acknowledged the end of a run. The platform doesn't count that if the worker's lease has lapsed
   * since the run ended.
   */
  endAcknowledged({ task, run, end }: EndedEntry, hasLapsed: boolean): void {
    if (end === 'done' && !hasLapsed) {
      const history = this.history(task);
      history.isDoneAcknowledged = true;
      history.startsAfterDone.get(run)?.forEach((start) => {
        this.addViolation(start);
      });
      history.startsAfterDone.delete(run);
    }
  }

  gangState(task: StepTaskId, run: RunNumber): 'gathering' | 'together' | 'broken' | 'done' {
    const stepId = task.slice(0, task.lastIndexOf('.'));
    const members = Array.from({ length: this.stepOf(task).count }, (_, index) =>
      brandAs<StepTaskId>(`${stepId}.${index}`),
    );
    if (members.some((member) => this.history(member).doneRuns.has(run))) {
      return 'done';
    }
    if (members.some((member) => this.history(member).endedRuns.has(run))) {
      return 'broken';
    }
    const present = members.filter((member) =>
      this.workers.some((worker) => worker.isUp && worker.running().includes(member)),
    );
    return present.length === members.length ? 'together' : 'gathering';
  }

  /** Whether all steps of the job are done. */
  isDone(job: JobId): boolean {
    const steps = this.plans.get(job)?.steps ?? [];
    return steps.every((step, index) => this.isStepDone(job, step, index));
  }

  /** Returns the highest number of failed runs of any task or gang of the job. */
  failuresOf(job: JobId): number {
    const steps = this.plans.get(job)?.steps ?? [];
    const counts = steps.map((step, index) => {
      const runs = Array.from(
        { length: step.count },
        (_, task) => this.history(brandAs<StepTaskId>(`${job}.0.${index}.${task}`)).failedRuns,
      );
      return step.isGang
        ? new Set(runs.flatMap((each) => [...each])).size
        : Math.max(...runs.map(({ size }) => size));
    });
    return Math.max(0, ...counts);
  }

  /** Returns the highest number of workers that crashed under any task of the job. */
  crashesOf(job: JobId): number {
    const crashes = [...this.tasks]
      .filter(([task]) => jobOf(task) === job)
      .map(([, history]) => history.crashes);
    return Math.max(0, ...crashes);
  }

  addViolation(text: string): void {
    this.violations.push(`at ${Math.round(this.now())}: ${text}`);
  }

  private checkStepOrder(task: StepTaskId): void {
    const job = jobOf(task);
    const plan = this.plans.get(job);
    for (const earlier of this.stepOf(task).after) {
      const step = plan?.steps[earlier];
      if (step !== undefined && !this.isStepDone(job, step, earlier)) {
        this.addViolation(`${task} started before step ${earlier} was done`);
      }
    }
  }

  /** A gang is done as soon as one of its tasks is. */
  private isStepDone(job: JobId, step: StepPlan, index: number): boolean {
    const done = Array.from({ length: step.count }, (_, task) =>
      this.history(brandAs<StepTaskId>(`${job}.0.${index}.${task}`)),
    ).filter(({ isDone }) => isDone);
    return step.isGang ? done.length > 0 : done.length === step.count;
  }

  private history(task: StepTaskId): TaskHistory {
    let history = this.tasks.get(task);
    if (history === undefined) {
      history = {
        isDone: false,
        isDoneAcknowledged: false,
        startsAfterDone: new Map(),
        doneRuns: new Set(),
        endedRuns: new Set(),
        failedRuns: new Set(),
        crashes: 0,
      };
      this.tasks.set(task, history);
    }
    return history;
  }
}

function jobOf(task: StepTaskId): JobId {
  return brandAs<JobId>(task.split('.')[0] ?? '');
}
