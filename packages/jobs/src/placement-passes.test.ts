import test from 'ava';
import { brandAs } from '@bamboowell/types/ids';
import { stepIdOf, stepTaskIdOf } from '@bamboowell/types/job';
import type { Deadline } from '@bamboowell/types/time';
import { cores, jobId, jobPlan, stepPlan, workerRegistration } from './plans.fixture.js';
import { runningEntry, schedulerHarness } from './scheduler.fixture.js';

/** A full fleet with two tasks running, one on each worker, and a third that waits. */
function fullFleet() {
  const workers = ['w1', 'w2'].map((name) => workerRegistration(name, { capacity: cores(1) }));
  const harness = schedulerHarness({ workers });
  harness.reportFromAll();
  harness.submit(jobPlan(1, { steps: [stepPlan({ count: 3 })] }));
  const starts = harness.place();
  const reportRunning = (percent: number): void => {
    starts.forEach((start) => {
      harness.report(start.incarnation, [runningEntry(start, '', percent)]);
    });
  };
  reportRunning(10);
  harness.place();
  return { harness, starts, reportRunning, workers };
}

// Guards against an owner of hundreds of workers that spends its processor time on passes over all of
// them: each worker reports more than once a second, and nearly all reports say only that it works on.
test('reports that free nothing ask for no placement pass', (t) => {
  const { harness, starts, reportRunning } = fullFleet();
  t.is(starts.length, 2);
  t.false(harness.needsPlacement());
  reportRunning(20);
  t.false(harness.needsPlacement());
});

test('a report of an end, of a worker that was unreachable, or without an unknown run asks for a pass', (t) => {
  const { harness, starts, reportRunning } = fullFleet();
  const [first] = starts;
  if (first === undefined) {
    t.fail('nothing was started');
    return;
  }
  const { incarnation } = first;
  harness.send({
    kind: 'unreachable',
    incarnation,
    lapsesAt: brandAs<Deadline>(harness.now() + 4000),
  });
  harness.place();
  reportRunning(30);
  t.true(harness.needsPlacement());
  harness.place();
  const unknown = { task: stepTaskIdOf(stepIdOf(jobId(9), 0, 0), 0), run: first.run };
  harness.report(incarnation, [runningEntry(first), runningEntry(unknown)]);
  harness.place();
  harness.report(incarnation, [runningEntry(first)]);
  t.true(harness.needsPlacement());
  harness.place();
  harness.end(first, 'done');
  t.true(harness.needsPlacement());
});

test('a registration that was only renewed asks for no pass, one that changed does', (t) => {
  const { harness, workers } = fullFleet();
  const [registration] = workers;
  if (registration === undefined) {
    t.fail('no worker');
    return;
  }
  harness.send({ kind: 'worker', registration: { ...registration } });
  t.false(harness.needsPlacement());
  harness.send({ kind: 'worker', registration: { ...registration, capacity: cores(2) } });
  t.true(harness.needsPlacement());
});
