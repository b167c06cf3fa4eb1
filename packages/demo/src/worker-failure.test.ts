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
const CANCELLED_ITEMS = 300;
/** Two of these fill a worker. */
const HALF_WORKER = { millicores: 32_000, memoryMib: 1024 };

let harness: CellHarness;

test.before(async () => {
  harness = await startHarness();
});

test.after.always(async () => {
  await harness.cell.stop();
});

async function switchAll(switches: WorkerSwitches): Promise<void> {
  for (const worker of WORKERS_OF_SHARD) {
    await switchWorker(harness.cell, worker, switches);
  }
}

async function runningOn(worker: string): Promise<number> {
  const { runs } = await readRecord(harness.cell, worker);
  return runs.filter(({ endedWallMillis }) => endedWallMillis === undefined).length;
}

async function startsOn(worker: string): Promise<number> {
  return (await readRecord(harness.cell, worker)).runs.length;
}

async function untilSeen(worker: string, state: string, shard = SHARD): Promise<void> {
  const [daemon = ''] = harness.cell.daemonIds;
  await until(
    `${worker} ${state}`,
    () => shardStatusFrom(harness, daemon, shard),
    ({ workers }) => workers.some((each) => each.worker === worker && each.state === state),
  );
}

test.serial('calls over connections that fall silent get a true verdict', async (t) => {
  const { other } = await rolesOf(harness);
  const options = { millis: CALL_MILLIS };
  const calls = Array.from({ length: 4 }, (_, index) =>
    call(harness, other, { ...options, idempotent: index % 2 === 0 }),
  );
  await until(
    'all calls to run',
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
  t.is((await call(harness, other)).kind, 'answered');
  await switchAll({ silent: false });
  t.deepEqual(await faultsOf(harness), []);
});

test.serial('a worker that reports that it is leaving gets no new work', async (t) => {
  const { other } = await rolesOf(harness);
  const [leaving, staying] = ['worker-3', 'worker-4'] as const;
  await switchWorker(harness.cell, leaving, { leaving: true });
  await untilSeen(leaving, 'leaving', OTHER_SHARD);
  const options = { dataCentre: OTHER_SHARD };
  const before = await startsOn(leaving);
  const outcomes = await Promise.all(
    Array.from({ length: 12 }, () => call(harness, other, options)),
  );
  t.deepEqual(
    outcomes.filter((each) => each.kind === 'refused' || each.worker !== staying),
    [],
  );
  t.is(await startsOn(leaving), before);
  t.deepEqual(await faultsOf(harness), []);
});

test.serial('a worker that fails everything does not get all work', async (t) => {
  const { other } = await rolesOf(harness);
  const first = await call(harness, other);
  const broken = first.kind === 'answered' ? first.worker : '';
  await switchWorker(harness.cell, broken, { failEverything: true });
  // More calls than one worker has slots, so that some reach another worker.
  const round = async (): Promise<number> => {
    const outcomes = await Promise.all(
      Array.from({ length: 14 }, () => call(harness, other, { idempotent: true, millis: 50 })),
    );
    const failed = outcomes.filter((each) => each.kind === 'refused');
    t.true(failed.every(({ reason, verdict }) => reason === 'worker_failed' && verdict === 'ran'));
    return failed.length;
  };
  const failed = await round();
  t.true(failed > 0);
  await until('a round of calls without failures', round, (count) => count === 0);
  await untilSeen(broken, 'quarantined');
  await switchWorker(harness.cell, broken, { failEverything: false });
  t.deepEqual(await faultsOf(harness), []);
});

test.serial('a work item that can never run is refused', async (t) => {
  const { other } = await rolesOf(harness);
  const demand = { ...HALF_WORKER, accelerators: 3 };
  const outcome = await submit(harness, other, 'batch', 1, { demand });
  t.like(outcome, { kind: 'refused', verdict: 'not_run', reason: 'impossible_size' });
  t.is((await call(harness, other)).kind, 'answered');
  t.deepEqual(await faultsOf(harness), []);
});

test.serial('cancelling many work items at once gives a true verdict for each', async (t) => {
  const { other } = await rolesOf(harness);
  const options = { demand: HALF_WORKER, millis: 60_000 };
  const works = await Promise.all(
    Array.from({ length: CANCELLED_ITEMS }, () =>
      submitAccepted(harness, other, 'batch', 1, options),
    ),
  );
  await until(
    'a start',
    () => shardStatusFrom(harness, other),
    ({ running }) => running > 0,
  );
  const { outcomes } = await harness.cell.callers(other, harness.key).cancel({ workIds: works });
  t.is(new Set(outcomes.map(({ workId }) => workId)).size, CANCELLED_ITEMS);
  for (const { workId, verdict } of outcomes) {
    if (verdict === Verdict.NOT_RUN) {
      harness.reported.neverRan.add(brandAs<WorkId>(workId));
    }
  }
  for (const work of works) {
    const ended = await untilWork(harness, other, work, (status) => status.ended);
    t.true(allTasksIn(TaskState.CANCELLED)(ended));
  }
  t.log(`${outcomes.filter(({ verdict }) => verdict === Verdict.NOT_RUN).length} had not run`);
  t.is((await call(harness, other)).kind, 'answered');
  t.deepEqual(await faultsOf(harness), []);
});

test.serial('a worker that a lagging list shows as leaving gets no new work', async (t) => {
  const { other } = await rolesOf(harness);
  const [staying = '', leaving = ''] = WORKERS_OF_SHARD;
  await harness.cell.switchVms({ lagMillis: LAG_MILLIS });
  await harness.cell.markLeaving(leaving);
  await untilSeen(leaving, 'leaving');
  const before = await startsOn(leaving);
  const outcomes = await Promise.all(Array.from({ length: 12 }, () => call(harness, other)));
  t.deepEqual(
    outcomes.filter((each) => each.kind === 'refused' || each.worker !== staying),
    [],
  );
  t.is(await startsOn(leaving), before);
  t.deepEqual(await faultsOf(harness), []);
});
