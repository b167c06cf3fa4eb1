/** Processor time and heap of a shard's owner against what it carries. */

import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { brandAs, type ShardId } from '@bamboowell/types/ids';
import type { Shape } from '@bamboowell/types/work';
import { newOwnerWithLog, settle, type OwnerWithLog } from './direct-log.js';
import { amountOf, batchDemand } from './fleets.js';
import { slopeOf } from './slope.js';
import { cpuMicrosOf, heapBytes } from './usage.js';

/** Workers of one of six shards of the two-year plan. */
export const SHARD_WORKERS = 1_134;
/** Running on one of six shards of the two-year plan. */
export const SHARD_RUNNING = 8_334;

/** Starts a second of one of six shards at the peak of the two-year plan. */
const SHARD_STARTS = 920 / 6;

const SHARD = brandAs<ShardId>('data-centre-1');
const WORKER_SIZES = [200, 600, SHARD_WORKERS, 2_268];
const RUNNING_SIZES = [2_000, 5_000, SHARD_RUNNING, 12_000];
const WAITING_SIZES = [0, 1_000, 3_000, 10_000];
const HEAP_SIZES = [2_000, 4_000, 8_000];
const MEASURED_STARTS = 4_000;
/** Starts that share an entry of the log: 153 a second over 30 appends. */
const STARTS_AN_ENTRY = 5;
const HEARTBEAT_ROUNDS = 20;
const SPREADING_SECONDS = 8;
const MEASURED_SECONDS = 10;
const STEP_MILLIS = 10;
/** From one entry of the log to the next, at 30 appends a second. */
const ENTRY_MILLIS = 30;
const MILLIS_PER_SECOND = 1_000;
const TICKS = 500;
const WORKERS_OF_WAITING = 100;

const BATCH: Shape = { kind: 'batch', tasks: 1 };
const CAPACITY = amountOf(64, 128, 8);
/** Of a worker's accelerators; all of them, so that one runs on each worker. */
const ALL_ACCELERATORS = amountOf(1, 1, 8, 0);
const SIZES_OF_WAITING = 50;
const SEED = 20_261_204;

export function measureOwnerSlopes(): object {
  warmUp();
  return {
    startMicrosByWorkers: slopeOf(WORKER_SIZES, (workers) =>
      startMicros(workers, usualRunning(workers), 0),
    ),
    startMicrosByRunning: slopeOf(RUNNING_SIZES, (running) =>
      startMicros(SHARD_WORKERS, running, 0),
    ),
    startMicrosByWaiting: slopeOf(WAITING_SIZES, (waiting) =>
      startMicros(WORKERS_OF_WAITING, usualRunning(WORKERS_OF_WAITING), waiting),
    ),
    heartbeatMicrosByWorkers: slopeOf(WORKER_SIZES, heartbeatMicros),
    quietSecondMicrosByWorkers: slopeOf(WORKER_SIZES, (workers) => secondMicros(workers, 'quiet')),
    peakSecondMicrosByWorkers: slopeOf(WORKER_SIZES, (workers) => secondMicros(workers, 'peak')),
    tickMicrosByWaiting: slopeOf(WAITING_SIZES, tickMicros),
    heapBytesByWorkers: slopeOf(HEAP_SIZES, heapOfWorkers),
    heapBytesByRunning: slopeOf(HEAP_SIZES, heapOfRunning),
    heapBytesByWaiting: slopeOf(HEAP_SIZES, heapOfWaiting),
    heapBytesByEnded: slopeOf(HEAP_SIZES, heapOfEnded),
  };
}

/** Lets the compiler see the code before anything is measured. */
function warmUp(): void {
  startMicros(200, 1_000, 100);
  heartbeatMicros(200);
}

function runOf(workers: number, isCopying = false): OwnerWithLog {
  return newOwnerWithLog({ shard: SHARD, workers, capacity: CAPACITY }, isCopying);
}

/** What runs on so many workers when the shard of the two-year plan runs its part. */
function usualRunning(workers: number): number {
  return Math.round((workers * SHARD_RUNNING) / SHARD_WORKERS);
}

/** Starts batch tasks of random sizes. */
function fill(direct: OwnerWithLog, running: number, random: RandomGenerator): void {
  for (let count = 1; count <= running; count += 1) {
    direct.simulation.submit(batchDemand(random), BATCH);
    if (count % STARTS_AN_ENTRY === 0) {
      settle(direct);
    }
  }
  settle(direct);
}

/** Adds work of some sizes that needs accelerators, all of which are taken for good. */
function addWaiting(direct: OwnerWithLog, workers: number, waiting: number): void {
  for (let count = 0; count < workers + waiting; count += 1) {
    const millicores = 1_000 + (count % SIZES_OF_WAITING);
    direct.simulation.submit({ ...ALL_ACCELERATORS, millicores }, BATCH);
    settle(direct);
  }
  direct.simulation.keepRunningForever();
}

