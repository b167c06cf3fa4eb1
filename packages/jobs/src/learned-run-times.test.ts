import test from 'ava';
import { brandAs } from '@bamboowell/types/ids';
import type { Deadline } from '@bamboowell/types/time';
import { DEFAULT_SCHEDULING, type SchedulingOptions } from '@bamboowell/types/scheduling';
import {
  LEARNED,
  SLOW_QUEUE,
  begin,
  figuresOf,
  learningHarness,
  listAsRunning,
  train,
  twoQueues,
  type Harness,
} from './learned-run-times.fixture.js';
import {
  configurationOf,
  cores,
  jobId,
  jobPlan,
  jobQueue,
  stepPlan,
  workerRegistration,
} from './plans.fixture.js';

const ACTUAL_MILLIS = 400;

function oneWorker(capacity = 1) {
  return [workerRegistration('w1', { capacity: cores(capacity, 10_000) })];
}

/** Runs of which the usual queue's take a quarter of the declared time and the slow queue's eight times. */
function trainTwoQueues(harness: Harness): void {
  train(harness, { step: { estimateMillis: 2000 }, millisOf: () => 500 });
  const slow = { from: 2000, queue: SLOW_QUEUE, step: { estimateMillis: 500 } };
  train(harness, { ...slow, millisOf: () => 4000 });
}

/** Which of two jobs that wait for the same room begins first. */
function firstOfBoth(scheduling: SchedulingOptions): string | undefined {
  const harness = learningHarness({ configuration: twoQueues(), workers: oneWorker(), scheduling });
  trainTwoQueues(harness);
  const [blocking] = begin(harness, jobPlan(1));
  harness.submit(jobPlan(2, { queue: SLOW_QUEUE, steps: [stepPlan({ estimateMillis: 500 })] }));
  harness.submit(jobPlan(3, { steps: [stepPlan({ estimateMillis: 2000 })] }));
  harness.advance(100);
  if (blocking !== undefined) {
    harness.end(blocking, 'done');
  }
  return harness.place()[0]?.task;
}

// Guards against long jobs that go first because their callers declare that they are short.
test('where declared times mislead, the order follows what the runs took', (t) => {
  t.is(firstOfBoth(DEFAULT_SCHEDULING), `${jobId(2)}.0.0.0`);
  t.is(firstOfBoth(LEARNED), `${jobId(3)}.0.0.0`);
});

test('the errors of declared and learned times are logged side by side', (t) => {
  const harness = learningHarness();
  const millisOf = () => ACTUAL_MILLIS;
  train(harness, { jobs: 40, step: { estimateMillis: 2000 }, millisOf });
  figuresOf(harness);
  train(harness, { from: 2000, jobs: 10, step: { estimateMillis: 2000 }, millisOf });
  const { runs, declaredErrorMillis, learnedErrorMillis, kinds } = figuresOf(harness);
  t.deepEqual([runs, declaredErrorMillis, kinds], [10, 1600, 3]);
  t.true(Number(learnedErrorMillis) < 100);
});

test('with declared run times nothing is logged about them', (t) => {
  const harness = learningHarness({ scheduling: DEFAULT_SCHEDULING });
  train(harness, { jobs: 20, millisOf: () => ACTUAL_MILLIS });
  t.deepEqual(figuresOf(harness), {});
});

// Guards against run times that are learned from a part of a run, or from no run at all.
test('only whole runs that are done count, and a gang counts once', (t) => {
  const harness = learningHarness();
  const [failed] = begin(harness, jobPlan(1));
  harness.advance(300);
  harness.end(failed ?? t.fail(), 'failed', 'half');
  harness.commit();
  const [resumed] = harness.place();
  harness.answerStart(resumed ?? t.fail());
  harness.advance(300);
  harness.end(resumed ?? t.fail(), 'done');

  const [cut] = begin(harness, jobPlan(2));
  const { incarnation } = cut ?? t.fail();
  harness.send({ kind: 'unreachable', incarnation, lapsesAt: brandAs<Deadline>(1e9) });
  harness.advance(3000);
  harness.end(cut ?? t.fail(), 'done');

  const [cancelled] = begin(harness, jobPlan(3));
  harness.advance(200);
  harness.cancel(jobId(3));
  harness.end(cancelled ?? t.fail(), 'stopped');
  t.is(figuresOf(harness).runs, 0);

  const gang = begin(harness, jobPlan(4, { steps: [stepPlan({ count: 4, isGang: true })] }));
  harness.advance(ACTUAL_MILLIS);
  gang.forEach((member) => {
    harness.end(member, 'done');
  });
  t.is(gang.length, 4);
  t.is(figuresOf(harness).runs, 1);
});

