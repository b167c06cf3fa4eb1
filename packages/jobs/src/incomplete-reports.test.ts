import test from 'ava';
import { brandAs } from '@bamboowell/types/ids';
import type { EndedEntry, EndNumber, SavedProgress, StepTaskId } from '@bamboowell/types/job';
import { jobId, jobPlan, workerRegistration } from './plans.fixture.js';
import { schedulerHarness, type ReceivedStart } from './scheduler.fixture.js';

/** Most ends that a worker lists at once. */
const MAX_LISTED_ENDS = 500;

/** A new owner that has yet to hear of the worker with its only run. */
function harnessAfterTakeover() {
  const harness = schedulerHarness({ workers: [workerRegistration('w1')] });
  harness.reportFromAll();
  harness.submit(jobPlan(1));
  harness.commit();
  const [start] = harness.place();
  if (start === undefined) {
    throw new Error('nothing was started');
  }
  harness.takeOver();
  return { harness, start };
}

/** Ends of runs of other jobs, numbered from 1. */
function otherEnds(count: number): EndedEntry[] {
  return Array.from({ length: count }, (_, index) => ({
    number: brandAs<EndNumber>(index + 1),
    task: brandAs<StepTaskId>(`${jobId(index + 2)}.0.0.0`),
    run: brandAs<EndedEntry['run']>(1),
    end: 'done',
    saved: brandAs<SavedProgress>(''),
  }));
}

function doneEnd({ task, run }: ReceivedStart, number: number): EndedEntry {
  const saved = brandAs<SavedProgress>('');
  return { number: brandAs<EndNumber>(number), task, run, end: 'done', saved };
}

// Guards against a task that starts again because its end was not among the first that its worker lists (TWICE).
test('a first report that may leave ends out says nothing about runs that it does not list', (t) => {
  const { harness, start } = harnessAfterTakeover();
  harness.report(start.incarnation, [], otherEnds(MAX_LISTED_ENDS));
  t.deepEqual(harness.place(), []);
  t.is(Number(harness.of('acknowledge').at(-1)?.upTo), MAX_LISTED_ENDS);
  harness.report(start.incarnation, [], [doneEnd(start, MAX_LISTED_ENDS + 1)]);
  t.deepEqual(harness.place(), []);
  t.deepEqual(harness.stateOf(jobId(1)), { kind: 'state', state: 'completed' });
});

// Guards against a task that never starts again (LOST).
test('the first whole report drops the runs that it does not list', (t) => {
  const { harness, start } = harnessAfterTakeover();
  harness.report(start.incarnation, [], otherEnds(MAX_LISTED_ENDS));
  harness.report(start.incarnation, [], otherEnds(MAX_LISTED_ENDS - 1));
  t.deepEqual(
    harness.place().map(({ run }) => Number(run)),
    [2],
  );
});
