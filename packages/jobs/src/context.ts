/**
 * State that the parts of the scheduler share: jobs, workers, outputs, pending writes and effects.
 */

import { brandAs, type QueueId, type TeamId, type WorkerId } from '@bamboowell/types/ids';
import type {
  JobConfiguration,
  JobId,
  JobQueue,
  JobTeam,
  WorkerIncarnation,
  StepId,
  StepTaskId,
  WallInstant,
} from '@bamboowell/types/job';
import { NO_RESOURCES, add, subtract, type Resources } from '@bamboowell/types/resources';
import type { Instant } from '@bamboowell/types/time';
import type { PoolKey, TeamUse } from './advice-budget.js';
import { EndedArchive } from './ended-archive.js';
import { Evacuations } from './evacuations.js';
import { FleetCapacity } from './fleet-capacity.js';
import { JobMemory } from './job-memory.js';
import { LoadControl } from './load-control.js';
import type { JobBatch, JobOutput, JobWrite } from './messages.js';
import {
  attachRun,
  detachRun,
  isEnded,
  isStepDone,
  allocationOf,
  waitingTasks,
  type Job,
  type Run,
  type Step,
  type Task,
  type Worker,
} from './model.js';
import type { Obstacle } from './obstacles.js';
import type { RunTimes } from './run-times.js';
import { startableWithinLimit } from './team-limits.js';
import {
  occurrenceOf,
  progressKey,
  progressOf,
  recordOf,
  specDeletions,
  specWrites,
  taskRecord,
} from './records.js';

export class JobContext {
  now: Instant = brandAs<Instant>(0);
  wall: WallInstant = brandAs<WallInstant>(0);
  configuration: JobConfiguration | undefined;
  readonly jobs = new Map<JobId, Job>();
  readonly workers = new Map<WorkerIncarnation, Worker>();
  /** Of all queues of the configuration; a higher number is a lower priority. */
  lowestPriority = 0;
  /** The newest incarnation of each worker. */
  readonly currentIncarnations = new Map<WorkerId, Worker>();
  readonly load = new LoadControl();
  readonly memory = new JobMemory();
  readonly fleet = new FleetCapacity();
  readonly evacuations = new Evacuations();
  /** What the workers of evacuated data centres could hold. */
  readonly evacuatedFleet = new FleetCapacity();
  /**
   * Waiting steps for which the fleet has no room soon: those that no worker can hold, and those behind the
   * point up to which advice is asked for. They are left out of placement passes until the set is cleared, ten
   * times a second.
   */
  readonly parked = new Set<Step>();
  /** What the steps before the parked ones use up. */
  readonly spentPools = new Set<PoolKey>();
  readonly archive = new EndedArchive();
  /** Set when a placement pass may be able to start something. */
  needsPlacement = true;
  /** Whether starts could be stored at the last pass. */
  mayStart = true;
  /** Called with a job at its first start. */
  firstStarted: (job: Job) => void = () => undefined;
  private readonly queues = new Map<QueueId, JobQueue>();
  private readonly teams = new Map<TeamId, JobTeam>();
  /** Resources that the teams' runs beyond their promised rates take. */
  readonly excessUsage = new Map<TeamId, Resources>();
  private readonly usageByTeam = new Map<TeamId, Resources>();
  private outputs: JobOutput[] = [];
  /** The keys of the records of each job that are to be written. */
  private readonly dirty = new Map<Job, Set<string>>();
  private readonly unstored = new Set<Job>();
  /** Pending writes that belong to no single job. */
  private otherWrites: JobWrite[] = [];
  private effects: (() => void)[] = [];
  private readonly inFlight = new Map<number, (() => void)[]>();
  private lastBatch = 0;

  constructor(
    /** What is expected of run times. */
    readonly runTimes: RunTimes,
    /** Called when a run is over, however it ended. */
    private readonly runEnded: (run: Run) => void,
  ) {}

