/** Measures CPU time and heap of a shard's owner against its workers and its work. */

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
/** Running attempts of one of six shards of the two-year plan. */
export const SHARD_RUNNING = 8_334;

/** Starts per second on one of six shards at the peak of the two-year plan. */
const SHARD_STARTS_PER_SECOND = 920 / 6;

const SHARD = brandAs<ShardId>('data-centre-1');
const WORKER_SIZES = [200, 600, SHARD_WORKERS, 2_268];
const RUNNING_SIZES = [2_000, 5_000, SHARD_RUNNING, 12_000];
const WAITING_SIZES = [0, 1_000, 3_000, 10_000];
const HEAP_SIZES = [2_000, 4_000, 8_000];
const MEASURED_STARTS = 4_000;
/** Starts per log entry: 153 starts per second in 30 appends per second. */
const STARTS_PER_ENTRY = 5;
const HEARTBEAT_ROUNDS = 20;
/** Simulated time before a measurement; by its end, heartbeats and renewals are spread evenly. */
const SPREADING_SECONDS = 8;
const MEASURED_SECONDS = 10;
const STEP_MILLIS = 10;
/** Interval between log entries at 30 appends per second, rounded down to whole steps. */
const ENTRY_INTERVAL_MILLIS = 30;
const MILLIS_PER_SECOND = 1_000;
const TICKS = 500;
const WORKERS_WITH_WAITING = 100;

const BATCH: Shape = { kind: 'batch', tasks: 1 };
const CAPACITY = amountOf(64, 128, 8);
/** Demand for all accelerators of a worker, so that only one such task runs on each worker. */
const ALL_ACCELERATORS = amountOf(1, 1, 8, 0);
const WAITING_DEMANDS = 50;
const SEED = 20_261_204;

