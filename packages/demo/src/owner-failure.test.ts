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

const LONG_RUN_MILLIS = 9000;

let harness: CellHarness;

function workersOf({ tasks }: WorkStatus): string[] {
  return tasks.map(({ worker }) => worker);
}

test.before(async () => {
  harness = await startHarness();
});

test.after.always(async () => {
  await harness.cell.stop();
});

test.serial('a killed owner stops no running work, and its shard is taken over', async (t) => {
  const { owner, other } = await rolesOf(harness);
  const [batch, gang, service] = await Promise.all([
    submitAccepted(harness, other, 'batch', 3, { millis: LONG_RUN_MILLIS, idempotent: false }),
    submitAccepted(harness, other, 'gang', 2, { millis: LONG_RUN_MILLIS, idempotent: false }),
    submitAccepted(harness, other, 'service', 2, {
      millis: 10 * LONG_RUN_MILLIS,
      idempotent: false,
    }),
  ]);
  await untilWork(harness, other, batch, allTasksIn(TaskState.RUNNING));
  await untilWork(harness, other, gang, allTasksIn(TaskState.RUNNING));
  const before = await untilWork(harness, other, service, allTasksIn(TaskState.RUNNING));
  const { epoch } = await shardStatusFrom(harness, other);
  await harness.cell.daemon(owner).kill();

  const next = await call(harness, other);
  t.is(next.kind, 'answered');
  t.true((await shardStatusFrom(harness, other)).epoch > epoch);

  for (const work of [batch, gang]) {
    const ended = await untilWork(harness, other, work, (status) => status.ended);
    t.true(allTasksIn(TaskState.SUCCEEDED)(ended));
    t.deepEqual(
      ended.tasks.map(({ attempts }) => attempts),
      ended.tasks.map(() => 1),
    );
  }
  const running = await untilWork(harness, other, service, allTasksIn(TaskState.RUNNING));
  t.deepEqual(workersOf(running), workersOf(before));
  await harness.cell.callers(other, harness.key).cancel({ workIds: [service] });
  await untilWork(harness, other, service, (status) => status.ended);
  await harness.cell.startDaemon(owner);
  t.deepEqual(await faultsOf(harness), []);
});

test.serial('an owner that resumes after it lost its shard starts nothing', async (t) => {
  const { owner, other } = await rolesOf(harness);
  const { epoch } = await shardStatusFrom(harness, other);
  const running = await submitAccepted(harness, other, 'batch', 2, {
    millis: LONG_RUN_MILLIS,
    idempotent: false,
  });
  await untilWork(harness, other, running, allTasksIn(TaskState.RUNNING));
  // The owner is processing these calls when it freezes.
  const early = Array.from({ length: 10 }, () => call(harness, other, { millis: 400 }));
  await until(
    'a start',
    () => shardStatusFrom(harness, other),
    (shard) => shard.running > 2,
  );
  harness.cell.daemon(owner).freeze();
  const through = Array.from({ length: 5 }, () => call(harness, owner));
  const during = Array.from({ length: 5 }, () => call(harness, other));
  await until(
    'a new owner',
    () => shardStatusFrom(harness, other),
    (shard) => shard.epoch > epoch && shard.owner !== owner && shard.fresh,
  );
  const after = await Promise.all(Array.from({ length: 5 }, () => call(harness, other)));
  t.deepEqual(
    after.map(({ kind }) => kind),
    after.map(() => 'answered'),
  );
  harness.cell.daemon(owner).resume();

  await Promise.all([...early, ...through, ...during]);
  await until(
    'the resumed daemon to see the new owner',
    () => shardStatusFrom(harness, owner),
    (shard) => shard.epoch > epoch && shard.owner !== owner,
  );
  const ended = await untilWork(harness, owner, running, (status) => status.ended);
  t.true(allTasksIn(TaskState.SUCCEEDED)(ended));
  t.is((await call(harness, owner)).kind, 'answered');
  t.deepEqual(await faultsOf(harness), []);
});
