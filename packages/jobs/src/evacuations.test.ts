import test from 'ava';
import { brandAs, type DataCentreId } from '@bamboowell/types/ids';
import { stepIdOf } from '@bamboowell/types/job';
import { NEVER, deadlineAfter, type Deadline } from '@bamboowell/types/time';
import {
  configurationOf,
  cores,
  jobId,
  jobPlan,
  jobQueue,
  stepPlan,
  workerRegistration,
} from './plans.fixture.js';
import { runningEntry, schedulerHarness, type HarnessOptions } from './scheduler.fixture.js';

const WEST = brandAs<DataCentreId>('west');
const EAST = brandAs<DataCentreId>('east');
const WEST_WORKER = workerRegistration('w1', { zone: 'west' });
const EAST_WORKER = workerRegistration('e1', { zone: 'east' });

function evacuationBench(options: HarnessOptions = {}) {
  const harness = schedulerHarness({ workers: [WEST_WORKER, EAST_WORKER], ...options });
  harness.reportFromAll();
  return {
    ...harness,
    evacuate: (zones: readonly DataCentreId[], currentUntil: Deadline = NEVER): void => {
      harness.send({ kind: 'evacuations', zones, currentUntil });
    },
    eventsNamed: (name: string) =>
      harness.of('event').flatMap((event) => (event.name === name ? [event.fields] : [])),
    /** Records starts without storing them. */
    recordStarts: (): void => {
      harness.send({ kind: 'place', mayStart: true });
    },
  };
}

function incarnationsOf(starts: readonly { readonly incarnation: string }[]): string[] {
  return starts.map(({ incarnation }) => incarnation);
}

const WIDE = { steps: [stepPlan({ count: 4, demand: cores(2) })] };
const GANG = { steps: [stepPlan({ count: 4, demand: cores(2), isGang: true })] };

test('nothing is placed in an evacuated data centre, and its runs go on', (t) => {
  const bench = evacuationBench();
  bench.submit(jobPlan(1, WIDE));
  const before = bench.place();
  before.forEach((start) => {
    bench.answerStart(start);
  });
  bench.evacuate([WEST]);
  bench.submit(jobPlan(2, WIDE));
  bench.place();
  t.deepEqual(bench.stops(), []);
  t.deepEqual(bench.eventsNamed('evacuation.began'), [
    { zone: 'west', workers: 1, runs: 2, isTakeover: false },
  ]);
  before.forEach((start) => {
    bench.end(start, 'done');
  });
  const after = bench.place();
  t.is(after.length, 2);
  t.true(after.every(({ incarnation }) => incarnation === EAST_WORKER.incarnation));
});

test('an evacuated data centre gets work as soon as its record is deleted', (t) => {
  const bench = evacuationBench();
  bench.evacuate([WEST, EAST]);
  bench.submit(jobPlan(1, WIDE));
  t.deepEqual(bench.place(), []);
  t.deepEqual(bench.waitingReasons(), { evacuated: 1 });
  bench.evacuate([EAST]);
  t.true(bench.needsPlacement());
  t.deepEqual(new Set(incarnationsOf(bench.place())), new Set([WEST_WORKER.incarnation]));
  t.deepEqual(bench.eventsNamed('evacuation.ended'), [{ zone: 'west', runs: 0 }]);
});

test('starts that are recorded when the evacuation comes are not sent, and go elsewhere', (t) => {
  const bench = evacuationBench();
  bench.submit(jobPlan(1, WIDE));
  bench.recordStarts();
  bench.evacuate([WEST]);
  t.is(bench.eventsNamed('start.rejected').length, 2);
  bench.commit();
  t.deepEqual(incarnationsOf(bench.starts()), Array(2).fill(EAST_WORKER.incarnation));
  t.is(
    bench.eventsNamed('start.rejected').filter(({ reason }) => reason === 'evacuated').length,
    2,
  );
  bench.starts().forEach((start) => {
    bench.end(start, 'done');
  });
  t.deepEqual(incarnationsOf(bench.place()), Array(2).fill(EAST_WORKER.incarnation));
});

test('a gang of which a part is recorded in the data centre is not sent at all', (t) => {
  const bench = evacuationBench();
  bench.submit(jobPlan(1, GANG));
  bench.recordStarts();
  bench.evacuate([WEST]);
  bench.commit();
  t.deepEqual(bench.starts(), []);
  bench.place();
  t.deepEqual(bench.waitingReasons(), { evacuated: 1 });
  bench.evacuate([]);
  t.is(bench.place().length, 4);
});

