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

let bench: CellHarness;

test.before(async () => {
  bench = await startHarness();
});

test.after.always(async () => {
  await bench.cell.stop();
});

function calls(through: string, dataCentre: string) {
  const options = { millis: CALL_MILLIS, dataCentre };
  return Array.from({ length: CALLS }, () => call(bench, through, options));
}

test.serial('a daemon that is asked to stop answers all calls in hand', async (t) => {
  const { owner, other } = await rolesOf(bench);
  const { epoch } = await shardStatusFrom(bench, other);
  const batch = await submitAccepted(bench, other, 'batch', 2, { millis: 2 * CALL_MILLIS });
  const inHand = [
    ...calls(owner, 'nairobi-a'),
    ...calls(owner, 'nairobi-b'),
    ...calls(other, 'nairobi-a'),
  ];
  await until(
    'the calls run',
    () => shardStatusFrom(bench, other),
    ({ running }) => running >= 2 + 2 * CALLS,
  );
  const exitCode = await bench.cell.daemon(owner).stop();
  const outcomes = await Promise.all(inHand);
  t.deepEqual(
    outcomes.filter(({ kind }) => kind === 'refused'),
    [],
  );
  t.is(exitCode, 0);

  await until(
    'a new owner',
    () => shardStatusFrom(bench, other),
    (shard) => shard.epoch > epoch && shard.owner !== owner && shard.fresh,
  );
  t.is((await call(bench, other)).kind, 'answered');
  const ended = await untilWork(bench, other, batch, (status) => status.ended);
  t.deepEqual(
    ended.tasks.map(({ attempts }) => attempts),
    [1, 1],
  );
  await bench.cell.startDaemon(owner);
  t.is((await call(bench, owner)).kind, 'answered');
  t.deepEqual(await faultsOf(bench), []);
});
