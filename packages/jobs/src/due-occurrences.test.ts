import test from 'ava';
import { brandAs } from '@bamboowell/types/ids';
import type { WallInstant } from '@bamboowell/types/job';
import { bytesOf, MAX_JOB_BYTES } from './job-memory.js';
import { cores, jobId, jobPlan, stepPlan, workerRegistration } from './plans.fixture.js';
import { schedulerHarness } from './scheduler.fixture.js';

const DUE = 64_800;
/** Steps that may be open beside those that run. */
const MOST_OPEN_STEPS = 600;

function timedJob(number: number, count = DUE) {
  const repetition = { count, firstAt: brandAs<WallInstant>(1_600_000_000_000), intervalMillis: 1 };
  return jobPlan(number, { repetition });
}

/** Jobs with as many occurrences due at once, beside workers of four cores. */
function behindBy(count: number, jobs: number) {
  const workers = ['w1', 'w2'].map((name) => workerRegistration(name, { capacity: cores(4) }));
  const harness = schedulerHarness({ workers });
  harness.reportFromAll();
  for (let number = 1; number <= jobs; number += 1) {
    harness.submit(timedJob(number, count));
  }
  harness.place();
  return harness;
}

// Guards against owners that run out of memory, one after the other, when two jobs have 64,800 occurrences due each.
test('of the occurrences that are due at once, only as many are open as can start soon', (t) => {
  const harness = behindBy(DUE, 2);
  t.true(harness.figures().waitingSteps <= MOST_OPEN_STEPS);
  t.true(harness.figures().heldBackOccurrences >= 2 * DUE - MOST_OPEN_STEPS);
  harness.takeOver();
  harness.reportFromAll();
  harness.place();
  t.true(harness.figures().waitingSteps <= MOST_OPEN_STEPS, 'after a takeover');
});

test('occurrences that are held back start in order as others end, and all jobs get on', (t) => {
  const harness = behindBy(5000, 3);
  const begun = new Map<string, number[]>();
  let ended = 0;
  let starts = harness.starts();
  while (starts.length > 0) {
    for (const start of starts) {
      const [job = '', occurrence] = start.task.split('.');
      begun.set(job, [...(begun.get(job) ?? []), Number(occurrence)]);
      harness.answerStart(start);
    }
    ended += starts.length;
    starts.forEach((start) => {
      harness.end(start, 'done');
    });
    if (ended >= 4500) {
      break;
    }
    starts = harness.place();
  }
  t.is(begun.size, 3);
  begun.forEach((occurrences) => {
    t.deepEqual(
      occurrences,
      occurrences.map((_, index) => index),
    );
  });
});

test('a job with all occurrences held back in turn is completed, also by a new owner', (t) => {
  const harness = behindBy(3000, 1);
  for (let round = 0; round < 2000; round += 1) {
    const starts = harness.place();
    const running = round === 0 ? [...harness.starts()] : starts;
    if (running.length === 0) {
      break;
    }
    running.forEach((start) => {
      harness.answerStart(start);
      harness.end(start, 'done');
    });
    harness.commit();
    if (round === 100) {
      harness.takeOver();
      harness.reportFromAll();
    }
  }
  t.like(harness.stateOf(jobId(1)), { kind: 'state', state: 'completed' });
});

test('running occurrences keep no others back while workers have room', (t) => {
  const workers = [workerRegistration('w1', { capacity: cores(5000, 1_000_000) })];
  const harness = schedulerHarness({ workers });
  harness.reportFromAll();
  harness.submit(timedJob(1, 4000));
  for (let round = 0; round < 20; round += 1) {
    harness.place().forEach((start) => {
      harness.answerStart(start);
    });
  }
  t.is(harness.figures().runs, 4000);
});

test('steps that no worker can hold keep no occurrences back', (t) => {
  const harness = schedulerHarness();
  harness.reportFromAll();
  const steps = [stepPlan(), stepPlan({ neededLabel: 'missing', count: 100 })];
  harness.submit({ ...timedJob(1, 50), steps });
  for (let round = 0; round < 50; round += 1) {
    harness.place().forEach((start) => {
      harness.answerStart(start);
      harness.end(start, 'done');
    });
  }
  t.is(harness.starts().length, 50);
});

test('however few tasks can start, the open occurrences are bounded', (t) => {
  const harness = schedulerHarness();
  harness.reportFromAll();
  const steps = [stepPlan({ neededLabel: 'missing', count: 100 })];
  harness.submit({ ...timedJob(1), steps });
  for (let round = 0; round < 30; round += 1) {
    harness.place();
  }
  t.is(harness.figures().waitingSteps, 100);
});

// Guards against owners that run out of memory, one after the other, by what each of them accepts and stores.
test('a job for which the owner has no memory is refused, and a new owner has memory for all that were accepted', (t) => {
  const harness = schedulerHarness();
  harness.reportFromAll();
  const steps = Array.from({ length: 10 }, () => stepPlan({ count: 10_000 }));
  const plans = Array.from({ length: 8 }, (_, index) => jobPlan(index + 1, { steps }));
  const tokens = plans.map((plan) => harness.submit(plan));
  harness.place();
  const answers = tokens.map((token) => harness.answers.get(token));
  const accepted = answers.filter((answer) => answer?.kind === 'accepted').length;
  t.is(accepted, Math.floor(MAX_JOB_BYTES / bytesOf(jobPlan(1, { steps }))));
  t.like(answers.at(-1), { kind: 'refused', reason: 'overloaded', retryAfterSeconds: 5 });
  const { jobBytes } = harness.figures();
  t.true(jobBytes <= MAX_JOB_BYTES);
  harness.takeOver();
  t.is(harness.figures().jobBytes, jobBytes);
});

test('long payloads count, and ended jobs make room', (t) => {
  const harness = schedulerHarness();
  harness.reportFromAll();
  const payload = 'x'.repeat(4000);
  harness.submit(jobPlan(1, { payload }));
  harness.place();
  t.true(harness.figures().jobBytes > payload.length);
  const wide = `${payload}\u6f22`;
  t.true(bytesOf(jobPlan(2, { payload: wide })) > 2 * payload.length);
  harness.cancel(jobId(1));
  harness.commit();
  harness.starts().forEach((start) => {
    harness.end(start, 'stopped');
  });
  harness.advance(2000);
  harness.place();
  t.is(harness.figures().jobBytes, 0);
  t.like(harness.stateOf(jobId(1)), { kind: 'state', state: 'cancelled' });
});
