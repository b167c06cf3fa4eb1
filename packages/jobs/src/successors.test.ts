import test from 'ava';
import { workerIncarnationOf, type WorkerIncarnation } from '@bamboowell/types/job';
import { jobId, jobPlan, workerRegistration } from './plans.fixture.js';
import {
  EARLIER_LEASES_MILLIS,
  runningEntry,
  schedulerHarness,
  type ReceivedStart,
} from './scheduler.fixture.js';

const REGISTRATIONS = [workerRegistration('w1'), workerRegistration('w2')];

/** A harness with one job, whose start was sent to one of two workers. */
function harnessWithStart() {
  const harness = schedulerHarness({ workers: REGISTRATIONS });
  harness.reportFromAll();
  harness.submit(jobPlan(1));
  harness.commit();
  const [start] = harness.place();
  if (start === undefined) {
    throw new Error('nothing was started');
  }
  const registration = registrationOf(start);
  const successor = workerIncarnationOf(registration.id, 2);
  return { harness, start, registration, successor };
}

type Harness = ReturnType<typeof harnessWithStart>['harness'];

function registrationOf({ incarnation }: ReceivedStart) {
  const registration = REGISTRATIONS.find((each) => each.incarnation === incarnation);
  if (registration === undefined) {
    throw new Error(`no worker ${incarnation}`);
  }
  return registration;
}

function metBy(harness: Harness): WorkerIncarnation[] {
  return harness.of('meet').map(({ registration }) => registration.incarnation);
}

// Guards against a task that runs twice because its start reached the next process of its worker (TWICE).
test('a start that may have reached the next process of its worker is given to no other one before that reports', (t) => {
  const { harness, registration, successor } = harnessWithStart();
  harness.replaceWorker({ ...registration, incarnation: successor });
  t.deepEqual(harness.place(), []);
  harness.report(successor);
  t.deepEqual(
    harness.place().map(({ run }) => Number(run)),
    [2],
  );
});

// Guards against work that is thrown away though it runs, and against its second run (TWICE).
test('a start that the next process of its worker carried out goes on there', (t) => {
  const { harness, start, registration, successor } = harnessWithStart();
  harness.answerStart(start);
  harness.replaceWorker({ ...registration, incarnation: successor });
  harness.report(successor, [runningEntry(start)]);
  t.deepEqual(harness.place(), []);
  t.deepEqual(harness.stops(), []);
  harness.end({ ...start, incarnation: successor }, 'done');
  harness.commit();
  t.deepEqual(harness.stateOf(jobId(1)), { kind: 'state', state: 'completed' });
});

// Guards against waiting for a registration, which comes with the next of the worker's reports.
test('the next process is asked at once, at the address of the one before it', (t) => {
  const { harness, start, registration, successor } = harnessWithStart();
  const before = metBy(harness);
  harness.send({ kind: 'other_life', incarnation: start.incarnation, successor });
  t.deepEqual(metBy(harness).slice(before.length), [successor]);
  t.is(harness.of('meet').at(-1)?.registration.address, registration.address);
  harness.report(successor);
  const [again] = harness.place();
  t.not(again?.incarnation, successor, 'it gets no work before it is registered');
  harness.send({ kind: 'worker', registration: { ...registration, incarnation: successor } });
  t.is(metBy(harness).length, before.length + 1);
});

// Guards against a new owner that starts again what a worker's next process has begun (TWICE).
test('a new owner waits for the report of the next process of a worker', (t) => {
  const { harness, registration, successor } = harnessWithStart();
  const others = REGISTRATIONS.filter(({ id }) => id !== registration.id);
  harness.takeOver(undefined, [...others, { ...registration, incarnation: successor }]);
  others.forEach(({ incarnation }) => {
    harness.report(incarnation);
  });
  t.deepEqual(harness.place(), []);
  harness.report(successor);
  t.is(harness.place().length, 1);
});

// Guards against a run of a cancelled job that goes on in the next process of its worker (UNASKED).
test('a run that was to be stopped is stopped in the next process of its worker', (t) => {
  const { harness, start, registration, successor } = harnessWithStart();
  harness.cancel(jobId(1));
  harness.commit();
  const before = harness.stops().length;
  harness.replaceWorker({ ...registration, incarnation: successor });
  harness.report(successor, [runningEntry(start)]);
  const { task, run } = start;
  t.deepEqual(harness.stops().slice(before), [{ kind: 'stop', task, run }]);
});

test('a run that its worker has confirmed and listed starts elsewhere at once when the worker is replaced', (t) => {
  const { harness, start, successor } = harnessWithStart();
  harness.answerStart(start);
  harness.report(start.incarnation, [runningEntry(start)]);
  harness.send({ kind: 'other_life', incarnation: start.incarnation, successor });
  t.is(harness.place().length, 1);
});