export function measureOwnerSlopes(): object {
  warmUp();
  return {
    startMicrosByWorkers: slopeOf(WORKER_SIZES, (workers) =>
      startMicros(workers, proportionalRunning(workers), 0),
    ),
    startMicrosByRunning: slopeOf(RUNNING_SIZES, (running) =>
      startMicros(SHARD_WORKERS, running, 0),
    ),
    startMicrosByWaiting: slopeOf(WAITING_SIZES, (waiting) =>
      startMicros(WORKERS_WITH_WAITING, proportionalRunning(WORKERS_WITH_WAITING), waiting),
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

/** Lets the JIT compiler optimise the code before anything is measured. */
function warmUp(): void {
  startMicros(200, 1_000, 100);
  heartbeatMicros(200);
}

function newOwner(workers: number, copiesRecords = false): OwnerWithLog {
  return newOwnerWithLog({ shard: SHARD, workers, capacity: CAPACITY }, copiesRecords);
}

/** Running attempts on `workers` workers, in the proportion of the two-year plan's shard. */
function proportionalRunning(workers: number): number {
  return Math.round((workers * SHARD_RUNNING) / SHARD_WORKERS);
}

/** Starts batch tasks of random sizes. */
function fill(owner: OwnerWithLog, running: number, random: RandomGenerator): void {
  for (let count = 1; count <= running; count += 1) {
    owner.simulation.submit(batchDemand(random), BATCH);
    if (count % STARTS_PER_ENTRY === 0) {
      settle(owner);
    }
  }
  settle(owner);
}

/**
 * Occupies all accelerators for good, then adds `waiting` work items of different sizes that need
 * accelerators too.
 */
function addWaiting(owner: OwnerWithLog, workers: number, waiting: number): void {
  for (let count = 0; count < workers + waiting; count += 1) {
    const millicores = 1_000 + (count % WAITING_DEMANDS);
    owner.simulation.submit({ ...ALL_ACCELERATORS, millicores }, BATCH);
    settle(owner);
  }
  owner.simulation.keepRunningForever();
}

/** CPU time of one task: accept, place, start, started, ended, forget. The clock stands still. */
function startMicros(workers: number, running: number, waiting: number): number {
  const owner = newOwner(workers);
  const random = xoroshiro128plus(SEED);
  if (waiting > 0) {
    addWaiting(owner, workers, waiting);
  }
  fill(owner, running, random);
  const micros = cpuMicrosOf(() => {
    for (let count = 0; count < MEASURED_STARTS; count += STARTS_PER_ENTRY) {
      for (let one = 0; one < STARTS_PER_ENTRY; one += 1) {
        owner.simulation.submit(batchDemand(random), BATCH);
        owner.simulation.endOldest();
      }
      settle(owner);
    }
  });
  return micros / MEASURED_STARTS;
}

function heartbeatMicros(workers: number): number {
  const owner = newOwner(workers);
  fill(owner, proportionalRunning(workers), xoroshiro128plus(SEED));
  const micros = cpuMicrosOf(() => {
    for (let round = 0; round < HEARTBEAT_ROUNDS; round += 1) {
      for (let worker = 0; worker < workers; worker += 1) {
        owner.simulation.heartbeat(worker);
      }
    }
  });
  return micros / (HEARTBEAT_ROUNDS * workers);
}

/**
 * CPU time of one second with evenly spread heartbeats and lease renewals. At `peak`, attempts
 * start and end in proportion to the workers; at `quiet`, none do.
 */
function secondMicros(workers: number, load: 'quiet' | 'peak'): number {
  const owner = newOwner(workers);
  const random = xoroshiro128plus(SEED);
  fill(owner, proportionalRunning(workers), random);
  passSeconds(owner, workers, random, 'peak', SPREADING_SECONDS);
  const micros = cpuMicrosOf(() => {
    passSeconds(owner, workers, random, load, MEASURED_SECONDS);
  });
  return micros / MEASURED_SECONDS;
}

function passSeconds(
  owner: OwnerWithLog,
  workers: number,
  random: RandomGenerator,
  load: 'quiet' | 'peak',
  seconds: number,
): void {
  const { simulation } = owner;
  const from = simulation.now;
  const startsPerSecond = load === 'peak' ? (workers * SHARD_STARTS_PER_SECOND) / SHARD_WORKERS : 0;
  let heartbeats = 0;
  let starts = 0;
  for (let millis = STEP_MILLIS; millis <= seconds * MILLIS_PER_SECOND; millis += STEP_MILLIS) {
    simulation.now = brandAs(from + millis);
    for (; heartbeats < (millis * workers) / MILLIS_PER_SECOND; heartbeats += 1) {
      simulation.heartbeat(heartbeats % workers);
    }
    for (; starts < (millis * startsPerSecond) / MILLIS_PER_SECOND; starts += 1) {
      simulation.submit(batchDemand(random), BATCH);
      simulation.endOldest();
    }
    if (millis % ENTRY_INTERVAL_MILLIS === 0) {
      settle(owner);
    }
    simulation.tickIfDue();
  }
}

/** CPU time of a tick that looks for work to place while no waiting work fits. */
function tickMicros(waiting: number): number {
  const owner = newOwner(WORKERS_WITH_WAITING);
  addWaiting(owner, WORKERS_WITH_WAITING, waiting);
  const micros = cpuMicrosOf(() => {
    for (let tick = 0; tick < TICKS; tick += 1) {
      owner.simulation.step({ kind: 'tick' });
    }
  });
  return micros / TICKS;
}

function heapOfWorkers(workers: number): number {
  return heapOf(() => newOwner(workers, true));
}

function heapOfRunning(running: number): number {
  return heapOf(() => {
    const owner = newOwner(SHARD_WORKERS * 2, true);
    fill(owner, running, xoroshiro128plus(SEED));
    return owner;
  });
}

function heapOfWaiting(waiting: number): number {
  return heapOf(() => {
    const owner = newOwner(1, true);
    addWaiting(owner, 1, waiting);
    return owner;
  });
}

function heapOfEnded(ended: number): number {
  return heapOf(() => {
    const owner = newOwner(WORKERS_WITH_WAITING, true);
    const random = xoroshiro128plus(SEED);
    for (let count = 0; count < ended; count += 1) {
      owner.simulation.submit(batchDemand(random), BATCH);
      settle(owner);
      owner.simulation.endOldest();
    }
    settle(owner);
    return owner;
  });
}

/** Heap that the built object takes. */
function heapOf(build: () => OwnerWithLog): number {
  const before = heapBytes();
  const built = build();
  const after = heapBytes();
  // Using the object after the measurement keeps it from being collected before.
  return built.simulation.owner.fold.works.size < 0 ? 0 : after - before;
}
