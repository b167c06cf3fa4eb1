/** Random jobs with one or two steps, reproducible by seed. */

import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { brandAs, type QueueId, type TeamId } from '@bamboowell/types/ids';
import type { AdviceTiming, JobId, JobPlan, JobQueue, StepPlan } from '@bamboowell/types/job';
import { amountOf } from './fleets.js';

/** A kind of job: its arrival rate, size, priority, time objective and worth. */
export interface JobKind {
  readonly name: string;
  readonly perSecond: number;
  /** Fraction of the jobs that have a second step. */
  readonly twoStepFraction: number;
  readonly meanTasks: number;
  readonly meanMillis: number;
  readonly cores: number;
  readonly gangFraction: number;
  readonly priority: number;
  /** A job is on time within this multiple of its critical path, plus `targetLatencyMillis`. */
  readonly objectiveFactor: number;
  readonly targetLatencyMillis: number;
  readonly worth: number;
  readonly advice: AdviceTiming;
}

/** Jobs of the tunnel bookings; their usual rates are sized for 33 workers of 64 cores. */
export const BOOKING_KINDS: readonly JobKind[] = [
  {
    name: 'campaign',
    perSecond: 1.3,
    twoStepFraction: 0.2,
    meanTasks: 8,
    meanMillis: 4000,
    cores: 12,
    gangFraction: 0.9,
    priority: 1,
    objectiveFactor: 2.2,
    targetLatencyMillis: 1200,
    worth: 12.9,
    advice: { baseMillis: 586, perWorkerMillis: 5.9, validMillis: 2500 },
  },
  {
    name: 'swap',
    perSecond: 3.8,
    twoStepFraction: 0.5,
    meanTasks: 10,
    meanMillis: 2700,
    cores: 4,
    gangFraction: 0,
    priority: 2,
    objectiveFactor: 4,
    targetLatencyMillis: 3000,
    worth: 2.67,
    advice: { baseMillis: 94, perWorkerMillis: 0.94, validMillis: 2500 },
  },
  {
    name: 'hold',
    perSecond: 33.8,
    twoStepFraction: 0,
    meanTasks: 2,
    meanMillis: 640,
    cores: 5.6,
    gangFraction: 0.14,
    priority: 1,
    objectiveFactor: 2.2,
    targetLatencyMillis: 600,
    worth: 0.42,
    advice: { baseMillis: 11, perWorkerMillis: 0.11, validMillis: 2500 },
  },
];

export interface JobArrival {
  readonly kind: JobKind;
  readonly atMillis: number;
  readonly plan: JobPlan;
  /** How long each task of each step runs, milliseconds. */
  readonly runMillis: readonly (readonly number[])[];
}

export const TEAMS = ['large-1', 'large-2', 'middle', 'small-1', 'small-2', 'small-3'].map((name) =>
  brandAs<TeamId>(name),
);

/** Largest factor by which an estimate is off the mean run time of the tasks, either way. */
const ESTIMATE_ERROR = 2;
const MEMORY_MIB = 256;

export function queueIdOf({ name }: JobKind): QueueId {
  return brandAs<QueueId>(name);
}

export function queueOf(kind: JobKind): JobQueue {
  const { priority, objectiveFactor, targetLatencyMillis, advice } = kind;
  return {
    id: queueIdOf(kind),
    host: 'example',
    pathPrefix: `/${kind.name}/`,
    service: 'tunnels',
    priority,
    attempts: 2,
    objectiveFactor,
    targetLatencyMillis,
    timeoutMillis: 3000,
    advice,
    isPublic: false,
  };
}

/** Arrivals in order of time, at `load` times the usual rates. */
export function jobArrivals(
  kinds: readonly JobKind[],
  load: number,
  untilMillis: number,
  seed: number,
): JobArrival[] {
  const generator = xoroshiro128plus(seed);
  const arrivals = kinds.flatMap((kind) => arrivalsOfKind(kind, load, untilMillis, generator));
  return arrivals.sort((left, right) => left.atMillis - right.atMillis);
}

function arrivalsOfKind(
  kind: JobKind,
  load: number,
  untilMillis: number,
  generator: RandomGenerator,
): JobArrival[] {
  const arrivals: JobArrival[] = [];
  const meanGapMillis = 1000 / (kind.perSecond * load);
  for (let at = exponential(generator, meanGapMillis); at < untilMillis;) {
    arrivals.push(arrivalOf(kind, at, arrivals.length, generator));
    at += exponential(generator, meanGapMillis);
  }
  return arrivals;
}

function arrivalOf(
  kind: JobKind,
  atMillis: number,
  number: number,
  generator: RandomGenerator,
): JobArrival {
  const steps = uniformFloat64(generator) < kind.twoStepFraction ? 2 : 1;
  const millis = kind.meanMillis * (0.5 + uniformFloat64(generator));
  const estimate = millis * ESTIMATE_ERROR ** (2 * uniformFloat64(generator) - 1);
  const plans = Array.from({ length: steps }, (_, index) =>
    stepOf(kind, index, Math.round(estimate), generator),
  );
  const team = TEAMS[uniformInt(generator, 0, TEAMS.length - 1)] ?? brandAs<TeamId>('');
  return {
    kind,
    atMillis,
    plan: {
      id: brandAs<JobId>(`${kind.name}-${number}`),
      queue: queueIdOf(kind),
      team,
      payload: 'x'.repeat(200),
      steps: plans,
      repetition: undefined,
    },
    runMillis: plans.map(({ count }) =>
      Array.from({ length: count }, () => millis * (0.9 + 0.2 * uniformFloat64(generator))),
    ),
  };
}

function stepOf(
  kind: JobKind,
  index: number,
  estimateMillis: number,
  generator: RandomGenerator,
): StepPlan {
  return {
    count: uniformInt(generator, 1, 2 * kind.meanTasks - 1),
    demand: amountOf(kind.cores, MEMORY_MIB / 1024, 0, 0),
    estimateMillis,
    after: index === 0 ? [] : [index - 1],
    savesProgress: false,
    isGang: uniformFloat64(generator) < kind.gangFraction,
    prefersOneRack: false,
    neededLabel: undefined,
    rackOfData: undefined,
    maxPerWorker: 0,
    allowsCopies: false,
    isLasting: false,
    usesLeftovers: false,
    mayBeAway: 0,
  };
}

function exponential(generator: RandomGenerator, mean: number): number {
  return -Math.log(1 - uniformFloat64(generator)) * mean;
}
