/** Measures throughput and latency of placement decisions. */

import { build as buildHistogram, type Histogram } from 'hdr-histogram-js';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { BestFit } from '@bamboowell/policy/best-fit';
import { NO_SPREAD, type Fleet, type Spread } from '@bamboowell/policy/fleet';
import { FirstFit, type Placement } from '@bamboowell/policy/placement';
import type { RackId, WorkerId } from '@bamboowell/types/ids';
import type { Resources } from '@bamboowell/types/resources';
import { acceleratorDemand, amountOf, batchDemand, fleetOf, twoYearFleet } from './fleets.js';
import { measureRounds } from './rounds.js';

const SEED = 20_261_204;
const FLEET_SIZES = [30, 1000, 6800];
/** Tasks that run on each worker once the fleet is full. */
const TASKS_PER_WORKER = 12;
const MEASURED_DECISIONS = 50_000;
const REPLICAS_OF_SERVICE = 10;
const TARGET = { placementsPerSecond: 5000, p99Micros: 2000 };

interface RunningTask {
  readonly worker: WorkerId;
  readonly demand: Resources;
}

/** Latencies of decisions in nanoseconds, by whether the task was placed. */
interface Latencies {
  readonly placed: Histogram;
  readonly nothingFits: Histogram;
}

export function measurePlacement(): object {
  const runs = FLEET_SIZES.flatMap((workers) => [
    measureRule(new BestFit(), workers),
    measureRule(new FirstFit(), workers),
  ]);
  const slopes = ['BestFit', 'FirstFit'].map((rule) => ({
    rule,
    p50MicrosPerThousandWorkers: slopeOf(runs.filter((run) => run.rule === rule)),
  }));
  return { seed: SEED, target: TARGET, runs, slopes, rounds: measureRounds() };
}

function measureRule(rule: Placement, workers: number) {
  const random = xoroshiro128plus(SEED);
  const fleet = fleetOf(twoYearFleet(workers));
  const running: RunningTask[] = [];
  const latencies = { placed: newHistogram(), nothingFits: newHistogram() };
  const tasks = new TaskGenerator();
  for (let decision = 0; decision < workers * TASKS_PER_WORKER; decision += 1) {
    decide(rule, fleet, random, tasks, running, undefined);
  }
  for (let decision = 0; decision < MEASURED_DECISIONS; decision += 1) {
    if (running.length > workers * TASKS_PER_WORKER) {
      endOne(fleet, random, running);
    }
    if (!decide(rule, fleet, random, tasks, running, latencies)) {
      endOne(fleet, random, running);
    }
  }
  const { placed, nothingFits } = latencies;
  return {
    rule: rule.constructor.name,
    workers,
    running: running.length,
    placements: placed.totalCount,
    placementsPerSecond: Math.round(1e9 / placed.mean),
    ...microsOf(placed),
    nothingFits: { decisions: nothingFits.totalCount, ...microsOf(nothingFits) },
  };
}

/** Chooses a worker for one random task and reserves it. Returns whether the task was placed. */
function decide(
  rule: Placement,
  fleet: Fleet,
  random: RandomGenerator,
  tasks: TaskGenerator,
  running: RunningTask[],
  latencies: Latencies | undefined,
): boolean {
  const { demand, spread } = tasks.next(random);
  const from = process.hrtime.bigint();
  const worker = rule.choose(fleet, demand, spread);
  const isPlaced = worker !== undefined && fleet.reserve(worker, demand);
  const nanos = Number(process.hrtime.bigint() - from);
  (isPlaced ? latencies?.placed : latencies?.nothingFits)?.recordValue(nanos);
  if (isPlaced) {
    running.push({ worker, demand });
    tasks.placed(fleet, worker);
  }
  return isPlaced;
}

function endOne(fleet: Fleet, random: RandomGenerator, running: RunningTask[]): void {
  const index = running.length === 0 ? 0 : uniformInt(random, 0, running.length - 1);
  const ended = running[index];
  const last = running.pop();
  if (ended !== undefined && last !== undefined) {
    fleet.release(ended.worker, ended.demand);
    if (index < running.length) {
      running[index] = last;
    }
  }
}

/** Draws batch tasks (70 %), replicas of services (20 %) and accelerator tasks (10 %). */
class TaskGenerator {
  private workers = new Map<WorkerId, number>();
  private racks = new Map<RackId, number>();
  private replicasLeft = 0;
  private isReplica = false;

  next(random: RandomGenerator): { readonly demand: Resources; readonly spread: Spread } {
    const kind = uniformInt(random, 0, 9);
    this.isReplica = kind < 2;
    if (this.isReplica) {
      return { demand: amountOf(1, 2, 0, 1), spread: this.spreadOfNextReplica() };
    }
    const demand = kind === 2 ? acceleratorDemand(random) : batchDemand(random);
    return { demand, spread: NO_SPREAD };
  }

  placed(fleet: Fleet, worker: WorkerId): void {
    const rack = fleet.get(worker)?.profile.rack;
    if (this.isReplica && rack !== undefined) {
      this.workers.set(worker, (this.workers.get(worker) ?? 0) + 1);
      this.racks.set(rack, (this.racks.get(rack) ?? 0) + 1);
    }
  }

  private spreadOfNextReplica(): Spread {
    if (this.replicasLeft === 0) {
      this.workers = new Map();
      this.racks = new Map();
      this.replicasLeft = REPLICAS_OF_SERVICE;
    }
    this.replicasLeft -= 1;
    return { workers: this.workers, racks: this.racks };
  }
}

function newHistogram(): Histogram {
  return buildHistogram({ numberOfSignificantValueDigits: 3 });
}

function microsOf(histogram: Histogram) {
  return {
    p50Micros: histogram.getValueAtPercentile(50) / 1000,
    p99Micros: histogram.getValueAtPercentile(99) / 1000,
  };
}

interface SizedLatency {
  readonly workers: number;
  readonly p50Micros: number;
}

/** Slope of the least-squares line through the medians, microseconds per thousand workers. */
function slopeOf(runs: readonly SizedLatency[]): number {
  const meanWorkers = meanOf(runs.map(({ workers }) => workers));
  const meanMicros = meanOf(runs.map(({ p50Micros }) => p50Micros));
  let covariance = 0;
  let variance = 0;
  for (const { workers, p50Micros } of runs) {
    covariance += (workers - meanWorkers) * (p50Micros - meanMicros);
    variance += (workers - meanWorkers) ** 2;
  }
  return Number(((1000 * covariance) / variance).toFixed(3));
}

function meanOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
