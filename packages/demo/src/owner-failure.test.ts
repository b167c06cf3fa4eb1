import test from 'ava';
import {
  TaskState,
  type WorkStatus,
} from '@bamboowell/schema/generated/bamboowell/v1/bamboowell_pb';
import {
  submitAccepted,
  allTasksIn,
  startHarness,
  call,
  faultsOf,
  rolesOf,
  shardStatusFrom,
  until,
  untilWork,
  type CellHarness,
} from './harness.fixture.js';

const PATIENT_MILLIS = 9000;

let bench: CellHarness;

function placesOf({ tasks }: WorkStatus): string[] {
  return tasks.map(({ worker }) => worker);
}

test.before(async () => {
  bench = await startHarness();
});

test.after.always(async () => {
  await bench.cell.stop();
});

test.serial('a killed owner stops no running work, and its shard is taken over', async (t) => {
  const { owner, other } = await rolesOf(bench);
  const [batch, gang, service] = await Promise.all([
    submitAccepted(bench, other, 'batch', 3, { millis: PATIENT_MILLIS, idempotent: false }),
    submitAccepted(bench, other, 'gang', 2, { millis: PATIENT_MILLIS, idempotent: false }),
    submitAccepted(bench, other, 'service', 2, { millis: 10 * PATIENT_MILLIS, idempotent: false }),
  ]);
  await untilWork(bench, other, batch, allTasksIn(TaskState.RUNNING));
  await untilWork(bench, other, gang, allTasksIn(TaskState.RUNNING));
  const before = await untilWork(bench, other, service, allTasksIn(TaskState.RUNNING));
  const { epoch } = await shardStatusFrom(bench, other);
  await bench.cell.daemon(owner).kill();

  const next = await call(bench, other);
  t.is(next.kind, 'answered');
  t.true((await shardStatusFrom(bench, other)).epoch > epoch);

  for (const work of [batch, gang]) {
    const ended = await untilWork(bench, other, work, (status) => status.ended);
    t.true(allTasksIn(TaskState.SUCCEEDED)(ended));
    t.deepEqual(
      ended.tasks.map(({ attempts }) => attempts),
      ended.tasks.map(() => 1),
    );
  }
  const running = await untilWork(bench, other, service, allTasksIn(TaskState.RUNNING));
  t.deepEqual(placesOf(running), placesOf(before));
  await bench.cell.callers(other, bench.key).cancel({ workIds: [service] });
  await untilWork(bench, other, service, (status) => status.ended);
  await bench.cell.startDaemon(owner);
  t.deepEqual(await faultsOf(bench), []);
});

test.serial('an owner that wakes after it lost its shard starts nothing', async (t) => {
  const { owner, other } = await rolesOf(bench);
  const { epoch } = await shardStatusFrom(bench, other);
  const running = await submitAccepted(bench, other, 'batch', 2, {
    millis: PATIENT_MILLIS,
    idempotent: false,
  });
  await untilWork(bench, other, running, allTasksIn(TaskState.RUNNING));
  // In the owner's hands when it freezes.
  const early = Array.from({ length: 10 }, () => call(bench, other, { millis: 400 }));
  await until(
    'a start',
    () => shardStatusFrom(bench, other),
    (shard) => shard.running > 2,
  );
  bench.cell.daemon(owner).freeze();
  const through = Array.from({ length: 5 }, () => call(bench, owner));
  const during = Array.from({ length: 5 }, () => call(bench, other));
  await until(
    'a new owner',
    () => shardStatusFrom(bench, other),
    (shard) => shard.epoch > epoch && shard.owner !== owner && shard.fresh,
  );
  const after = await Promise.all(Array.from({ length: 5 }, () => call(bench, other)));
  t.deepEqual(
    after.map(({ kind }) => kind),
    after.map(() => 'answered'),
  );
  bench.cell.daemon(owner).resume();

  await Promise.all([...early, ...through, ...during]);
  await until(
    'the truth on the woken daemon',
    () => shardStatusFrom(bench, owner),
    (shard) => shard.epoch > epoch && shard.owner !== owner,
  );
  const ended = await untilWork(bench, owner, running, (status) => status.ended);
  t.true(allTasksIn(TaskState.SUCCEEDED)(ended));
  t.is((await call(bench, owner)).kind, 'answered');
  t.deepEqual(await faultsOf(bench), []);
});
