/**
 * Measures the control traffic at the peak load of the two-year plan: six shard owners with the
 * real decision code on a manual clock, each with its own stream in one in-memory log. For
 * comparison it computes the cost of one append for each record and for each start.
 */

import { setImmediate as turn } from 'node:timers/promises';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { ManualClock } from '@bamboowell/kernel/manual-clock';
import { CELL_APPENDS_PER_SECOND } from '@bamboowell/log/append-pace';
import type { StreamStats } from '@bamboowell/log/stream-messages';
import { brandAs, type ShardId } from '@bamboowell/types/ids';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { DelayedLog } from './delayed-log.js';
import { amountOf, batchDemand } from './fleets.js';
import { rounded } from './line-fit.js';
import { measureMembersTraffic } from './members-traffic.js';
import { OwnerTask } from './owner-task.js';
import { SHARD_WORKERS } from './owner-slopes.js';

const SEED = 20_261_204;
const SHARDS = 6;
const PEAK_STARTS_PER_SECOND = 920;
/** Appends to one stream; the default of the daemon's setting `log.appendsPerSecond`. */
const APPENDS_PER_SECOND = 30;
const LATENCY_MILLIS = 20;
const CLAIM_WAIT_MILLIS = 1_000;
const STEP_MILLIS = 10;
const WARM_UP_MILLIS = 5_000;
const MEASURED_MILLIS = 10_000;
/** Time from the start of an attempt to its end. */
const RUN_MILLIS = 2_000;
const TURNS_PER_STEP = 8;
const MILLIS_PER_SECOND = 1_000;
const SECONDS = MEASURED_MILLIS / MILLIS_PER_SECOND;
const CAPACITY = amountOf(64, 128, 8);
/** Tasks per work item: 1 gives the most records per start, 20 is a typical batch. */
const TASK_COUNTS = [1, 20];

export async function measureControlCost(): Promise<object> {
  const runs: object[] = [];
  for (const tasks of TASK_COUNTS) {
    runs.push(await measureTasksPerWork(tasks));
  }
  const members = await measureMembersTraffic();
  return { seed: SEED, target: { appendsPerSecond: CELL_APPENDS_PER_SECOND }, runs, members };
}

async function measureTasksPerWork(tasksOfWork: number): Promise<object> {
  const clock = new ManualClock();
  const log = new DelayedLog(clock, LATENCY_MILLIS);
  const owners = Array.from({ length: SHARDS }, (_, number) => {
    const shard = brandAs<ShardId>(`data-centre-${number + 1}`);
    const options = { shard, workers: SHARD_WORKERS, capacity: CAPACITY };
    return new OwnerTask(options, log, clock, APPENDS_PER_SECOND);
  });
  await Promise.all(owners.map((owner) => owner.start(raise)));
  await waitForClaims(clock);
  const driver = new LoadDriver(owners, clock, tasksOfWork);
  await driver.advance(WARM_UP_MILLIS);
  const before = await statsOf(owners);
  for (const owner of owners) {
    owner.clearTraffic();
  }
  await driver.advance(MEASURED_MILLIS);
  const after = await statsOf(owners);
  const figures = figuresOf(owners, before, after);
  await Promise.all(owners.map((owner) => owner.stop()));
  return { tasksOfWork, startsPerSecond: PEAK_STARTS_PER_SECOND, ...figures };
}

/** Ends the measurement when a task fails. */
function raise(error: unknown): never {
  throw error;
}

/** Advances the clock until the owners have read their claims back from the log. */
async function waitForClaims(clock: ManualClock): Promise<void> {
  for (let passed = 0; passed < CLAIM_WAIT_MILLIS; passed += STEP_MILLIS) {
    clock.advance(STEP_MILLIS);
    await settle();
  }
}

/** Sends submissions, ends of attempts and heartbeats to the owners at constant rates. */
class LoadDriver {
  private readonly random: RandomGenerator = xoroshiro128plus(SEED);
  private readonly startedAt: number;

