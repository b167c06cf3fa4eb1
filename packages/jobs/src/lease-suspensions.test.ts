import test from 'ava';
import { brandAs } from '@bamboowell/types/ids';
import type { Deadline } from '@bamboowell/types/time';
import type { LeaseSuspension } from './messages.js';
import { jobPlan, workerRegistration } from './plans.fixture.js';
import { EARLIER_LEASES_MILLIS, runningEntry, schedulerHarness } from './scheduler.fixture.js';

const WORKERS = [workerRegistration('w1'), workerRegistration('w2')];
const LEASE_MILLIS = 4000;

/** A harness with one task, which a worker has confirmed before it became unreachable. */
function harnessWithUnreachableWorker() {
  const harness = schedulerHarness({ workers: WORKERS });
  harness.reportFromAll();
  harness.submit(jobPlan(1));
  harness.commit();
  const [start] = harness.place();
  if (start === undefined) {
    throw new Error('nothing was started');
  }
  harness.answerStart(start);
  const { incarnation } = start;
  const lapsesAt = brandAs<Deadline>(harness.now() + LEASE_MILLIS);
  harness.send({ kind: 'unreachable', incarnation, lapsesAt });
  const suspension = brandAs<LeaseSuspension>(1);
  return { harness, start, incarnation, suspension };
}

// Guards against a lease that is renewed while the scheduler still counts its lapse (TWICE).
test('a lease is renewed again after a report, and its lapse counts no more', (t) => {
  const { harness, start, incarnation, suspension } = harnessWithUnreachableWorker();
  t.deepEqual(harness.of('renew'), []);
  harness.report(incarnation, [runningEntry(start)], [], suspension);
  t.deepEqual(harness.of('renew'), [{ kind: 'renew', incarnation, suspension }]);
  harness.advance(2 * LEASE_MILLIS);
  t.deepEqual(harness.place(), []);
});

// Guards against a start that is repeated under a lease which was renewed after its run was dropped (TWICE).
test('what is dropped at a lapse is withdrawn before the lease is renewed', (t) => {
  const { harness, start, incarnation, suspension } = harnessWithUnreachableWorker();
  harness.advance(LEASE_MILLIS);
  t.is(harness.place().length, 1);
  harness.report(incarnation, [], [], suspension);
  const kinds = harness.outputs.map(({ kind }) => kind);
  t.true(kinds.indexOf('withdraw') < kinds.indexOf('renew'));
  t.like(harness.of('withdraw')[0], { incarnation, task: start.task, run: start.run });
});

test('a report over a link that renews the lease asks for nothing', (t) => {
  const { harness, incarnation } = harnessWithUnreachableWorker();
  harness.report(incarnation);
  t.deepEqual(harness.of('renew'), []);
});

/** A new owner to which the worker of the stored run registers only after it has begun to serve. */
function harnessWithLateRegistration() {
  const { harness, start, incarnation } = harnessWithUnreachableWorker();
  const late = WORKERS.filter((each) => each.incarnation === incarnation);
  harness.takeOver(
    undefined,
    WORKERS.filter((each) => !late.includes(each)),
  );
  harness.reportFromAll();
  late.forEach((registration) => {
    harness.send({ kind: 'worker', registration });
  });
  return { harness, start, incarnation };
}

// Guards against a second run of a task that works on: the link has renewed the lease by the time its first
// report is taken in (TWICE).
test('the lapse of a worker that registers late counts only once its link has reported it unreachable', (t) => {
  const { harness, start, incarnation } = harnessWithLateRegistration();
  harness.advance(EARLIER_LEASES_MILLIS);
  t.deepEqual(harness.place(), []);
  harness.report(incarnation, [runningEntry(start)]);
  t.deepEqual(harness.place(), []);
  t.deepEqual(harness.stops(), []);
});

// Guards against a task that waits for a worker which never answers (LOST).
test('a worker that registers late and never answers loses its runs', (t) => {
  const { harness, incarnation } = harnessWithLateRegistration();
  harness.advance(EARLIER_LEASES_MILLIS);
  const lapsesAt = harness.of('meet').at(-1)?.lapsesAt;
  if (lapsesAt !== undefined) {
    harness.send({ kind: 'unreachable', incarnation, lapsesAt });
  }
  t.is(harness.place().length, 1);
});
