import test from 'ava';
import { brandAs } from '@bamboowell/types/ids';
import type { Deadline, Instant, WorkerInstant } from '@bamboowell/types/time';
import { allLeasesEnd, LeaseClock } from './lease-clock.js';

const LONGEST = 6000;
const EARLIER = brandAs<Deadline>(9000);

function instant(millis: number): Instant {
  return brandAs<Instant>(millis);
}

function workerInstant(millis: number): WorkerInstant {
  return brandAs<WorkerInstant>(millis);
}

test('a lease is asked for by the clock of the worker', (t) => {
  const lease = new LeaseClock(LONGEST, EARLIER);
  t.is(lease.extend(instant(0)), undefined);
  lease.read(workerInstant(500_000), instant(1000));
  t.is(lease.extend(instant(1200)), workerInstant(504_200));
});

test('a lease never shortens, also when an older reading comes', (t) => {
  const lease = new LeaseClock(LONGEST, EARLIER);
  lease.read(workerInstant(500_000), instant(1000));
  const first = lease.extend(instant(2000));
  lease.read(workerInstant(499_000), instant(2000));
  t.is(lease.extend(instant(2000)), first);
});

test('nothing is taken to have lapsed while a slow clock of the worker could still run', (t) => {
  const lease = new LeaseClock(LONGEST, EARLIER);
  lease.read(workerInstant(500_000), instant(1000));
  lease.extend(instant(1000));
  // Four seconds of a clock that is 2% slow are 4,080 ms of ours.
  t.true(lease.lapsesAt >= 1000 + 4080);
  t.true(lease.lapsesAt <= 1000 + 4080 + 200);
});

test('before the worker was read, the leases of earlier owners count', (t) => {
  t.is(new LeaseClock(LONGEST, EARLIER).lapsesAt, EARLIER);
  t.true(allLeasesEnd(instant(0), LONGEST) >= 6120);
});
