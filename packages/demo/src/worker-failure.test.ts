import test from 'ava';
import { TaskState, Verdict } from '@bamboowell/schema/generated/bamboowell/v1/bamboowell_pb';
import { brandAs, type WorkId } from '@bamboowell/types/ids';
import {
  submitAccepted,
  allTasksIn,
  startHarness,
  call,
  faultsOf,
  rolesOf,
  SHARD,
  shardStatusFrom,
  submit,
  until,
  untilWork,
  WORKERS_OF_SHARD,
  type CellHarness,
} from './harness.fixture.js';
import { readRecord, switchWorker, type WorkerSwitches } from './worker-control.fixture.js';

const OTHER_SHARD = 'nairobi-b';
const CALL_MILLIS = 1500;
const LAG_MILLIS = 2000;
const WAVE = 300;
/** Two fill a worker. */
const HALF_WORKER = { millicores: 32_000, memoryMib: 1024 };

let bench: CellHarness;

test.before(async () => {
  bench = await startHarness();
});

test.after.always(async () => {
  await bench.cell.stop();
});

async function switchAll(switches: WorkerSwitches): Promise<void> {
  for (const worker of WORKERS_OF_SHARD) {
    await switchWorker(bench.cell, worker, switches);
  }
}

async function runningOn(worker: string): Promise<number> {
  const { runs } = await readRecord(bench.cell, worker);
  return runs.filter(({ endedWallMillis }) => endedWallMillis === undefined).length;
}

async function startsOn(worker: string): Promise<number> {
  return (await readRecord(bench.cell, worker)).runs.length;
}

async function untilSeen(worker: string, state: string, shard = SHARD): Promise<void> {
  const [daemon = ''] = bench.cell.daemonIds;
  await until(
    `${worker} ${state}`,
    () => shardStatusFrom(bench, daemon, shard),
    ({ workers }) => workers.some((each) => each.worker === worker && each.state === state),
  );
}

test.serial('calls over connections that fall silent get a true verdict', async (t) => {
  const { other } = await rolesOf(bench);
  const options = { millis: CALL_MILLIS };
  const calls = Array.from({ length: 4 }, (_, index) =>
    call(bench, other, { ...options, idempotent: index % 2 === 0 }),
  );
  await until(
    'all runs',
    () => Promise.all(WORKERS_OF_SHARD.map(runningOn)),
    (counts) => counts.reduce((sum, count) => sum + count, 0) === calls.length,
  );
  await switchAll({ silent: true });
  const outcomes = await Promise.all(calls);
  t.log(outcomes.map((outcome) => (outcome.kind === 'refused' ? outcome.reason : outcome.kind)));
  t.true(outcomes.every((each) => each.kind === 'answered' || each.verdict !== 'not_run'));
  for (const worker of WORKERS_OF_SHARD) {
    await untilSeen(worker, 'attached');
  }
  t.is((await call(bench, other)).kind, 'answered');
  await switchAll({ silent: false });
  t.deepEqual(await faultsOf(bench), []);
});

test.serial('a worker that leaves by its own word gets nothing new', async (t) => {
  const { other } = await rolesOf(bench);
  const [leaving, staying] = ['worker-3', 'worker-4'] as const;
  await switchWorker(bench.cell, leaving, { leaving: true });
  await untilSeen(leaving, 'leaving', OTHER_SHARD);
  const options = { dataCentre: OTHER_SHARD };
  const before = await startsOn(leaving);
  const outcomes = await Promise.all(Array.from({ length: 12 }, () => call(bench, other, options)));
  t.deepEqual(
    outcomes.filter((each) => each.kind === 'refused' || each.worker !== staying),
    [],
  );
  t.is(await startsOn(leaving), before);
  t.deepEqual(await faultsOf(bench), []);
});

test.serial('a worker that fails everything does not get all work', async (t) => {
  const { other } = await rolesOf(bench);
  const first = await call(bench, other);
  const broken = first.kind === 'answered' ? first.worker : '';
  await switchWorker(bench.cell, broken, { failEverything: true });
  // More than one worker has slots for, so that some reach another one.
  const wave = async (): Promise<number> => {
    const outcomes = await Promise.all(
      Array.from({ length: 14 }, () => call(bench, other, { idempotent: true, millis: 50 })),
    );
    const failed = outcomes.filter((each) => each.kind === 'refused');
    t.true(failed.every(({ reason, verdict }) => reason === 'worker_failed' && verdict === 'ran'));
    return failed.length;
  };
  const failed = await wave();
  t.true(failed > 0);
  await until('a wave without failures', wave, (count) => count === 0);
  await untilSeen(broken, 'quarantined');
  await switchWorker(bench.cell, broken, { failEverything: false });
  t.deepEqual(await faultsOf(bench), []);
});

test.serial('a job that can never run is refused', async (t) => {
  const { other } = await rolesOf(bench);
  const demand = { ...HALF_WORKER, accelerators: 3 };
  const outcome = await submit(bench, other, 'batch', 1, { demand });
  t.like(outcome, { kind: 'refused', verdict: 'not_run', reason: 'impossible_size' });
  t.is((await call(bench, other)).kind, 'answered');
  t.deepEqual(await faultsOf(bench), []);
});

test.serial('a wave of cancellations tells the truth for each piece of work', async (t) => {
  const { other } = await rolesOf(bench);
  const options = { demand: HALF_WORKER, millis: 60_000 };
  const works = await Promise.all(
    Array.from({ length: WAVE }, () => submitAccepted(bench, other, 'batch', 1, options)),
  );
  await until(
    'a start',
    () => shardStatusFrom(bench, other),
    ({ running }) => running > 0,
  );
  const { outcomes } = await bench.cell.callers(other, bench.key).cancel({ workIds: works });
  t.is(new Set(outcomes.map(({ workId }) => workId)).size, WAVE);
  for (const { workId, verdict } of outcomes) {
    if (verdict === Verdict.NOT_RUN) {
      bench.reported.neverRan.add(brandAs<WorkId>(workId));
    }
  }
  for (const work of works) {
    const ended = await untilWork(bench, other, work, (status) => status.ended);
    t.true(allTasksIn(TaskState.CANCELLED)(ended));
  }
  t.log(`${outcomes.filter(({ verdict }) => verdict === Verdict.NOT_RUN).length} had not run`);
  t.is((await call(bench, other)).kind, 'answered');
  t.deepEqual(await faultsOf(bench), []);
});

test.serial('a worker that a lagging list shows as leaving gets nothing new', async (t) => {
  const { other } = await rolesOf(bench);
  const [staying = '', leaving = ''] = WORKERS_OF_SHARD;
  await bench.cell.switchVms({ lagMillis: LAG_MILLIS });
  await bench.cell.markLeaving(leaving);
  await untilSeen(leaving, 'leaving');
  const before = await startsOn(leaving);
  const outcomes = await Promise.all(Array.from({ length: 12 }, () => call(bench, other)));
  t.deepEqual(
    outcomes.filter((each) => each.kind === 'refused' || each.worker !== staying),
    [],
  );
  t.is(await startsOn(leaving), before);
  t.deepEqual(await faultsOf(bench), []);
});
