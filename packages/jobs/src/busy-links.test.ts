import test from 'ava';
import { cores, jobId, jobPlan, stepPlan, workerRegistration } from './plans.fixture.js';
import { schedulerHarness } from './scheduler.fixture.js';

/** So many large workers. */
function harnessWithWorkers(count: number) {
  const workers = Array.from({ length: count }, (_, index) =>
    workerRegistration(`w${index + 1}`, { capacity: cores(20_000, 10_000_000) }),
  );
  const harness = schedulerHarness({ workers });
  harness.reportFromAll();
  return harness;
}

const GANG = jobPlan(1, { steps: [stepPlan({ count: 120, isGang: true })] });

test('a start that its link did not send is placed on another worker', (t) => {
  const harness = harnessWithWorkers(2);
  harness.submit(jobPlan(1));
  const [start] = harness.place();
  if (start === undefined) {
    t.fail('nothing was started');
    return;
  }
  harness.answerStart(start, { kind: 'not_sent' });
  const [next] = harness.place();
  t.is(next?.task, start.task);
  t.not(next?.incarnation, start.incarnation);
  t.is(harness.stops().length, 0, 'what was never sent needs no stop');
});

test('of a gang with a start that was not sent, all others are stopped', (t) => {
  const harness = harnessWithWorkers(1);
  harness.submit(GANG);
  const [first, ...others] = harness.place();
  if (first === undefined) {
    t.fail('nothing was started');
    return;
  }
  harness.answerStart(first, { kind: 'not_sent' });
  t.is(harness.stops().length, others.length);
  t.like(harness.stateOf(jobId(1)), { kind: 'state', state: 'running' });
});

// Guards against owners that run out of memory by the starts of one wide step.
test('the limit of open starts holds within a step', (t) => {
  const harness = harnessWithWorkers(2);
  harness.submit(jobPlan(1, { steps: [stepPlan({ count: 10_000 })] }));
  const started = new Set<string>();
  let starts = harness.place();
  while (starts.length > 0) {
    t.true(starts.length <= 1024);
    starts.forEach((start) => {
      started.add(start.task);
      harness.answerStart(start);
    });
    t.true(harness.needsPlacement() || started.size === 10_000);
    starts = harness.place();
  }
  t.is(started.size, 10_000);
});