  constructor(
    private readonly owners: readonly OwnerTask[],
    private readonly clock: ManualClock,
    private readonly tasksOfWork: number,
  ) {
    this.startedAt = clock.now();
  }

  async advance(millis: number): Promise<void> {
    const until = this.clock.now() + millis;
    while (this.clock.now() < until) {
      this.clock.advance(STEP_MILLIS);
      for (const owner of this.owners) {
        this.drive(owner);
      }
      await settle();
    }
  }

  private drive(owner: OwnerTask): void {
    const perOwner = PEAK_STARTS_PER_SECOND / SHARDS;
    const shape = { kind: 'batch' as const, tasks: this.tasksOfWork };
    const submits = this.dueNumbers(perOwner / this.tasksOfWork, 0);
    owner.post({
      kind: 'drive',
      submits: submits.map(() => ({ demand: batchDemand(this.random), shape })),
      ends: this.dueNumbers(perOwner, RUN_MILLIS).length,
      heartbeats: this.dueNumbers(SHARD_WORKERS, 0).map((number) => number % SHARD_WORKERS),
    });
  }

  /** Numbers of the events due in this time step, at a constant rate that starts after `delayMillis`. */
  private dueNumbers(perSecond: number, delayMillis: number): number[] {
    const now = this.clock.now() - this.startedAt - delayMillis;
    const upTo = (millis: number): number =>
      Math.floor((Math.max(0, millis) * perSecond) / MILLIS_PER_SECOND);
    const first = upTo(now - STEP_MILLIS);
    return Array.from({ length: upTo(now) - first }, (_, index) => first + index);
  }
}

async function settle(): Promise<void> {
  for (let count = 0; count < TURNS_PER_STEP; count += 1) {
    await turn();
  }
}

async function statsOf(owners: readonly OwnerTask[]): Promise<StreamStats[]> {
  return Promise.all(owners.map((owner) => owner.stats()));
}

function figuresOf(
  owners: readonly OwnerTask[],
  before: readonly StreamStats[],
  after: readonly StreamStats[],
) {
  const rateOf = (select: (stats: StreamStats) => number): number =>
    rounded((sumOf(after.map(select)) - sumOf(before.map(select))) / SECONDS);
  const rateOfOwners = (select: (owner: OwnerTask) => number): number =>
    rounded(sumOf(owners.map(select)) / SECONDS);
  return {
    cell: {
      appendsPerSecond: rateOf(({ appends }) => appends),
      appendedBytesPerSecond: rateOf(({ appendedBytes }) => appendedBytes),
      readsPerSecondByOwners: rateOf(({ reads }) => reads),
      recordsPerSecond: rateOfOwners(({ records }) => records.messages),
      recordBytesPerSecond: rateOfOwners(({ records }) => records.bytes),
      workerLinkBytesPerSecond: rateOfOwners(({ workerLinks }) => workerLinks.bytes),
    },
    oneAppendARecord: {
      appendsPerSecond: rateOfOwners(({ singleRecordAppends }) => singleRecordAppends.messages),
      appendedBytesPerSecond: rateOfOwners(({ singleRecordAppends }) => singleRecordAppends.bytes),
    },
    oneAppendAStart: {
      appendsPerSecond: rateOfOwners(
        ({ singleRecordAppends }) => singleRecordAppends.countOf('place').messages,
      ),
      appendedBytesPerSecond: rateOfOwners(
        ({ singleRecordAppends }) => singleRecordAppends.countOf('place').bytes,
      ),
    },
    shard: {
      workers: SHARD_WORKERS,
      records: owners[0]?.records.rates(SECONDS),
      workerLinks: owners[0]?.workerLinks.rates(SECONDS),
    },
    queuedAtEnd: sumOf(after.map(({ queued }) => queued)),
    rejected: sumOf(after.map(({ rejected }) => rejected)),
  };
}

function sumOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}
