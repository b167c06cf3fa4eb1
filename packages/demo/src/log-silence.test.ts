import test from 'ava';
import { startHarness, type CellHarness } from './harness.fixture.js';
import { verifyLogOutage } from './outage.fixture.js';

let harness: CellHarness;

test.before(async () => {
  harness = await startHarness();
});

test.after.always(async () => {
  await harness.cell.stop();
});

test.serial('while the log does not answer, work continues and verdicts are true', async (t) => {
  await verifyLogOutage(t, harness, 'hang');
});