test('a run that began under an earlier owner does not count', (t) => {
  const harness = learningHarness();
  const [start] = begin(harness, jobPlan(1));
  harness.commit();
  harness.takeOver();
  listAsRunning(harness, start ?? t.fail());
  harness.advance(ACTUAL_MILLIS);
  harness.end(start ?? t.fail(), 'done');
  t.is(figuresOf(harness).runs, 0);
});

/** Whether a job starts in the room of a gang that can start in three seconds. */
function startsBeforeGang(
  scheduling: SchedulingOptions,
  estimateMillis: number,
  millis: number,
): boolean {
  const harness = learningHarness({
    configuration: twoQueues(),
    workers: [workerRegistration('w1', { capacity: cores(4, 10_000) })],
    scheduling,
  });
  train(harness, { jobs: 60, step: { estimateMillis }, millisOf: () => millis });
  const long = stepPlan({ demand: cores(2), estimateMillis: 3000 });
  begin(harness, jobPlan(1, { queue: SLOW_QUEUE, steps: [long] }));
  const gang = stepPlan({ count: 2, demand: cores(2), isGang: true, estimateMillis: 1 });
  harness.submit(jobPlan(2, { queue: SLOW_QUEUE, steps: [gang] }));
  harness.place();
  harness.submit(jobPlan(3, { steps: [stepPlan({ estimateMillis })] }));
  return harness.place().some(({ task }) => task.startsWith(jobId(3)));
}

// Guards against gangs that are held up by work which was said to be short, and room that is idle beside work
// which was said to be long.
test('what may use the room of a gang is decided by learned run times', (t) => {
  t.true(startsBeforeGang(DEFAULT_SCHEDULING, 200, 6000));
  t.false(startsBeforeGang(LEARNED, 200, 6000));
  t.false(startsBeforeGang(DEFAULT_SCHEDULING, 6000, 200));
  t.true(startsBeforeGang(LEARNED, 6000, 200));
});

// Guards against quick calls that wait on slow machines while faster ones have room.
test('quick steps prefer faster workers once these are known, and others go where they fit best', (t) => {
  const quick = jobQueue({ objectiveFactor: 1.5, targetLatencyMillis: 600 });
  const other = jobQueue({ id: SLOW_QUEUE, objectiveFactor: 4, targetLatencyMillis: 3000 });
  // The last worker has the least room, so that it fits best.
  const workers = ['w0', 'w1', 'w2'].map((name, index) =>
    workerRegistration(name, { capacity: cores(6 - index, 10_000) }),
  );
  const harness = learningHarness({ configuration: configurationOf([quick, other]), workers });
  const factors = [0.8, 1, 1.25];
  const factorOf = (incarnation: string) =>
    factors[workers.findIndex((worker) => worker.incarnation === incarnation)] ?? 1;
  const step = { count: 3, maxPerWorker: 1, estimateMillis: 1000 };
  train(harness, { jobs: 60, step, millisOf: ({ incarnation }) => 1000 * factorOf(incarnation) });
  const workerOf = (number: number, queue: typeof quick) => {
    const [start] = begin(harness, jobPlan(number, { queue: queue.id }));
    return start?.incarnation;
  };
  t.is(workerOf(1, quick), workers[0]?.incarnation);
  t.is(workerOf(2, other), workers[2]?.incarnation);
});
