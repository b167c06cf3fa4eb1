import test from 'ava';
import { brandAs } from '@bamboowell/types/ids';
import type { Deadline } from '@bamboowell/types/time';
import type { LeaseSuspension } from './messages.js';
import { jobPlan, workerRegistration } from './plans.fixture.js';
import { runningEntry, schedulerHarness } from './scheduler.fixture.js';

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
