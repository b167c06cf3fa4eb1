import test from 'ava';
import { cores, jobId, jobPlan, stepPlan, workerRegistration } from './plans.fixture.js';
import { schedulerHarness, type ReceivedStart } from './scheduler.fixture.js';

/** Large workers, to each of which so many starts may be under way. */
function harnessWithLinks(limits: readonly number[]) {
  const workers = limits.map((_, index) =>
    workerRegistration(`w${index + 1}`, { capacity: cores(20_000, 10_000_000) }),
  );
  const harness = schedulerHarness({ workers });
  workers.forEach(({ incarnation }, index) => {
    harness.limitStarts(incarnation, limits[index] ?? 0);
  });
  harness.reportFromAll();
  return harness;
}

function countByWorker(starts: readonly ReceivedStart[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { incarnation } of starts) {
    counts.set(incarnation, (counts.get(incarnation) ?? 0) + 1);
  }
  return counts;
}

const GANG = jobPlan(1, { steps: [stepPlan({ count: 120, isGang: true })] });

// Guards against gangs that start on a worker whose link can't deliver all members in time, and end alone (GANG).
test('a gang is spread over workers by how many starts their links deliver in time', (t) => {
  const harness = harnessWithLinks([50, 50, 50]);
  harness.submit(GANG);
  const starts = harness.place();
  t.is(starts.length, 120);
  countByWorker(starts).forEach((count) => {
    t.true(count <= 50);
  });
});

test('a gang that the links can not deliver in time is not started, and keeps no room', (t) => {
  const harness = harnessWithLinks([50, 50]);
  harness.submit(GANG);
  t.deepEqual(harness.place(), []);
  t.is(harness.preview(GANG).placement?.waitsFor, 'gang_exceeds_links');
  harness.submit(jobPlan(2, { steps: [stepPlan({ count: 60 })] }));
  t.is(harness.place().length, 60);
});

test('a gang waits while other starts are under way on the links that it needs', (t) => {
  const harness = harnessWithLinks([50, 100]);
  harness.submit(jobPlan(2, { steps: [stepPlan({ count: 40 })] }));
  const earlier = harness.place();
  harness.submit(GANG);
  t.deepEqual(harness.place(), []);
  earlier.forEach((start) => {
    harness.answerStart(start);
  });
  t.is(harness.place().length, 120);
});

test('no more starts are under way to a worker than its link delivers in time', (t) => {
  const harness = harnessWithLinks([30, 50]);
  harness.submit(jobPlan(1, { steps: [stepPlan({ count: 500 })] }));
  const starts = harness.place();
  t.deepEqual(
    [...countByWorker(starts).values()].sort((left, right) => left - right),
    [30, 50],
  );
  t.deepEqual(harness.place(), []);
  starts.slice(0, 10).forEach((start) => {
    harness.answerStart(start);
  });
  t.is(harness.place().length, 10);
});

test('a start that its link did not send is placed on another worker', (t) => {
  const harness = harnessWithLinks([50, 50]);
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
  const harness = harnessWithLinks([200]);
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
  const harness = harnessWithLinks([10_000, 10_000]);
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
