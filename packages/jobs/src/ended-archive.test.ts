import test from 'ava';
import {
  configurationOf,
  cores,
  jobId,
  jobPlan,
  jobQueue,
  workerRegistration,
} from './plans.fixture.js';
import { schedulerHarness } from './scheduler.fixture.js';

/** Longer than the interval at which ended jobs are archived, and than their states are kept. */
const ARCHIVE_MILLIS = 1100;
const RETENTION_MILLIS = 160_000;

/** A scheduler that has taken in and done as many jobs, and archived their states. */
function harnessWithEnded(jobs: number) {
  const workers = [workerRegistration('w1', { capacity: cores(1000, 1_000_000) })];
  const configuration = configurationOf([jobQueue()], { weight: 10_000 });
  const harness = schedulerHarness({ workers, configuration });
  harness.reportFromAll();
  for (let index = 1; index <= jobs; index += 1) {
    harness.submit(jobPlan(index));
  }
  harness.commit();
  harness.place().forEach((start) => {
    harness.answerStart(start);
  });
  harness.starts().forEach((start) => {
    harness.end(start, 'done');
  });
  harness.commit();
  harness.advance(ARCHIVE_MILLIS);
  harness.place();
  return harness;
}

// Guards against a change of owner that takes a second because the new owner reads a record for each job
// of the last minutes, page by page.
test('ended jobs share records, and a new owner knows all of them', (t) => {
  const harness = harnessWithEnded(950);
  t.true(harness.store.size < 100, `${harness.store.size} records`);
  harness.takeOver();
  for (const index of [1, 100, 101, 899, 950]) {
    t.deepEqual(harness.stateOf(jobId(index)), { kind: 'state', state: 'completed' });
  }
  t.deepEqual(harness.stateOf(jobId(951)), { kind: 'unknown_job' });
});

test('an archived job that is sent again or cancelled is answered as before, and stays archived', (t) => {
  const harness = harnessWithEnded(100);
  const records = harness.store.size;
  const again = harness.submit(jobPlan(7));
  const cancelled = harness.cancel(jobId(8));
  harness.commit();
  t.deepEqual(harness.answers.get(again), { kind: 'accepted', repeated: true });
  t.deepEqual(harness.answers.get(cancelled), { kind: 'cancelled' });
  t.is(harness.store.size, records);
  t.deepEqual(harness.stateOf(jobId(8)), { kind: 'state', state: 'completed' });
});

test('the records of archived jobs are deleted when the jobs are forgotten, also by a later owner', (t) => {
  const harness = harnessWithEnded(250);
  harness.takeOver();
  harness.advance(RETENTION_MILLIS);
  harness.place();
  t.is(harness.store.size, 0);
  t.deepEqual(harness.stateOf(jobId(1)), { kind: 'unknown_job' });
});

test('a job that has both a record of its own and a common one is restored once', (t) => {
  const harness = harnessWithEnded(100);
  const own = { state: 'completed', acceptedAt: 1, endedAt: 2, occurrences: 1, tasks: [] };
  harness.store.set(`progress/${jobId(5)}`, own);
  harness.takeOver();
  t.deepEqual(harness.stateOf(jobId(5)), { kind: 'state', state: 'completed' });
});
