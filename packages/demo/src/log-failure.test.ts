import test from 'ava';
import { TaskState } from '@bamboowell/schema/generated/bamboowell/v1/bamboowell_pb';
import type { WorkId } from '@bamboowell/types/ids';
import {
  submitAccepted,
  allTasksIn,
  startHarness,
  faultsOf,
  rolesOf,
  submit,
  untilWork,
  type CellHarness,
} from './harness.fixture.js';
import { verifyLogOutage } from './outage.fixture.js';
import { readRecords } from './worker-control.fixture.js';

let harness: CellHarness;

test.before(async () => {
  harness = await startHarness();
});

test.after.always(async () => {
  await harness.cell.stop();
});

/** Number of runs of all tasks of a work item. */
async function runsOf(work: string): Promise<number> {
  const records = await readRecords(harness.cell);
  const runs = records.flatMap((record) => record.runs);
  return runs.filter(({ attempt }) => attempt.startsWith(`${work}/`)).length;
}

test.serial('while the log refuses requests, work continues and verdicts are true', async (t) => {
  await verifyLogOutage(t, harness, 'refuse');
});

const NO_FAULTS = {
  loseAnswers: { count: 0, how: 'cut' },
  lateEffect: { count: 0, afterAppends: 1 },
};
/** Switches of the log once all faults have occurred. */
const ALL_FAULTS_OCCURRED = { loseAnswers: { count: 0 }, lateEffect: { count: 0 } };

for (const [name, fault] of Object.entries({
  cut: { loseAnswers: { count: 3, how: 'cut' } },
  dropped: { loseAnswers: { count: 1, how: 'drop' } },
  'late effect': { lateEffect: { count: 1, afterAppends: 2 } },
})) {
  test.serial(`a submission takes effect once if a log answer is lost (${name})`, async (t) => {
    const { owner, other } = await rolesOf(harness);
    t.teardown(() => harness.cell.switchLog(NO_FAULTS));
    await harness.cell.switchLog(fault);
    const requests = ['1', '2', '3', '4'].map((number) => `${name}-${number}`);
    // One after the other, so that each has appends of its own.
    const first: WorkId[] = [];
    for (const requestId of requests) {
      first.push(await submitAccepted(harness, other, 'batch', 2, { requestId }));
    }
    t.like(await harness.cell.switchLog({}), ALL_FAULTS_OCCURRED);
    const again = await Promise.all(
      requests.map((requestId) => submit(harness, owner, 'batch', 2, { requestId })),
    );
    t.deepEqual(
      again.map((outcome) => outcome.kind === 'answered' && [outcome.work, outcome.repeated]),
      first.map((work) => [work, true]),
    );
    for (const work of first) {
      const ended = await untilWork(harness, owner, work, (status) => status.ended);
      t.true(allTasksIn(TaskState.SUCCEEDED)(ended));
      t.is(await runsOf(work), 2);
    }
    t.deepEqual(await faultsOf(harness), []);
  });
}
