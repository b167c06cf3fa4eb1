import test from 'ava';
import { startHarness, type CellHarness } from './harness.fixture.js';
import { verifyLogOutage } from './outage.fixture.js';

let bench: CellHarness;

test.before(async () => {
  bench = await startHarness();
});

test.after.always(async () => {
  await bench.cell.stop();
});

test.serial('while the log is silent, work runs on and refusals are true', async (t) => {
  await verifyLogOutage(t, bench, 'hang');
});