test('a gang that needs an evacuated data centre keeps no room from others, and starts nowhere', (t) => {
  const bench = evacuationBench();
  const long = { steps: [stepPlan({ demand: cores(2), estimateMillis: 60_000 })] };
  bench.evacuate([WEST]);
  bench.submit(jobPlan(1, long));
  bench.place();
  bench.submit(jobPlan(2, GANG));
  bench.place();
  bench.submit(jobPlan(3, long));
  t.deepEqual(incarnationsOf(bench.place()), [EAST_WORKER.incarnation]);
  t.is(bench.starts().length, 2);
});

test('advice names no worker of an evacuated data centre', (t) => {
  const advice = { baseMillis: 10, perWorkerMillis: 1, validMillis: 2500 };
  const configuration = configurationOf([jobQueue({ advice })]);
  const bench = evacuationBench({ configuration });
  bench.addMember('m1');
  bench.evacuate([WEST]);
  bench.submit(jobPlan(1, WIDE));
  bench.place();
  t.deepEqual(
    bench.of('ask_advice').map(({ workers }) => workers),
    [[EAST_WORKER.id]],
  );
  // A ticket of an earlier call gives no access either.
  bench.grant(stepIdOf(jobId(1), 0, 0), [WEST_WORKER.id]);
  t.deepEqual(bench.place(), []);
});

test('a start that the link gave up is stopped if a copy of it may still begin, and else forgotten', (t) => {
  for (const hasUnansweredCopies of [true, false]) {
    const bench = evacuationBench({ workers: [WEST_WORKER] });
    bench.submit(jobPlan(1));
    const [start] = bench.place();
    if (start === undefined) {
      t.fail('the task was not started');
      return;
    }
    bench.evacuate([WEST]);
    bench.answerStart(start, { kind: 'evacuated' }, hasUnansweredCopies);
    t.is(bench.stops().length, Number(hasUnansweredCopies));
    t.deepEqual(bench.place(), []);
  }
});

test('nothing is started while the records are too old, and recorded starts follow the next reading', (t) => {
  const bench = evacuationBench();
  bench.evacuate([], deadlineAfter(bench.now(), 2500));
  bench.submit(jobPlan(1, { steps: [stepPlan({ count: 3, demand: cores(2) })] }));
  bench.recordStarts();
  bench.advance(2500);
  bench.commit();
  bench.submit(jobPlan(2));
  t.deepEqual(bench.place(), []);
  t.is(bench.eventsNamed('task.placed').length, 3);
  t.false(bench.needsPlacement());
  t.is(bench.eventsNamed('evacuations.outdated').length, 1);
  bench.evacuate([WEST], deadlineAfter(bench.now(), 2500));
  t.deepEqual(incarnationsOf(bench.starts()), [EAST_WORKER.incarnation]);
  t.true(bench.needsPlacement());
  t.is(bench.eventsNamed('evacuations.current').length, 1);
});

test('a new owner starts nothing in data centres that were evacuated before its term', (t) => {
  const bench = evacuationBench();
  bench.submit(jobPlan(1, WIDE));
  bench.commit();
  bench.takeOver(undefined, undefined, { zones: [WEST], currentUntil: NEVER });
  bench.reportFromAll();
  t.deepEqual(new Set(incarnationsOf(bench.place())), new Set([EAST_WORKER.incarnation]));
  t.like(bench.eventsNamed('evacuation.began')[0], { zone: 'west', isTakeover: true });
});

test('holds and reports of an evacuated data centre are served, and its runs are taken over', (t) => {
  const bench = evacuationBench({ workers: [WEST_WORKER] });
  bench.submit(jobPlan(1));
  const [start] = bench.place();
  if (start === undefined) {
    t.fail('the task was not started');
    return;
  }
  bench.answerStart(start);
  bench.takeOver(undefined, undefined, { zones: [WEST], currentUntil: NEVER });
  bench.report(start.incarnation, [runningEntry(start)]);
  bench.end(start, 'done');
  bench.commit();
  t.deepEqual(bench.stateOf(jobId(1)), { kind: 'state', state: 'completed' });
});

test('an evacuation of a data centre without workers is logged and kept', (t) => {
  const bench = evacuationBench();
  const north = brandAs<DataCentreId>('north');
  bench.evacuate([north]);
  t.deepEqual(bench.eventsNamed('evacuation.unknown_zone'), [{ zone: 'north' }]);
  const late = workerRegistration('n1', { zone: 'north' });
  bench.send({ kind: 'worker', registration: late });
  bench.report(late.incarnation);
  bench.submit(jobPlan(1, { steps: [stepPlan({ count: 12 })] }));
  t.false(incarnationsOf(bench.place()).includes(late.incarnation));
});
