/** What the parts of the scheduler share: jobs, workers, outputs, and what waits for the store. */

import { brandAs, type QueueId, type TeamId, type WorkerId } from '@bamboowell/types/ids';
import type {
  JobConfiguration,
  JobId,
  JobPlan,
  JobQueue,
  JobTeam,
  WorkerIncarnation,
  StepId,
  StepTaskId,
  WallInstant,
} from '@bamboowell/types/job';
import { NO_RESOURCES, add, subtract, type Resources } from '@bamboowell/types/resources';
import type { Instant } from '@bamboowell/types/time';
import type { JobBatch, JobOutput, JobWrite } from './messages.js';
import {
  attachRun,
  detachRun,
  isEnded,
  allocationOf,
  type Job,
  type Run,
  type Step,
  type Task,
  type Worker,
} from './model.js';
import { progressKey, progressOf, specKey, type SpecRecord } from './records.js';

export class JobContext {
  now: Instant = brandAs<Instant>(0);
  wall: WallInstant = brandAs<WallInstant>(0);
  configuration: JobConfiguration | undefined;
  readonly jobs = new Map<JobId, Job>();
  readonly workers = new Map<WorkerIncarnation, Worker>();
  /** The newest life of each worker. */
  readonly currentIncarnations = new Map<WorkerId, Worker>();
  /** Set when something may have become possible to place. */
  needsPlacement = true;
  private readonly queues = new Map<QueueId, JobQueue>();
  private readonly teams = new Map<TeamId, JobTeam>();
  private readonly running = new Map<TeamId, Resources>();
  private outputs: JobOutput[] = [];
  private readonly dirty = new Set<Job>();
  private readonly unstored = new Set<Job>();
  private droppedKeys: string[] = [];
  private effects: (() => void)[] = [];
  private readonly inFlight = new Map<number, (() => void)[]>();
  private batches = 0;

  setConfiguration(configuration: JobConfiguration): void {
    this.configuration = configuration;
    this.queues.clear();
    this.teams.clear();
    configuration.queues.forEach((queue) => this.queues.set(queue.id, queue));
    configuration.teams.forEach((team) => this.teams.set(team.id, team));
    this.jobs.forEach((job) => {
      job.queue = this.queues.get(job.queue.id) ?? job.queue;
    });
    this.needsPlacement = true;
  }

  queue(id: QueueId): JobQueue | undefined {
    return this.queues.get(id);
  }

  team(id: TeamId): JobTeam | undefined {
    return this.teams.get(id);
  }

  /** What the team has running or ordered, on all workers. */
  usageOf(team: TeamId): Resources {
    return this.running.get(team) ?? NO_RESOURCES;
  }

  /** Adds a job that the store doesn't have yet. */
  addNew(job: Job): void {
    this.jobs.set(job.id, job);
    this.unstored.add(job);
    this.markChanged(job);
  }

  /** The job has to be written. */
  markChanged(job: Job): void {
    this.dirty.add(job);
  }

  /** Forgets a job that ended long ago. */
  forget(job: Job): void {
    this.jobs.delete(job.id);
    this.droppedKeys.push(progressKey(job.id));
  }

  attach(run: Run): void {
    attachRun(run);
    this.count(run, add);
  }

  detach(run: Run): void {
    if (run.task.runs.includes(run)) {
      detachRun(run);
      this.count(run, subtract);
      this.needsPlacement = true;
    }
  }

  step(id: StepId): Step | undefined {
    const [job, occurrence, step] = id.split('.');
    return this.jobs.get(brandAs<JobId>(job ?? ''))?.occurrences[Number(occurrence)]?.steps[
      Number(step)
    ];
  }

  task(id: StepTaskId): Task | undefined {
    const cut = id.lastIndexOf('.');
    return this.step(brandAs<StepId>(id.slice(0, cut)))?.tasks[Number(id.slice(cut + 1))];
  }

  emit(output: JobOutput): void {
    this.outputs.push(output);
  }

  event(name: string, fields: Readonly<Record<string, string | number | boolean>>): void {
    this.emit({ kind: 'event', name, fields });
  }

  takeOutputs(): JobOutput[] {
    const outputs = this.outputs;
    this.outputs = [];
    return outputs;
  }

  /** Runs the effect once all that was changed so far is in the store. */
  afterCommit(effect: () => void): void {
    this.effects.push(effect);
  }

  /** All writes that are due, or nothing. */
  takeBatch(): JobBatch | undefined {
    if (this.dirty.size === 0 && this.droppedKeys.length === 0 && this.effects.length === 0) {
      return undefined;
    }
    this.batches += 1;
    const writes = [...this.dirty].flatMap((job) => this.writesOf(job));
    writes.push(...this.droppedKeys.map((key) => ({ key, value: undefined })));
    this.inFlight.set(this.batches, this.effects);
    this.dirty.clear();
    this.droppedKeys = [];
    this.effects = [];
    return { number: this.batches, writes };
  }

  committed(batch: number): void {
    const effects = this.inFlight.get(batch) ?? [];
    this.inFlight.delete(batch);
    for (const effect of effects) {
      effect();
    }
  }

  private count(run: Run, combine: (left: Resources, right: Resources) => Resources): void {
    const { plan } = run.task.step;
    const team = run.task.step.job.plan?.team;
    if (team !== undefined) {
      this.running.set(team, combine(this.usageOf(team), allocationOf(plan)));
    }
  }

  private writesOf(job: Job): JobWrite[] {
    const writes: JobWrite[] = [];
    const isNew = this.unstored.delete(job);
    if (isNew && job.plan !== undefined && !isEnded(job.state)) {
      writes.push({ key: specKey(job.id), value: specOf(job, job.plan) });
    }
    if (isEnded(job.state) && !isNew) {
      writes.push({ key: specKey(job.id), value: undefined });
    }
    const progress = progressOf(job);
    if (!isNew || progress.tasks.length > 0 || isEnded(job.state)) {
      writes.push({ key: progressKey(job.id), value: progress });
    }
    return writes;
  }
}

function specOf(job: Job, plan: JobPlan): SpecRecord {
  const { queue, acceptedAt, isExcess } = job;
  return { plan, queue, acceptedAt, ...(isExcess ? { isExcess } : {}) };
}
