/**
 * Estimates run times from finished runs, for loads whose declared run times are wrong by half or more and
 * where a few runs in a hundred take many times as long as the others.
 *
 * Works on logarithms, in which an error by a factor weighs the same in both directions. Within a queue, the
 * logarithm of the actual time is a linear function of that of the declared time. Its slope is 1 where declared
 * times are proportional to actual ones and 0 where they tell nothing. The intercept is learned by queue, then
 * by size, then by team, and each of these starts from the one before it; the first starts from the declared
 * time itself.
 */

import type { Branded, QueueId, TeamId } from '@bamboowell/types/ids';
import { SampleWindow, medianOf, quantileOf, sortedOf } from './sample-window.js';

/** Tasks with the same shape, such as number and processor time. */
export type SizeClass = Branded<string, 'SizeClass'>;

/** What a task shares with earlier ones. */
export interface TaskKind {
  readonly queue: QueueId;
  readonly team: TeamId | undefined;
  readonly size: SizeClass;
  /** Zero if the caller declares none. */
  readonly declaredMillis: number;
}

export interface RunTimeEstimate {
  /** Zero if nothing is known. */
  readonly expectedMillis: number;
  /** Nearly all runs take less than this. */
  readonly lateMillis: number;
  /** Number of runs of the queue that the estimate rests on. */
  readonly runs: number;
}

/** Most samples of a queue: enough for a slope, though the tasks of one job share their declared time. */
const QUEUE_WINDOW = 256;
/** Most samples of a group within a queue. */
const GROUP_WINDOW = 64;
/** Bounds memory; the group that had no run for longest is dropped. */
const MAX_GROUPS = 1024;
/** With so many runs, what they show weighs as much as what the estimate starts from. */
const PRIOR_RUNS = 4;
/** The same for groups within a queue, which start from a better estimate. */
const GROUP_PRIOR_RUNS = 8;
/** The same for the spread, which shows only in more runs. */
const SPREAD_PRIOR_RUNS = 16;
/** Weight of the assumption that declared times are proportional to actual ones: as of 8 runs with variance 0.1. */
const SLOPE_PRIOR = 0.8;
/** Runs further from the median than so many median deviations count as if they were that far. */
const MAX_DEVIATIONS = 4;
/** Least median deviation for this, so that a group of equal runs accepts other ones. */
const MIN_DEVIATION = 0.05;
/** Factor by which nearly all runs stay below the expected time, as long as no runs tell. */
const PRIOR_SPREAD = Math.log(2);
/**
 * The spread is extrapolated from this quantile to the 95th percentile, as in a normal distribution. The 95th
 * percentile of a window itself jumps when a window has a few slow runs more than usual.
 */
const SPREAD_QUANTILE = 0.9;
const EXTRAPOLATION = 1.28;
/** Least spread. */
const MIN_SPREAD = Math.log(1.1);
/** A fit is renewed after this fraction of its samples has been added. */
const REFIT_FRACTION = 1 / 8;

/** Finished runs of a queue or of a group within it. */
class RunGroup {
  /** Median of the logarithm of the actual time less `slope` times that of the declared time. */
  intercept = 0;
  spread = PRIOR_SPREAD;
  /** Of the whole queue; used only in the group that is the queue. */
  slope = 1;
  private readonly declared: SampleWindow;
  private readonly actual: SampleWindow;
  private addedSinceFit = 0;

  constructor(capacity: number) {
    this.declared = new SampleWindow(capacity);
    this.actual = new SampleWindow(capacity);
  }

  get runs(): number {
    return this.actual.size;
  }

  get isFitDue(): boolean {
    return this.addedSinceFit >= Math.max(1, REFIT_FRACTION * this.runs);
  }

  add(declared: number, actual: number): void {
    this.declared.add(declared);
    this.actual.add(actual);
    this.addedSinceFit += 1;
  }

  fit(slope: number): void {
    this.addedSinceFit = 0;
    this.slope = slope;
    const rest = sortedOf(this.restsOf(slope));
    this.intercept = quantileOf(rest, 0.5);
    this.spread = EXTRAPOLATION * (quantileOf(rest, SPREAD_QUANTILE) - this.intercept);
  }

