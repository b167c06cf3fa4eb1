import test from 'ava';
import { brandAs, type RackId } from '@bamboowell/types/ids';
import type { WorkerRegistration } from '@bamboowell/types/job';
import { cores, jobId, jobPlan, stepPlan, workerRegistration } from './plans.fixture.js';
import { schedulerHarness } from './scheduler.fixture.js';

/** A harness whose workers have sent their first report. */
function readyHarness(workers: readonly WorkerRegistration[]) {
  const harness = schedulerHarness({ workers });
  harness.reportFromAll();
  return harness;
}

type Harness = ReturnType<typeof readyHarness>;

function submit(harness: Harness, number: number, count: number, changes = {}): void {
  harness.submit(jobPlan(number, { steps: [stepPlan({ count, ...changes })] }));
  harness.commit();
}

function setCapacity(harness: Harness, name: string, count: number): void {
  const registration = workerRegistration(name, { capacity: cores(count, 10_000) });
  harness.send({ kind: 'worker', registration });
}

// Guards against starts by the room that a worker had before it shrank (LIMIT).
test('a worker whose capacity shrinks gets nothing until its runs fit again, and more once it grows', (t) => {
  const harness = readyHarness([workerRegistration('w1')]);
  submit(harness, 1, 4);
  const starts = harness.place();
  t.is(starts.length, 4);
  setCapacity(harness, 'w1', 2);
  submit(harness, 2, 4);
  for (const [index, start] of starts.slice(0, 2).entries()) {
    t.deepEqual(harness.place(), [], `${4 - index} runs`);
    harness.end(start, 'done');
  }
  t.deepEqual(harness.place(), [], 'two runs fill it');
  const third = starts[2];
  t.truthy(third);
  if (third !== undefined) {
    harness.end(third, 'done');
  }
  t.is(harness.place().length, 1);
  setCapacity(harness, 'w1', 4);
  t.is(harness.place().length, 2);
});

// Guards against a start that is recorded while its worker shrinks, and sent all the same (LIMIT).
test('a start whose worker has shrunk before its record was stored is not sent, and its task is placed again', (t) => {
  const harness = readyHarness([workerRegistration('w1'), workerRegistration('w2')]);
  submit(harness, 1, 1, { demand: cores(3) });
  harness.send({ kind: 'place', mayStart: true });
  const placed = harness.of('event').find(({ name }) => name === 'task.placed');
  const name = String(placed?.fields.worker);
  setCapacity(harness, name, 2);
  harness.commit();
  t.deepEqual(harness.starts(), []);
  const [start] = harness.place();
  t.truthy(start);
  t.false(start?.incarnation.startsWith(name));
});

// Guards against a gang that finds no rack because one of its workers is over its capacity (LIMIT).
test('a gang finds the rack with room for it, also with a worker there that is over its capacity', (t) => {
  const rackOf: Record<string, string> = { w1: 'a', w2: 'a', w3: 'a', w4: 'b' };
  const registrationOf = (name: string, count: number) =>
    workerRegistration(name, {
      capacity: cores(count, 10_000),
      rack: brandAs<RackId>(rackOf[name] ?? ''),
    });
  const harness = readyHarness([registrationOf('w1', 20)]);
  submit(harness, 1, 20);
  t.is(harness.place().length, 20);
  for (const [name, count] of [
    ['w1', 4],
    ['w2', 4],
    ['w3', 4],
    ['w4', 4],
  ] as const) {
    const registration = registrationOf(name, count);
    harness.send({ kind: 'worker', registration });
    harness.report(registration.incarnation);
  }
  submit(harness, 2, 2, { demand: cores(4), isGang: true, prefersOneRack: true });
  const starts = harness.place().filter(({ task }) => task.startsWith(jobId(2)));
  t.deepEqual(starts.map(({ incarnation }) => incarnation.slice(0, 2)).sort(), ['w2', 'w3']);
});

// Guards against a gang that is started in part because one of its workers has shrunk (LIMIT).
test('a gang that no longer fits because a worker has shrunk waits, and starts when the room is back', (t) => {
  const harness = readyHarness([workerRegistration('w1'), workerRegistration('w2')]);
  setCapacity(harness, 'w2', 2);
  submit(harness, 1, 2, { demand: cores(4), isGang: true });
  t.deepEqual(harness.place(), []);
  setCapacity(harness, 'w2', 4);
  t.is(harness.place().length, 2);
});
