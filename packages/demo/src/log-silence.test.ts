import test from 'ava';
import { buildBench, type Bench } from './bench.fixture.js';
import { outage } from './outage.fixture.js';

let bench: Bench;

test.before(async () => {
  bench = await buildBench();
});

test.after.always(async () => {
  await bench.cell.stop();
});

test.serial('while the log is silent, work runs on and refusals are true', async (t) => {
  await outage(t, bench, 'hang');
});