/** Accept, place, start, started, ended and forget of one task, the clock standing still. */
function startMicros(workers: number, running: number, waiting: number): number {
  const direct = runOf(workers);
  const random = xoroshiro128plus(SEED);
  if (waiting > 0) {
    addWaiting(direct, workers, waiting);
  }
  fill(direct, running, random);
  const micros = cpuMicrosOf(() => {
    for (let count = 0; count < MEASURED_STARTS; count += STARTS_AN_ENTRY) {
      for (let one = 0; one < STARTS_AN_ENTRY; one += 1) {
        direct.simulation.submit(batchDemand(random), BATCH);
        direct.simulation.endOldest();
      }
      settle(direct);
    }
  });
  return micros / MEASURED_STARTS;
}

function heartbeatMicros(workers: number): number {
  const direct = runOf(workers);
  fill(direct, usualRunning(workers), xoroshiro128plus(SEED));
  const micros = cpuMicrosOf(() => {
    for (let round = 0; round < HEARTBEAT_ROUNDS; round += 1) {
      for (let worker = 0; worker < workers; worker += 1) {
        direct.simulation.heartbeat(worker);
      }
    }
  });
  return micros / (HEARTBEAT_ROUNDS * workers);
}

/** A second with heartbeats and renewals spread evenly, and starts and ends in proportion or none. */
function secondMicros(workers: number, load: 'quiet' | 'peak'): number {
  const direct = runOf(workers);
  const random = xoroshiro128plus(SEED);
  fill(direct, usualRunning(workers), random);
  passSeconds(direct, workers, random, 'peak', SPREADING_SECONDS);
  const micros = cpuMicrosOf(() => {
    passSeconds(direct, workers, random, load, MEASURED_SECONDS);
  });
  return micros / MEASURED_SECONDS;
}

function passSeconds(
  direct: OwnerWithLog,
  workers: number,
  random: RandomGenerator,
  load: 'quiet' | 'peak',
  seconds: number,
): void {
  const { simulation: run } = direct;
  const from = run.now;
  const startsPerSecond = load === 'peak' ? (workers * SHARD_STARTS) / SHARD_WORKERS : 0;
  let heard = 0;
  let started = 0;
  for (let millis = STEP_MILLIS; millis <= seconds * MILLIS_PER_SECOND; millis += STEP_MILLIS) {
    run.now = brandAs(from + millis);
    for (; heard < (millis * workers) / MILLIS_PER_SECOND; heard += 1) {
      run.heartbeat(heard % workers);
    }
    for (; started < (millis * startsPerSecond) / MILLIS_PER_SECOND; started += 1) {
      run.submit(batchDemand(random), BATCH);
      run.endOldest();
    }
    if (millis % ENTRY_MILLIS === 0) {
      settle(direct);
    }
    run.tickIfDue();
  }
}

/** A step that looks for work to start, while that which waits fits nowhere. */
function tickMicros(waiting: number): number {
  const direct = runOf(WORKERS_OF_WAITING);
  addWaiting(direct, WORKERS_OF_WAITING, waiting);
  const micros = cpuMicrosOf(() => {
    for (let tick = 0; tick < TICKS; tick += 1) {
      direct.simulation.step({ kind: 'tick' });
    }
  });
  return micros / TICKS;
}

function heapOfWorkers(workers: number): number {
  return heapOf(() => runOf(workers, true));
}

function heapOfRunning(running: number): number {
  return heapOf(() => {
    const direct = runOf(SHARD_WORKERS * 2, true);
    fill(direct, running, xoroshiro128plus(SEED));
    return direct;
  });
}

function heapOfWaiting(waiting: number): number {
  return heapOf(() => {
    const direct = runOf(1, true);
    addWaiting(direct, 1, waiting);
    return direct;
  });
}

function heapOfEnded(ended: number): number {
  return heapOf(() => {
    const direct = runOf(WORKERS_OF_WAITING, true);
    const random = xoroshiro128plus(SEED);
    for (let count = 0; count < ended; count += 1) {
      direct.simulation.submit(batchDemand(random), BATCH);
      settle(direct);
      direct.simulation.endOldest();
    }
    settle(direct);
    return direct;
  });
}

/** Heap that is in use with what was built beyond what was without it. */
function heapOf(build: () => OwnerWithLog): number {
  const before = heapBytes();
  const built = build();
  const after = heapBytes();
  // The use after the measurement keeps what was built alive until then.
  return built.simulation.owner.fold.works.size < 0 ? 0 : after - before;
}