// Guards against a copy of a start that comes after its run and its worker's process have ended (TWICE).
test('a run that its worker has listed waits for the next process if a copy of its start had no answer', (t) => {
  for (const isAnswered of [false, true]) {
    const { harness, start, successor } = harnessWithStart();
    if (isAnswered) {
      harness.answerStart(start, { kind: 'done' }, true);
    }
    harness.report(start.incarnation, [runningEntry(start)]);
    harness.send({ kind: 'other_life', incarnation: start.incarnation, successor });
    t.deepEqual(harness.place(), []);
    harness.report(successor);
    t.is(harness.place().length, 1);
  }
});

test('a start is not looked for at another address', (t) => {
  const { harness, registration, successor } = harnessWithStart();
  const address = 'elsewhere:80';
  harness.replaceWorker({ ...registration, address, incarnation: successor });
  t.is(harness.place().length, 1);
});

// Guards against a job that waits for a worker which never answers again (LOST).
test('a start starts elsewhere once all leases have lapsed that the next process may have been given', (t) => {
  const { harness, start, successor } = harnessWithStart();
  harness.advance(20_000);
  harness.send({ kind: 'other_life', incarnation: start.incarnation, successor });
  const lapsesAt = harness.of('meet').at(-1)?.lapsesAt;
  t.is(Number(lapsesAt), harness.now() + EARLIER_LEASES_MILLIS);
  if (lapsesAt !== undefined) {
    harness.send({ kind: 'unreachable', incarnation: successor, lapsesAt });
  }
  t.deepEqual(harness.place(), []);
  harness.advance(EARLIER_LEASES_MILLIS);
  t.is(harness.place().length, 1);
});

// Guards against a run that is dropped while it works because a registration of the worker's earlier process is
// read after those of its present one (TWICE).
test('a registration of an incarnation that has ended changes nothing', (t) => {
  const { harness, start, registration, successor } = harnessWithStart();
  harness.replaceWorker({ ...registration, incarnation: successor });
  harness.report(successor, [runningEntry(start)]);
  const before = harness.outputs.length;
  harness.send({ kind: 'worker', registration });
  t.deepEqual(harness.outputs.slice(before), []);
  t.deepEqual(harness.place(), []);
});

// Guards against a second run of a task that the next process of its worker has begun, where that one registers
// only after a takeover (TWICE).
test('a run of an unregistered worker is looked for in the process that registers under its id', (t) => {
  const { harness, start, registration, successor } = harnessWithStart();
  const others = REGISTRATIONS.filter(({ id }) => id !== registration.id);
  harness.takeOver(undefined, others);
  others.forEach(({ incarnation }) => {
    harness.report(incarnation);
  });
  harness.send({ kind: 'worker', registration: { ...registration, incarnation: successor } });
  harness.report(successor, [runningEntry(start)]);
  harness.advance(EARLIER_LEASES_MILLIS);
  t.deepEqual(harness.place(), []);
  t.deepEqual(harness.stops(), []);
  harness.end({ ...start, incarnation: successor }, 'done');
  harness.commit();
  t.deepEqual(harness.stateOf(jobId(1)), { kind: 'state', state: 'completed' });
});

// Guards against a worker that is never used again because another one registered under its id for a moment.
test('an incarnation that answers after another one has taken its place counts as alive', (t) => {
  const { harness, start, registration, successor } = harnessWithStart();
  const { incarnation } = registration;
  harness.answerStart(start);
  harness.report(incarnation, [runningEntry(start)]);
  harness.replaceWorker({ ...registration, incarnation: successor });
  harness.send({ kind: 'other_life', incarnation: successor, successor: incarnation });
  harness.send({ kind: 'worker', registration });
  t.deepEqual(metBy(harness).slice(-2), [successor, incarnation]);
});

// Guards against a job that waits for a run which its worker will never list (LOST).
test('a run that moves to a process which has reported already is dropped by its next report', (t) => {
  const { harness, start, registration, successor } = harnessWithStart();
  const next = workerIncarnationOf(registration.id, 3);
  harness.send({ kind: 'other_life', incarnation: start.incarnation, successor });
  harness.send({ kind: 'worker', registration: { ...registration, incarnation: next } });
  harness.report(next);
  harness.advance(1);
  harness.send({ kind: 'other_life', incarnation: successor, successor: next });
  harness.report(next);
  t.deepEqual(harness.place(), [], 'a report that was asked for before proves nothing');
  t.deepEqual(harness.of('probe'), [{ kind: 'probe', incarnation: next }]);
  harness.advance(1);
  harness.report(next);
  t.is(harness.place().length, 1);
});