  setConfiguration(configuration: JobConfiguration): void {
    this.configuration = configuration;
    this.queues.clear();
    this.teams.clear();
    configuration.queues.forEach((queue) => this.queues.set(queue.id, queue));
    configuration.teams.forEach((team) => this.teams.set(team.id, team));
    this.lowestPriority = Math.max(0, ...configuration.queues.map(({ priority }) => priority));
    this.jobs.forEach((job) => {
      job.queue = this.queues.get(job.queue.id) ?? job.queue;
    });
    this.fleet.forgetCounts();
    this.evacuatedFleet.forgetCounts();
    this.needsPlacement = true;
  }

  queue(id: QueueId): JobQueue | undefined {
    return this.queues.get(id);
  }

  team(id: TeamId): JobTeam | undefined {
    return this.teams.get(id);
  }

  /** Resources that the team's runs take on all workers. */
  usageOf(team: TeamId): Resources {
    return this.usageByTeam.get(team) ?? NO_RESOURCES;
  }

  /** How many of the step's tasks its team may start within its limit. */
  startableWithinLimit({ job, plan }: Pick<Step, 'job' | 'plan'>, wanted: number): number {
    return this.startableByTeam(job.plan?.team, allocationOf(plan), wanted);
  }

  /** Whether the step's team runs too much for another task of it. */
  isTeamAtLimit(step: Step): boolean {
    return this.startableWithinLimit(step, 1) === 0;
  }

  /** Whether the limit of its team keeps the step from starting now: of a gang, all tasks must be within it. */
  isWaitingForTeamLimit(step: Step): boolean {
    const needed = step.plan.isGang ? waitingTasks(step).length : 1;
    return this.startableWithinLimit(step, needed) < needed;
  }

  /** What keeps the step from starting on the workers that are there, however long it waits. */
  obstacleOf(step: Step): Obstacle | undefined {
    const fittingTasks = this.fleet.tasksThatFit(step);
    const neededTasks = step.plan.isGang ? step.plan.count : 1;
    if (fittingTasks < neededTasks) {
      const fittingBefore = fittingTasks + this.evacuatedFleet.tasksThatFit(step);
      const lack = fittingTasks === 0 ? 'no_worker_fits' : 'gang_exceeds_fleet';
      return fittingBefore >= neededTasks ? 'evacuated' : lack;
    }
    if (!step.plan.isGang) {
      return undefined;
    }
    if (!this.fleet.canStartTogether(step)) {
      return 'gang_exceeds_links';
    }
    return this.exceedsTeamLimit(step) ? 'gang_exceeds_team_limit' : undefined;
  }

  /** How many tasks with this demand the team may start within its limit. */
  startableByTeam(id: TeamId | undefined, demand: Resources, wanted: number): number {
    const limit = id === undefined ? undefined : this.team(id)?.limit;
    return id === undefined || limit === undefined
      ? wanted
      : startableWithinLimit(this.usageOf(id), limit, demand, wanted);
  }

  /** What the team may run and runs; undefined if it has no limit. */
  teamUseOf(team: TeamId): TeamUse | undefined {
    const limit = this.team(team)?.limit;
    return limit === undefined ? undefined : { limit, usage: this.usageOf(team) };
  }

  /**
   * Leaves the step out of placement passes for a while.
   *
   * @param spentPools what the step needs and those before it use up; empty if no worker can hold it.
   */
  park(step: Step, spentPools: readonly PoolKey[]): void {
    this.parked.add(step);
    spentPools.forEach((key) => this.spentPools.add(key));
  }

  unpark(): void {
    this.parked.clear();
    this.spentPools.clear();
  }

  /** Adds a job that the store doesn't have yet. */
  addNew(job: Job): void {
    this.add(job);
    this.unstored.add(job);
    this.markChanged(job);
  }

  /** Adds a job that the store has. */
  add(job: Job): void {
    this.jobs.set(job.id, job);
    if (job.plan !== undefined) {
      this.memory.add(job.plan);
    }
  }

