import test from 'ava';
import { workerIncarnationOf, type WorkerIncarnation } from '@bamboowell/types/job';
import { deadlineAfter } from '@bamboowell/types/time';
import { jobId, jobPlan, workerRegistration } from './plans.fixture.js';
import {
  START_LIMIT,
  runningEntry,
  schedulerHarness,
  type ReceivedStart,
} from './scheduler.fixture.js';

const W1 = workerRegistration('w1', { incarnation: incarnationOf('w1', 20) });
const EARLIER = { ...W1, incarnation: incarnationOf('w1', 10) };
const LATER = { ...W1, incarnation: incarnationOf('w1', 30) };

function incarnationOf(name: string, born: number): WorkerIncarnation {
  return workerIncarnationOf(workerRegistration(name).id, born);
}

/** A harness with two workers and a job that runs on the first, which lists it. */
function harnessWithRun() {
  const harness = schedulerHarness({ workers: [W1] });
  harness.reportFromAll();
  harness.submit(jobPlan(1));
  harness.commit();
  const [start] = harness.place();
  if (start === undefined) {
    throw new Error('nothing was started');
  }
  harness.answerStart(start);
  harness.report(W1.incarnation, [runningEntry(start)]);
  harness.send({ kind: 'worker', registration: workerRegistration('w2') });
  harness.report(workerRegistration('w2').incarnation);
  return { harness, start };
}

type Harness = ReturnType<typeof harnessWithRun>['harness'];

function lostRuns(harness: Harness) {
  return harness.of('event').filter(({ name }) => name === 'run.lost');
}

function completes({ harness, start }: { harness: Harness; start: ReceivedStart }) {
  harness.end(start, 'done');
  harness.commit();
  return harness.stateOf(jobId(1));
}

const COMPLETED = { kind: 'state', state: 'completed' } as const;

// Guards against a second run of a task because a report of its worker's earlier process is stored late, or because
// another writer used the worker's id (TWICE).
test("a registration of another process doesn't end the one in use, which still answers", (t) => {
  for (const registration of [EARLIER, LATER]) {
    const { harness, start } = harnessWithRun();
    harness.send({ kind: 'worker', registration });
    const { incarnation } = registration;
    t.is(harness.of('meet').at(-1)?.registration.incarnation, incarnation, 'it is asked');
    harness.report(W1.incarnation, [runningEntry(start)]);
    t.deepEqual(harness.place(), []);
    harness.send({ kind: 'other_life', incarnation, successor: W1.incarnation });
    harness.report(W1.incarnation, [runningEntry(start)]);
    t.deepEqual(harness.of('part'), [{ kind: 'part', incarnation }]);
    t.deepEqual(harness.place(), []);
    t.deepEqual(harness.stops(), []);
    t.deepEqual(lostRuns(harness), []);
    const meets = harness.of('meet').length;
    harness.send({ kind: 'worker', registration });
    t.is(harness.of('meet').length, meets, 'it is not asked again');
    t.deepEqual(completes({ harness, start }), COMPLETED);
  }
});

test('the process in use gets work while another one is registered under its id and has not answered', (t) => {
  const { harness } = harnessWithRun();
  harness.send({ kind: 'worker', registration: LATER });
  harness.submit(jobPlan(2));
  harness.submit(jobPlan(3));
  harness.commit();
  const workers = harness.place().map(({ incarnation }) => incarnation);
  t.false(workers.includes(LATER.incarnation));
  t.is(workers.length, 2);
});

test('the process that a registration names takes over once it has answered, whatever its birth', (t) => {
  for (const registration of [EARLIER, LATER]) {
    const { harness } = harnessWithRun();
    harness.send({ kind: 'worker', registration });
    harness.report(registration.incarnation);
    t.deepEqual(
      lostRuns(harness).map(({ fields }) => fields.reason),
      ['born_again'],
    );
    t.is(harness.place().length, 1);
  }
});

// Guards against a run that is dropped though a later start over the earlier process's link reached the new one
// (TWICE): only a report that is asked for after the takeover tells.
test('an answer that was asked for before the process was in use tells nothing about its runs', (t) => {
  const { harness, start } = harnessWithRun();
  harness.submit(jobPlan(2));
  harness.commit();
  const second = harness.place().find(({ incarnation }) => incarnation === W1.incarnation);
  t.truthy(second);
  harness.send({ kind: 'worker', registration: LATER });
  const askedAt = harness.now();
  harness.advance(5);
  const early = { incarnation: LATER.incarnation, askedAt, running: [], ended: [] };
  harness.send({
    kind: 'report',
    report: { ...early, suspension: undefined, startLimit: START_LIMIT },
  });
  harness.send({
    kind: 'report',
    report: { ...early, suspension: undefined, startLimit: START_LIMIT },
  });
  const waiting = harness.place().filter(({ task }) => task === second?.task);
  t.deepEqual(waiting, []);
  t.deepEqual(
    lostRuns(harness).map(({ fields }) => fields.task),
    [start.task],
  );
  harness.report(LATER.incarnation, second === undefined ? [] : [runningEntry(second)]);
  t.deepEqual(harness.place(), []);
});

test('a registered process is used once the earlier one has ended by itself', (t) => {
  const { harness, start } = harnessWithRun();
  harness.send({ kind: 'worker', registration: LATER });
  harness.send({ kind: 'other_life', incarnation: W1.incarnation, successor: undefined });
  t.deepEqual(
    harness.of('part').map(({ incarnation }) => incarnation),
    [W1.incarnation, LATER.incarnation],
  );
  t.is(harness.of('meet').at(-1)?.registration.incarnation, LATER.incarnation);
  harness.report(LATER.incarnation);
  t.deepEqual(
    harness.place().map(({ task }) => task),
    [start.task],
  );
});

// Guards against a second run of a task whose worker's earlier process, at another address, was all that the store
// listed when the owner changed (TWICE).
test('a stored run is looked for in the process that answers, whatever address was registered before', (t) => {
  const { harness, start } = harnessWithRun();
  const others = [workerRegistration('w2')];
  harness.takeOver(undefined, [{ ...EARLIER, address: 'elsewhere:80' }, ...others]);
  harness.report(workerRegistration('w2').incarnation);
  harness.replaceWorker(W1);
  t.deepEqual(harness.place(), []);
  harness.report(W1.incarnation, [runningEntry(start)]);
  t.deepEqual(harness.place(), []);
  t.deepEqual(harness.stops(), []);
  t.deepEqual(completes({ harness, start }), COMPLETED);
});

test('a process that never answers is forgotten once the worker registers again or its entry is removed', (t) => {
  const { harness, start } = harnessWithRun();
  for (const end of ['registered', 'removed']) {
    harness.send({ kind: 'worker', registration: LATER });
    const lapsesAt = deadlineAfter(harness.now(), 10);
    harness.send({ kind: 'unreachable', incarnation: LATER.incarnation, lapsesAt });
    if (end === 'registered') {
      harness.send({ kind: 'worker', registration: W1 });
    } else {
      harness.send({ kind: 'worker_gone', worker: W1.id });
    }
    t.deepEqual(harness.of('part').at(-1), { kind: 'part', incarnation: LATER.incarnation });
  }
  t.deepEqual(completes({ harness, start }), COMPLETED);
});
