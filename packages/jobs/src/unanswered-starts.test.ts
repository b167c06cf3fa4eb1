import test from 'ava';
import type { OrderAnswer } from './messages.js';
import { QUEUE, jobPlan, stepPlan, workerRegistration } from './plans.fixture.js';
import { runningEntry, schedulerHarness } from './scheduler.fixture.js';

const WORKERS = [workerRegistration('w1'), workerRegistration('w2')];
/** Longer than any pause of a worker that rejected a start, milliseconds. */
const COOLED_DOWN_MILLIS = 1000;

const REJECTIONS: OrderAnswer[] = [
  { kind: 'unwell' },
  { kind: 'no_room' },
  { kind: 'no_ticket' },
  { kind: 'late' },
];

/** A harness whose workers have been sent the starts of one step. */
function harnessWithStarts(step: Parameters<typeof stepPlan>[0] = {}) {
  const harness = schedulerHarness({ workers: WORKERS });
  harness.reportFromAll();
  harness.submit(jobPlan(1, { steps: [stepPlan(step)] }));
  harness.commit();
  const starts = harness.place();
  const [start] = starts;
  if (start === undefined) {
    throw new Error('nothing was started');
  }
  return { harness, starts, start };
}

for (const rejection of REJECTIONS) {
  // Guards against a task that runs twice because a copy of its start was rejected and an earlier one is
  // carried out late (TWICE).
  test(`a start of which a copy had no answer and the next one "${rejection.kind}" is stopped before it starts elsewhere`, (t) => {
    const { harness, start } = harnessWithStarts();
    const { task, run, incarnation } = start;
    harness.answerStart(start, rejection, true);
    harness.advance(COOLED_DOWN_MILLIS);
    t.deepEqual(harness.place(), []);
    t.deepEqual(harness.stops(), [{ kind: 'stop', task, run }]);
    harness.report(incarnation);
    t.deepEqual(harness.place(), [], 'a report from before the stop proves nothing');
    harness.answerStop(start);
    t.deepEqual(harness.of('probe'), [{ kind: 'probe', incarnation }]);
    harness.advance(1);
    harness.report(incarnation);
    t.deepEqual(
      harness.place().map((again) => Number(again.run)),
      [2],
    );
  });

  test(`a start whose only copy was rejected with "${rejection.kind}" starts again at once`, (t) => {
    const { harness, start } = harnessWithStarts();
    harness.answerStart(start, rejection);
    harness.advance(COOLED_DOWN_MILLIS);
    t.deepEqual(
      harness.place().map((again) => Number(again.run)),
      [2],
    );
    t.deepEqual(harness.stops(), []);
  });
}

// Guards against a count of waiting jobs that leaves out those whose starts were all rejected (MIXED).
test('a job counts as waiting until a worker has confirmed a start', (t) => {
  const { harness, start } = harnessWithStarts();
  t.deepEqual(harness.waitingIn(QUEUE), { kind: 'count', waiting: 1 });
  harness.answerStart(start, { kind: 'unwell' });
  t.deepEqual(harness.waitingIn(QUEUE), { kind: 'count', waiting: 1 });
  harness.takeOver();
  t.deepEqual(harness.waitingIn(QUEUE), { kind: 'count', waiting: 1 });
  harness.reportFromAll();
  const [again] = harness.place();
  if (again !== undefined) {
    harness.answerStart(again);
  }
  t.deepEqual(harness.waitingIn(QUEUE), { kind: 'count', waiting: 0 });
});

// Guards against the second run of a task whose first one was carried out late and is being stopped (TWICE).
test('a start that was carried out late before its stop ends before the task starts again', (t) => {
  const { harness, start } = harnessWithStarts();
  harness.answerStart(start, { kind: 'unwell' }, true);
  harness.report(start.incarnation, [runningEntry(start)]);
  harness.answerStop(start);
  harness.advance(COOLED_DOWN_MILLIS);
  harness.report(start.incarnation, [runningEntry(start)]);
  t.deepEqual(harness.place(), []);
  harness.end(start, 'stopped');
  harness.commit();
  t.is(harness.place().length, 1);
});

// Guards against the second run of a task that runs already (TWICE).
test('a rejected copy of a start says nothing about a run that its worker lists', (t) => {
  const { harness, start } = harnessWithStarts();
  harness.report(start.incarnation, [runningEntry(start)]);
  harness.answerStart(start, { kind: 'unwell' }, true);
  harness.advance(COOLED_DOWN_MILLIS);
  t.deepEqual(harness.place(), []);
  t.deepEqual(harness.stops(), []);
  harness.end(start, 'done');
  harness.commit();
  t.deepEqual(harness.place(), []);
});

// Guards against a gang that starts again while a late copy of a member's start is on its way (TWICE).
test('a gang starts again only after the member that may begin late has been stopped', (t) => {
  const { harness, starts, start } = harnessWithStarts({ count: 2, isGang: true });
  const others = starts.slice(1);
  others.forEach((other) => {
    harness.answerStart(other);
  });
  harness.answerStart(start, { kind: 'unwell' }, true);
  others.forEach((other) => {
    harness.end(other, 'stopped');
  });
  harness.commit();
  harness.advance(COOLED_DOWN_MILLIS);
  t.deepEqual(harness.place(), []);
  harness.answerStop(start);
  harness.advance(1);
  harness.report(start.incarnation);
  t.is(harness.place().length, 2);
});
