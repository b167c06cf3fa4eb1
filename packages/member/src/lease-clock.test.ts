import test from 'ava';
import { brandAs } from '@bamboowell/types/ids';
import type { Deadline, Instant, WorkerInstant } from '@bamboowell/types/time';
import { allLeasesEnd, LeaseClock } from './lease-clock.js';

const LONGEST = 6000;
const EARLIER = brandAs<Deadline>(9000);
/** Of earlier leases that have lapsed already. */
const LAPSED = brandAs<Deadline>(0);

function instant(millis: number): Instant {
  return brandAs<Instant>(millis);
}

function workerInstant(millis: number): WorkerInstant {
  return brandAs<WorkerInstant>(millis);
}

test('a lease is requested in the time of the worker clock', (t) => {
  const lease = new LeaseClock(LONGEST, EARLIER);
  t.is(lease.extend(instant(0)), undefined);
  lease.synchronise(workerInstant(500_000), instant(1000));
  t.is(lease.extend(instant(1200)), workerInstant(504_200));
});

test('a lease is never shortened, even by an older reading', (t) => {
  const lease = new LeaseClock(LONGEST, EARLIER);
  lease.synchronise(workerInstant(500_000), instant(1000));
  const first = lease.extend(instant(2000));
  lease.synchronise(workerInstant(499_000), instant(2000));
  t.is(lease.extend(instant(2000)), first);
});

test('a lease has not lapsed while it may still run on a slow worker clock', (t) => {
  const lease = new LeaseClock(LONGEST, LAPSED);
  lease.synchronise(workerInstant(500_000), instant(1000));
  lease.extend(instant(1000));
  // Four seconds of a clock that is 2% slow are 4,080 ms of ours.
  t.true(lease.lapsesAt >= 1000 + 4080);
  t.true(lease.lapsesAt <= 1000 + 4080 + 200);
});

// Guards against a run that outlives its lapse under a longer lease than this owner gives (TWICE).
test('the longest lease that may have been given before counts beside a shorter one', (t) => {
  const lease = new LeaseClock(LONGEST, EARLIER);
  lease.synchronise(workerInstant(500_000), instant(1000));
  lease.extend(instant(1000));
  t.is(lease.lapsesAt, allLeasesEnd(instant(1000), LONGEST));
  lease.synchronise(workerInstant(509_000), instant(10_000));
  lease.extend(instant(10_000));
  t.true(lease.lapsesAt >= 10_000 + 4080);
});

// Guards against runs of a lost worker that wait for an owner of which the worker takes no call any more.
test('a worker that has answered has no lease of an earlier owner for longer than the longest one', (t) => {
  const lease = new LeaseClock(LONGEST, brandAs<Deadline>(30_000));
  lease.synchronise(workerInstant(500_000), instant(1000));
  t.is(lease.lapsesAt, allLeasesEnd(instant(1000), LONGEST));
  lease.synchronise(workerInstant(501_000), instant(2000));
  t.is(lease.lapsesAt, allLeasesEnd(instant(1000), LONGEST));
  t.is(new LeaseClock(LONGEST, brandAs<Deadline>(30_000)).lapsesAt, brandAs<Deadline>(30_000));
});

test('before the worker clock has been read, the leases of earlier owners count', (t) => {
  t.is(new LeaseClock(LONGEST, EARLIER).lapsesAt, EARLIER);
  t.true(allLeasesEnd(instant(0), LONGEST) >= 6120);
});
