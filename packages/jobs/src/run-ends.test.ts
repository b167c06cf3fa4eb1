import test from 'ava';
import { brandAs } from '@bamboowell/types/ids';
import type { JobId, RunNumber } from '@bamboowell/types/job';
import { NEVER, type Deadline, type Instant } from '@bamboowell/types/time';
import { newJob, newOccurrence, newWorker, type Progress, type Run } from './model.js';
import { jobPlan, jobQueue, stepPlan, workerRegistration } from './plans.fixture.js';
import { expectedEndOf, lateEndIfStarted } from './run-ends.js';

const at = (millis: number) => brandAs<Instant>(millis);
const by = (millis: number) => brandAs<Deadline>(millis);

/** A run that was confirmed at 1,000 ms and is estimated to take a second. */
function runOf({ isLasting = false, progress }: { isLasting?: boolean; progress?: Progress }): Run {
  const plan = jobPlan(1, { steps: [stepPlan({ estimateMillis: 1000, isLasting })] });
  const job = newJob({ ...plan, id: brandAs<JobId>('1') }, jobQueue(), brandAs(0));
  const task = newOccurrence(job, plan, 0).steps[0]?.tasks[0];
  if (task === undefined) {
    throw new Error('the plan has no task');
  }
  return {
    task,
    number: brandAs<RunNumber>(1),
    worker: newWorker(workerRegistration('w1'), NEVER),
    grant: undefined,
    phase: 'running',
    hasUnansweredStart: false,
    confirmedAt: at(1000),
    progress,
    isIsolated: false,
  };
}

test('a run is expected to take as long as its caller estimates', (t) => {
  t.is(expectedEndOf(runOf({}), at(1500)), by(2000));
});

// Guards against room that counts as free soon for as long as a run outlives its estimate.
test('a run that outlives its estimate is expected to take twice as long, and twice again', (t) => {
  t.is(expectedEndOf(runOf({}), at(2500)), by(3000));
  t.is(expectedEndOf(runOf({}), at(3500)), by(5000));
});

test('the progress of a run tells its end better than an estimate', (t) => {
  const progress = { percent: 20, firstSeenAt: at(3000), lastSeenAt: at(3000) };
  t.is(expectedEndOf(runOf({ progress }), at(3100)), by(11_000));
  const early = { ...progress, percent: 5 };
  t.is(expectedEndOf(runOf({ progress: early }), at(1500)), by(2000));
});

// Guards against runs that may take any time and start in the room of a gang that is about to start.
test('a run is given twice its estimate, and without one it is not expected to end', (t) => {
  const { step } = runOf({}).task;
  t.is(lateEndIfStarted(step, at(1000)), by(3000));
  const unknown = { ...step, plan: { ...step.plan, estimateMillis: 0 } };
  t.is(lateEndIfStarted(unknown, at(1000)), NEVER);
});

test('a run that stops is expected to end now, and a lasting one never', (t) => {
  const stopping = runOf({ isLasting: true });
  stopping.phase = 'stopping';
  t.is(expectedEndOf(stopping, at(1500)), by(1500));
  t.is(expectedEndOf(runOf({ isLasting: true }), at(1500)), NEVER);
});