  /** Least squares, with runs far from the present fit counted as nearer. */
  fittedSlope(): number {
    const rests = this.restsOf(this.slope);
    const middle = medianOf(rests);
    const deviation = medianOf(rests.map((rest) => Math.abs(rest - middle)));
    const bound = MAX_DEVIATIONS * Math.max(MIN_DEVIATION, deviation);
    const declared = this.declared.values;
    const mean = declared.reduce((sum, value) => sum + value, 0) / declared.length;
    let variance = SLOPE_PRIOR;
    let covariance = SLOPE_PRIOR;
    rests.forEach((rest, index) => {
      const x = (declared[index] ?? mean) - mean;
      const bounded = middle + Math.min(bound, Math.max(-bound, rest - middle));
      variance += x * x;
      covariance += x * (bounded + this.slope * x);
    });
    return Math.min(1, Math.max(0, covariance / variance));
  }

  private restsOf(slope: number): number[] {
    const declared = this.declared.values;
    return this.actual.values.map((actual, index) => actual - slope * (declared[index] ?? 0));
  }
}

/** A kind with the names of its groups, from the queue to the smallest; made once for many estimates. */
export interface GroupedKind {
  readonly declaredMillis: number;
  readonly groups: readonly string[];
}

/** Runs without a declared time are apart, as they have no ratio to it. */
export function groupedKindOf({ queue, team, size, declaredMillis }: TaskKind): GroupedKind {
  const whole = `${declaredMillis > 0 ? 'declared' : 'undeclared'} ${queue}`;
  const groups = [whole, `${whole} ${size}`, `${whole} ${size} ${team ?? ''}`];
  return { declaredMillis, groups };
}

export class RunTimeEstimator {
  /** In order of their last run. */
  private readonly groups = new Map<string, RunGroup>();

  /** Number of queues and groups within them of which runs are known. */
  get kinds(): number {
    return this.groups.size;
  }

  /** @param actualMillis as on a worker of usual speed. */
  record(kind: GroupedKind, actualMillis: number): void {
    const declared = logOf(kind.declaredMillis);
    const actual = logOf(actualMillis);
    let slope: number | undefined;
    for (const key of kind.groups) {
      const group = this.touch(key, slope === undefined ? QUEUE_WINDOW : GROUP_WINDOW);
      group.add(declared, actual);
      if (group.isFitDue) {
        group.fit(slope ?? group.fittedSlope());
      }
      slope ??= group.slope;
    }
  }

  estimate(kind: GroupedKind): RunTimeEstimate {
    const declared = logOf(kind.declaredMillis);
    let runs = 0;
    let expected: number | undefined = kind.declaredMillis > 0 ? declared : undefined;
    let spread = PRIOR_SPREAD;
    let priorRuns = PRIOR_RUNS;
    for (const key of kind.groups) {
      const group = this.groups.get(key);
      if (group !== undefined) {
        const own = group.intercept + group.slope * declared;
        const start = expected ?? own;
        expected = start + weightOf(group.runs, priorRuns) * (own - start);
        spread += weightOf(group.runs, SPREAD_PRIOR_RUNS) * (group.spread - spread);
        runs = Math.max(runs, group.runs);
      }
      priorRuns = GROUP_PRIOR_RUNS;
    }
    if (expected === undefined) {
      return { expectedMillis: 0, lateMillis: 0, runs };
    }
    const expectedMillis = Math.exp(expected);
    const lateMillis = expectedMillis * Math.exp(Math.max(MIN_SPREAD, spread));
    return { expectedMillis, lateMillis, runs };
  }

  private touch(key: string, capacity: number): RunGroup {
    const group = this.groups.get(key) ?? new RunGroup(capacity);
    this.groups.delete(key);
    this.groups.set(key, group);
    if (this.groups.size > MAX_GROUPS) {
      const [oldest] = this.groups.keys();
      this.groups.delete(oldest ?? key);
    }
    return group;
  }
}

function logOf(millis: number): number {
  return Math.log(Math.max(1, millis));
}

function weightOf(runs: number, priorRuns: number): number {
  return runs / (runs + priorRuns);
}