  /** Keeps only the state of a job that has ended, unless the store doesn't have the end or something still runs. */
  release(job: Job): void {
    if (job.plan === undefined || !isEnded(job.visibleState) || hasRuns(job)) {
      return;
    }
    job.plan = undefined;
    job.occurrences.clear();
    this.memory.remove(job.id);
  }

  /** Number of jobs of which no record has been sent to the store. */
  get unsentCount(): number {
    return this.unstored.size;
  }

  isUnsent(job: Job): boolean {
    return this.unstored.has(job);
  }

  /** Removes a job of which no record has been sent to the store; its runs must have been stopped. */
  dropUnsent(job: Job): void {
    this.jobs.delete(job.id);
    this.memory.remove(job.id);
    this.unstored.delete(job);
    this.dirty.delete(job);
    this.needsPlacement = true;
  }

  /** Marks the record of the job's state for writing with the next batch. */
  markChanged(job: Job): void {
    this.markRecord(job, progressKey(job.id));
  }

  /** Marks the record with the task's row for writing with the next batch. */
  markTaskChanged(task: Task): void {
    this.markRecord(task.step.job, recordOf(task));
  }

  /** Deletes records that belong to no open job. */
  deleteRecords(keys: readonly string[]): void {
    this.otherWrites.push(...keys.map((key) => ({ key, value: undefined })));
  }

  /** Deletes a job that ended long ago, here and in the store. */
  forget(job: Job): void {
    this.jobs.delete(job.id);
    this.memory.remove(job.id);
    const key = this.archive.forget(job.id);
    if (key !== undefined) {
      this.otherWrites.push({ key, value: undefined });
    }
  }

  /** Replaces the records of ended jobs by common ones. */
  archiveEnded(): void {
    this.otherWrites.push(...this.archive.takeWrites());
  }

  attach(run: Run): void {
    attachRun(run);
    this.adjustUsage(run, add);
  }

  detach(run: Run): void {
    if (run.task.runs.includes(run)) {
      detachRun(run);
      this.markTaskChanged(run.task);
      this.adjustUsage(run, subtract);
      this.runEnded(run);
      this.needsPlacement = true;
    }
  }

  /** Cancels the repeats of the run's orders. */
  withdraw({ worker, task, number, phase }: Run): void {
    if (phase !== 'recorded') {
      this.emit({
        kind: 'withdraw',
        incarnation: worker.incarnation,
        task: task.id,
        run: number,
      });
    }
  }

  step(id: StepId): Step | undefined {
    const [job, occurrence, step] = id.split('.');
    return this.jobs.get(brandAs<JobId>(job ?? ''))?.occurrences.get(Number(occurrence))?.steps[
      Number(step)
    ];
  }

  /** Records that a worker has confirmed a start. */
  startConfirmed({ task }: Run): void {
    this.recordStart(task.step.job);
    this.load.startConfirmed();
    this.needsPlacement ||= this.load.isStartLimitReached;
  }

  /** Records that a task of the job has started. */
  recordStart(job: Job): void {
    if (!job.hasStarted) {
      job.hasStarted = true;
      this.firstStarted(job);
    }
  }

