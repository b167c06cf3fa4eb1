/**
 * Learns run times from finished runs, for loads whose declared run times are wrong by half or more. The state
 * is in memory: a new owner starts from the declared times.
 */

import {
  RunTimeEstimator,
  groupedKindOf,
  type GroupedKind,
  type RunTimeEstimate,
  type SizeClass,
} from '@bamboowell/policy/run-time-estimator';
import { WorkerSpeeds } from '@bamboowell/policy/worker-speeds';
import { brandAs, type WorkerId } from '@bamboowell/types/ids';
import type { SchedulingOptions } from '@bamboowell/types/scheduling';
import { deadlineAfter, hasPassed, type Deadline, type Instant } from '@bamboowell/types/time';
import type { Run, Step } from './model.js';
import { DeclaredRunTimes, RunTimes, type RunTimeFigures } from './run-times.js';

/**
 * Estimates are renewed at most this often, milliseconds: thousands of waiting steps are ranked a hundred times
 * a second.
 */
const RENEWAL_MILLIS = 1000;
/** Most tasks of a step that count: they share their declared time, so that more of them tell little more. */
const MAX_RUNS_OF_STEP = 8;
/** Runs of a queue from which on its estimates are relied on. */
const MIN_KNOWN_RUNS = 12;

interface CachedEstimate {
  readonly kind: GroupedKind;
  version: number;
  estimate: RunTimeEstimate;
}

export class LearnedRunTimes extends RunTimes {
  readonly isLearning = true;
  private readonly estimator = new RunTimeEstimator();
  private readonly speeds = new WorkerSpeeds();
  private readonly estimates = new WeakMap<Step, CachedEstimate>();
  private readonly countedRuns = new WeakMap<Step, number>();
  private renewAt: Deadline = brandAs<Deadline>(0);
  private runs = 0;
  private declaredError = 0;
  private learnedError = 0;

  expectedMillis(step: Step): number {
    return this.estimateOf(step).expectedMillis;
  }

  lateMillis(step: Step): number {
    return this.estimateOf(step).lateMillis;
  }

  isKnown(step: Step): boolean {
    return this.estimateOf(step).runs >= MIN_KNOWN_RUNS;
  }

  speedOf(worker: WorkerId): number {
    return this.speeds.speedOf(worker);
  }

  speedClassOf(worker: WorkerId): number {
    return this.speeds.classOf(worker);
  }

  /**
   * Leaves out runs of which only a part was seen: those that resumed saved progress, that began under another
   * owner, or that may have ended while their worker did not answer.
   */
  record(run: Run, endedAt: Instant): void {
    const beganAt = beginOf(run);
    if (run.isTimed !== true || beganAt === undefined || endedAt <= beganAt) {
      return;
    }
    const { step } = run.task;
    const actualMillis = endedAt - beganAt;
    const kind = this.cachedOf(step).kind;
    const { expectedMillis, runs } = this.estimator.estimate(kind);
    const speed = this.speedOfRun(run);
    this.countErrors(step, expectedMillis / speed, actualMillis);
    if (!step.plan.isGang && runs >= MIN_KNOWN_RUNS) {
      this.speeds.record(run.worker.id, actualMillis, expectedMillis);
    }
    const counted = this.countedRuns.get(step) ?? 0;
    if (counted < MAX_RUNS_OF_STEP) {
      this.countedRuns.set(step, counted + 1);
      this.estimator.record(kind, actualMillis * speed);
    }
    if (hasPassed(this.renewAt, endedAt)) {
      this.renewAt = deadlineAfter(endedAt, RENEWAL_MILLIS);
      this.version += 1;
    }
  }

  takeFigures(): RunTimeFigures {
    const { runs, declaredError, learnedError } = this;
    this.runs = 0;
    this.declaredError = 0;
    this.learnedError = 0;
    return {
      runs,
      declaredErrorMillis: Math.round(declaredError / Math.max(1, runs)),
      learnedErrorMillis: Math.round(learnedError / Math.max(1, runs)),
      kinds: this.estimator.kinds,
      workers: this.speeds.known,
    };
  }

  private estimateOf(step: Step): RunTimeEstimate {
    const cached = this.cachedOf(step);
    if (cached.version !== this.version) {
      cached.version = this.version;
      cached.estimate = this.estimator.estimate(cached.kind);
    }
    return cached.estimate;
  }

  private cachedOf(step: Step): CachedEstimate {
    const known = this.estimates.get(step);
    if (known !== undefined) {
      return known;
    }
    const kind = kindOf(step);
    const cached = { kind, version: this.version, estimate: this.estimator.estimate(kind) };
    this.estimates.set(step, cached);
    return cached;
  }

  /** A gang advances as fast as its slowest member. */
  private speedOfRun(run: Run): number {
    return Math.min(...membersOf(run).map(({ worker }) => this.speeds.speedOf(worker.id)));
  }

  private countErrors({ plan }: Step, expectedMillis: number, actualMillis: number): void {
    this.runs += 1;
    this.declaredError += Math.abs(plan.estimateMillis - actualMillis);
    this.learnedError += Math.abs(expectedMillis - actualMillis);
  }
}

export function runTimesOf({ runTimes }: SchedulingOptions): RunTimes {
  return runTimes === 'learned' ? new LearnedRunTimes() : new DeclaredRunTimes();
}

/** The run and, of a gang, the other members that are still there. */
function membersOf(run: Run): readonly Run[] {
  const { step } = run.task;
  if (!step.plan.isGang) {
    return [run];
  }
  const others = step.tasks.flatMap(({ runs }) => runs);
  return [run, ...others.filter((other) => other !== run && other.number === run.number)];
}

/** When the run began; a gang begins with the last of its members. */
function beginOf(run: Run): Instant | undefined {
  const begins = membersOf(run).flatMap(({ confirmedAt }) => confirmedAt ?? []);
  return run.confirmedAt === undefined ? undefined : brandAs<Instant>(Math.max(...begins));
}

function kindOf({ job, plan }: Step): GroupedKind {
  const { count, demand, isGang, estimateMillis } = plan;
  const cores = Math.round(demand.millicores / 1000);
  const size = brandAs<SizeClass>(
    `${isGang ? 'gang' : 'tasks'} ${Math.floor(Math.log2(count))} ${cores}`,
  );
  const team = job.plan?.team;
  return groupedKindOf({ queue: job.queue.id, team, size, declaredMillis: estimateMillis });
}
