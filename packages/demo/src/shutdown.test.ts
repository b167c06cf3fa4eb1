import test from 'ava';
import {
  submitAccepted,
  startHarness,
  call,
  faultsOf,
  rolesOf,
  shardStatusFrom,
  until,
  untilWork,
  type CellHarness,
} from './harness.fixture.js';

const CALL_MILLIS = 2500;
const CALLS = 4;

let harness: CellHarness;

test.before(async () => {
  harness = await startHarness();
});

test.after.always(async () => {
  await harness.cell.stop();
});

function calls(through: string, dataCentre: string) {
  const options = { millis: CALL_MILLIS, dataCentre };
  return Array.from({ length: CALLS }, () => call(harness, through, options));
}

test.serial('a daemon that is asked to stop answers all calls in progress', async (t) => {
  const { owner, other } = await rolesOf(harness);
  const { epoch } = await shardStatusFrom(harness, other);
  const batch = await submitAccepted(harness, other, 'batch', 2, { millis: 2 * CALL_MILLIS });
  const pending = [
    ...calls(owner, 'nairobi-a'),
    ...calls(owner, 'nairobi-b'),
    ...calls(other, 'nairobi-a'),
  ];
  await until(
    'all calls to run',
    () => shardStatusFrom(harness, other),
    ({ running }) => running >= 2 + 2 * CALLS,
  );
  const exitCode = await harness.cell.daemon(owner).stop();
  const outcomes = await Promise.all(pending);
  t.deepEqual(
    outcomes.filter(({ kind }) => kind === 'refused'),
    [],
  );
  t.is(exitCode, 0);

  await until(
    'a new owner',
    () => shardStatusFrom(harness, other),
    (shard) => shard.epoch > epoch && shard.owner !== owner && shard.fresh,
  );
  t.is((await call(harness, other)).kind, 'answered');
  const ended = await untilWork(harness, other, batch, (status) => status.ended);
  t.deepEqual(
    ended.tasks.map(({ attempts }) => attempts),
    [1, 1],
  );
  await harness.cell.startDaemon(owner);
  t.is((await call(harness, owner)).kind, 'answered');
  t.deepEqual(await faultsOf(harness), []);
});
