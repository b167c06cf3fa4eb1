/**
 * Compares declared and learned run times on one load whose declared times are wrong, whose workers differ in
 * speed, and where a few runs in a hundred take many times as long as the others.
 */

import { createHash } from 'node:crypto';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { SmallestFirst } from '@bamboowell/jobs/ordering';
import type { WorkerId } from '@bamboowell/types/ids';
import type { RunNumber, StepTaskId } from '@bamboowell/types/job';
import { DEFAULT_SCHEDULING, type SchedulingOptions } from '@bamboowell/types/scheduling';
import { jobArrivals, type JobArrival, type JobKind } from './job-demand.js';
import { JobModel, type JobModelResult } from './job-model.js';
import { objectiveOf, worthOf } from './jobs.js';
import { rounded } from './line-fit.js';

const SEED = 20_261_206;
const LOADS = [0.7, 1];
const ARRIVAL_MILLIS = 40_000;
const WORKERS = 33;
const MEMBERS = 9;
const SPEEDS = [0.8, 1, 1.25];
/** Fraction of the runs that are slow, and how many times as long they take. */
const SLOW_FRACTION = 0.03;
const SLOW_FACTOR = 7;

interface UnevenKind extends JobKind {
  /** Bounds of the actual run time. */
  readonly shortestMillis: number;
  readonly longestMillis: number;
  /** Largest fraction by which declared times are wrong. */
  readonly declaredError: number;
}

/** Rates that use nearly all of the workers, slow runs included. */
const KINDS: readonly UnevenKind[] = [
  {
    name: 'gang',
    perSecond: 0.4,
    twoStepFraction: 0,
    meanTasks: 16,
    meanMillis: 5750,
    shortestMillis: 5300,
    longestMillis: 6200,
    declaredError: 0.5,
    cores: 18,
    gangFraction: 1,
    priority: 1,
    objectiveFactor: 2.2,
    targetLatencyMillis: 1200,
    worth: 12.9,
    advice: { baseMillis: 200, perWorkerMillis: 2, validMillis: 2500 },
  },
  {
    name: 'batch',
    perSecond: 2,
    twoStepFraction: 0.3,
    meanTasks: 25,
    meanMillis: 2000,
    shortestMillis: 1000,
    longestMillis: 3000,
    declaredError: 0.5,
    cores: 6.9,
    gangFraction: 0,
    priority: 2,
    objectiveFactor: 4,
    targetLatencyMillis: 3000,
    worth: 2.7,
    advice: { baseMillis: 50, perWorkerMillis: 0.5, validMillis: 2500 },
  },
  {
    name: 'call',
    perSecond: 9.4,
    twoStepFraction: 0,
    meanTasks: 3,
    meanMillis: 750,
    shortestMillis: 640,
    longestMillis: 850,
    declaredError: 0.9,
    cores: 9.9,
    gangFraction: 0,
    priority: 0,
    objectiveFactor: 1.5,
    targetLatencyMillis: 600,
    worth: 0.4,
    advice: { baseMillis: 11, perWorkerMillis: 0.11, validMillis: 2500 },
  },
];

interface Variant {
  readonly runTimes: SchedulingOptions['runTimes'];
  /** Whether tasks that are no gangs may have copies, which only learned run times start. */
  readonly allowsCopies: boolean;
}

const VARIANTS: readonly Variant[] = [
  { runTimes: 'declared', allowsCopies: true },
  { runTimes: 'learned', allowsCopies: false },
  { runTimes: 'learned', allowsCopies: true },
];

export function measureRunTimes(): object {
  return {
    seed: SEED,
    runTimes: LOADS.flatMap((load) => VARIANTS.map((variant) => measureVariant(load, variant))),
  };
}

function measureVariant(load: number, variant: Variant): object {
  const arrivals = unevenArrivals(load, ARRIVAL_MILLIS, SEED, variant.allowsCopies);
  const result = runUneven(arrivals, variant.runTimes);
  const onTime = KINDS.map(({ name }) => {
    const ofKind = arrivals.filter(({ kind }) => kind.name === name);
    return [name, rounded(onTimeOf(ofKind, result))] as const;
  });
  return {
    ...variant,
    load,
    jobs: arrivals.length,
    onTime: rounded(onTimeOf(arrivals, result)),
    ...Object.fromEntries(onTime),
    worth: rounded(worthOf(arrivals, result)),
    starts: result.starts,
    microsEachPass: rounded(result.passMicros / result.passes),
  };
}

/** Arrivals of the uneven load, in order of time. */
export function unevenArrivals(
  load: number,
  untilMillis: number,
  seed: number,
  allowsCopies: boolean,
): JobArrival[] {
  const generator = xoroshiro128plus(seed);
  const arrivals = jobArrivals(KINDS, load, untilMillis, seed);
  return arrivals.map((arrival) => unevenArrival(arrival, allowsCopies, generator));
}

function unevenArrival(
  arrival: JobArrival,
  allowsCopies: boolean,
  generator: RandomGenerator,
): JobArrival {
  const kind = KINDS.find(({ name }) => name === arrival.kind.name) ?? KINDS[0];
  if (kind === undefined) {
    return arrival;
  }
  const { shortestMillis, longestMillis, declaredError } = kind;
  const millis = shortestMillis + (longestMillis - shortestMillis) * uniformFloat64(generator);
  const error = 1 + declaredError * (2 * uniformFloat64(generator) - 1);
  const steps = arrival.plan.steps.map((step) => ({
    ...step,
    estimateMillis: Math.round(millis * error),
    allowsCopies: allowsCopies && !step.isGang,
  }));
  return {
    ...arrival,
    plan: { ...arrival.plan, steps },
    runMillis: steps.map(({ count }) =>
      Array.from({ length: count }, () => millis * (0.9 + 0.2 * uniformFloat64(generator))),
    ),
  };
}

export function runUneven(
  arrivals: readonly JobArrival[],
  runTimes: SchedulingOptions['runTimes'],
): JobModelResult {
  return new JobModel({
    kinds: KINDS,
    arrivals,
    ordering: new SmallestFirst(),
    workers: WORKERS,
    members: MEMBERS,
    scheduling: { ...DEFAULT_SCHEDULING, runTimes },
    runFactorOf,
    showsProgress: true,
  }).run();
}

/** The same run always gets the same factor; the members of a gang share it, and copies are drawn anew. */
function runFactorOf(worker: WorkerId, task: StepTaskId, run: RunNumber): number {
  const isGang = task.startsWith('gang');
  const drawn = isGang ? task.slice(0, task.lastIndexOf('.')) : task;
  const isSlow = fractionOf(`${drawn}#${run}`) < SLOW_FRACTION;
  const number = Number(worker.slice(worker.lastIndexOf('-') + 1));
  const speed = isGang ? Math.min(...SPEEDS) : (SPEEDS[number % SPEEDS.length] ?? 1);
  return (isSlow ? SLOW_FACTOR : 1) / speed;
}

/** A number from 0 up to and without 1 that depends on the text only. */
function fractionOf(text: string): number {
  return createHash('sha256').update(text).digest().readUInt32LE() / 2 ** 32;
}

/** Fraction of the jobs that ended within their objectives, as on workers of usual speed. */
export function onTimeOf(arrivals: readonly JobArrival[], { endedAfter }: JobModelResult): number {
  const onTime = arrivals.filter((arrival) => {
    const millis = endedAfter.get(arrival.plan.id) ?? Number.POSITIVE_INFINITY;
    return millis <= objectiveOf(arrival);
  });
  return onTime.length / Math.max(1, arrivals.length);
}
