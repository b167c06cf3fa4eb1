import test from 'ava';
import { configurationOf, jobId, jobPlan, stepPlan } from './plans.fixture.js';
import { schedulerHarness } from './scheduler.fixture.js';

const REFUSED = { kind: 'refused', reason: 'store_unavailable' } as const;

function readyHarness(weight = 10) {
  const harness = schedulerHarness({ configuration: configurationOf(undefined, { weight }) });
  harness.reportFromAll();
  return harness;
}

// Guards against a caller that is told that its job has not run, while the job is kept and starts later.
test('a job that is dropped before it was sent leaves nothing behind, and its repeat is accepted afresh', (t) => {
  const harness = readyHarness();
  const steps = [stepPlan(), stepPlan({ after: [0] })];
  const first = harness.submit(jobPlan(1, { steps }));
  const repeat = harness.submit(jobPlan(1, { steps }));
  harness.send({ kind: 'place', mayStart: true });
  harness.send({ kind: 'drop_unsent', job: jobId(1), tokens: [first, repeat] });
  t.like(harness.answers.get(first), REFUSED);
  t.like(harness.answers.get(repeat), REFUSED);
  t.deepEqual(harness.stateOf(jobId(1)), { kind: 'unknown_job' });
  harness.commit();
  t.is(harness.store.size, 0);
  t.deepEqual(harness.place(), []);
  t.deepEqual(harness.stops(), []);
  t.deepEqual(harness.waitingReasons(), readyHarness().waitingReasons());
  const again = harness.submit(jobPlan(1, { steps }));
  harness.commit();
  t.deepEqual(harness.answers.get(again), { kind: 'accepted', repeated: false });
  t.is(harness.place().length, 1);
});

test('a job whose record was sent is not dropped', (t) => {
  const harness = readyHarness();
  const first = harness.submit(jobPlan(1));
  harness.commit();
  const repeat = harness.submit(jobPlan(1));
  harness.send({ kind: 'drop_unsent', job: jobId(1), tokens: [repeat] });
  t.is(harness.answers.get(repeat), undefined);
  harness.commit();
  t.deepEqual(harness.answers.get(first), { kind: 'accepted', repeated: false });
  t.deepEqual(harness.answers.get(repeat), { kind: 'accepted', repeated: true });
});

// Guards against a team whose promised rate is used up by jobs that were refused.
test('a dropped job gives back its part of the promised rate', (t) => {
  const harness = readyHarness(1);
  for (const number of [1, 2, 3, 4, 5]) {
    const token = harness.submit(jobPlan(number));
    harness.send({ kind: 'drop_unsent', job: jobId(number), tokens: [token] });
  }
  harness.submit(jobPlan(6));
  const taken = harness.of('event').filter(({ name }) => name === 'job.taken');
  t.is(taken.length, 6);
  t.true(taken.every(({ fields }) => fields.excess === false));
});

test('a bounded number of jobs is held while the store is away, and repeats of them join', (t) => {
  const harness = readyHarness(10_000);
  const token = harness.submit(jobPlan(1));
  for (let number = 2; number <= 1000; number += 1) {
    harness.submit(jobPlan(number));
  }
  const submitAway = (number: number) => {
    const away = harness.submitAway(jobPlan(number));
    return harness.answers.get(away);
  };
  t.like(submitAway(1001), REFUSED);
  t.is(submitAway(1), undefined);
  t.is(harness.answers.get(token), undefined);
  harness.commit();
  t.is(submitAway(1001), undefined);
});