  task(id: StepTaskId): Task | undefined {
    const lastDot = id.lastIndexOf('.');
    return this.step(brandAs<StepId>(id.slice(0, lastDot)))?.tasks[Number(id.slice(lastDot + 1))];
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

  /** Runs the effect once all changes so far are stored. */
  afterCommit(effect: () => void): void {
    this.effects.push(effect);
  }

  /** Takes all pending writes and effects as one batch; undefined if there are none. */
  takeBatch(): JobBatch | undefined {
    if (this.dirty.size === 0 && this.otherWrites.length === 0 && this.effects.length === 0) {
      return undefined;
    }
    this.lastBatch += 1;
    const writes = [...this.dirty].flatMap(([job, keys]) => this.writesOf(job, keys));
    writes.push(...this.otherWrites);
    this.inFlight.set(this.lastBatch, this.effects);
    this.dirty.clear();
    this.otherWrites = [];
    this.effects = [];
    return { number: this.lastBatch, writes };
  }

  committed(batch: number): void {
    const effects = this.inFlight.get(batch) ?? [];
    this.inFlight.delete(batch);
    for (const effect of effects) {
      effect();
    }
  }

  private exceedsTeamLimit({ job, plan }: Step): boolean {
    const team = job.plan?.team;
    const limit = team === undefined ? undefined : this.team(team)?.limit;
    return (
      limit !== undefined &&
      startableWithinLimit(NO_RESOURCES, limit, allocationOf(plan), plan.count) < plan.count
    );
  }

  private adjustUsage(run: Run, combine: (left: Resources, right: Resources) => Resources): void {
    const { plan, job } = run.task.step;
    const team = job.plan?.team;
    if (team !== undefined) {
      this.usageByTeam.set(team, combine(this.usageOf(team), allocationOf(plan)));
      if (job.isExcess) {
        const usage = this.excessUsage.get(team) ?? NO_RESOURCES;
        this.excessUsage.set(team, combine(usage, allocationOf(plan)));
      }
    }
  }

  private markRecord(job: Job, key: string): void {
    const keys = this.dirty.get(job);
    if (keys === undefined) {
      this.dirty.set(job, new Set([key]));
    } else {
      keys.add(key);
    }
  }

  /** The record of the state goes before the rows of tasks: a part of the writes may be all that is stored. */
  private writesOf(job: Job, keys: ReadonlySet<string>): JobWrite[] {
    if (this.archive.has(job.id)) {
      return [];
    }
    const isNew = this.unstored.delete(job);
    if (isEnded(job.state)) {
      const deletions = isNew ? [] : [...specDeletions(job), ...deletionsOf(job)];
      return [{ key: progressKey(job.id), value: progressOf(job) }, ...deletions];
    }
    const over = dropOccurrencesOver(job, keys);
    const writes = isNew && job.plan !== undefined ? specWrites(job, job.plan) : [];
    const progress = progressOf(job);
    const hasRows = keys.size > 1 || progress.tasks.length > 0;
    if ((!isNew || hasRows) && (keys.has(progressKey(job.id)) || over.length > 0)) {
      writes.push({ key: progressKey(job.id), value: progress });
    }
    for (const key of keys) {
      if (key !== progressKey(job.id) && !over.includes(occurrenceOf(key))) {
        job.taskRecords.add(key);
        writes.push(taskRecord(job, key));
      }
    }
    return [...writes, ...deletionsOf(job, over)];
  }
}

/** Drops the changed occurrences of which nothing is left; returns the numbers of these. */
function dropOccurrencesOver({ plan, occurrences }: Job, keys: ReadonlySet<string>): number[] {
  if (plan?.repetition === undefined) {
    return [];
  }
  const changed = [...new Set([...keys].map(occurrenceOf))];
  const over = changed.filter((index) => occurrences.get(index)?.steps.every(hasNothingLeft));
  over.forEach((index) => occurrences.delete(index));
  return over;
}

function hasRuns({ occurrences }: Job): boolean {
  return [...occurrences.values()].some(({ steps }) =>
    steps.some(({ tasks }) => tasks.some(({ runs }) => runs.length > 0)),
  );
}

function hasNothingLeft(step: Step): boolean {
  return isStepDone(step) && step.tasks.every(({ runs }) => runs.length === 0);
}

/** Deletes the records with rows of tasks, of all or only some occurrences. */
function deletionsOf({ taskRecords }: Job, occurrences?: readonly number[]): JobWrite[] {
  const keys = [...taskRecords].filter(
    (key) => occurrences === undefined || occurrences.includes(occurrenceOf(key)),
  );
  keys.forEach((key) => taskRecords.delete(key));
  return keys.map((key) => ({ key, value: undefined }));
}
