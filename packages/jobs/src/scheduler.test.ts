import test from 'ava';
import { brandAs, type MemberId, type RackId, type WorkerId } from '@bamboowell/types/ids';
import {
  workerIncarnationOf,
  type RunNumber,
  type StepId,
  type StepTaskId,
  type WallInstant,
} from '@bamboowell/types/job';
import type { Deadline } from '@bamboowell/types/time';
import {
  configurationOf,
  cores,
  jobId,
  jobPlan,
  jobQueue,
  QUEUE,
  stepPlan,
  workerRegistration,
} from './plans.fixture.js';
import {
  EARLIER_LEASES_MILLIS,
  runningEntry,
  schedulerHarness,
  type ReceivedStart,
} from './scheduler.fixture.js';

const W1 = workerRegistration('w1');
const W2 = workerRegistration('w2');

function first(starts: readonly ReceivedStart[]): ReceivedStart {
  const [start] = starts;
  if (start === undefined) {
    throw new Error('nothing was started');
  }
  return start;
}

/** A bench whose workers have answered. */
function readyBench(options: Parameters<typeof schedulerHarness>[0] = {}) {
  const bench = schedulerHarness(options);
  bench.reportFromAll();
  return bench;
}

test('a job is accepted once the store has it, and a repeat is the same job', (t) => {
  const bench = readyBench();
  const token = bench.submit(jobPlan(1));
  t.is(bench.answers.get(token), undefined);
  bench.commit();
  t.deepEqual(bench.answers.get(token), { kind: 'accepted', repeated: false });
  const again = bench.submit(jobPlan(1));
  bench.commit();
  t.deepEqual(bench.answers.get(again), { kind: 'accepted', repeated: true });
  t.is(bench.place().length, 1);
});

test('a start is sent only after its record, and not if the job was cancelled between', (t) => {
  const bench = readyBench();
  bench.submit(jobPlan(1));
  bench.commit();
  bench.send({ kind: 'place' });
  t.deepEqual(bench.starts(), []);
  bench.cancel(jobId(1));
  bench.commit();
  t.deepEqual(bench.starts(), []);
  t.deepEqual(bench.stateOf(jobId(1)), { kind: 'state', state: 'cancelled' });
});

test('a job is shown as completed and its end acknowledged only after the record', (t) => {
  const bench = readyBench();
  bench.submit(jobPlan(1));
  bench.commit();
  const start = first(bench.place());
  bench.answerStart(start);
  bench.end(start, 'done');
  t.deepEqual(bench.stateOf(jobId(1)), { kind: 'state', state: 'running' });
  t.deepEqual(bench.of('acknowledge'), []);
  bench.commit();
  t.deepEqual(bench.stateOf(jobId(1)), { kind: 'state', state: 'completed' });
  t.is(bench.of('acknowledge').length, 1);
});

test('a step waits for all tasks of the steps before it', (t) => {
  const bench = readyBench();
  const steps = [stepPlan({ count: 2 }), stepPlan({ after: [0] })];
  bench.submit(jobPlan(1, { steps }));
  bench.commit();
  const [one, two] = bench.place();
  if (one === undefined || two === undefined) {
    t.fail('two tasks should have started');
    return;
  }
  bench.end(one, 'done');
  t.deepEqual(bench.place(), []);
  bench.end(two, 'done');
  t.deepEqual(
    bench.place().map(({ task }) => task),
    [brandAs<StepTaskId>(`${jobId(1)}.0.1.0`)],
  );
});

test('a worker never gets more than it has room for, and stopping runs hold theirs', (t) => {
  const bench = readyBench({ workers: [W1] });
  bench.submit(jobPlan(1, { steps: [stepPlan({ count: 9, demand: cores(1) })] }));
  bench.commit();
  t.is(bench.place().length, 4);
  bench.cancel(jobId(1));
  bench.submit(jobPlan(2, { steps: [stepPlan({ count: 4 })] }));
  bench.commit();
  t.is(bench.stops().length, 4);
  t.deepEqual(bench.place(), []);
});

test('a gang starts whole or not at all, under one run number', (t) => {
  const bench = readyBench();
  const steps = [stepPlan({ count: 9, isGang: true })];
  bench.submit(jobPlan(1, { steps }));
  bench.submit(jobPlan(2, { steps: [stepPlan({ count: 8, isGang: true })] }));
  bench.commit();
  const starts = bench.place();
  t.is(starts.length, 8);
  t.deepEqual([...new Set(starts.map(({ run }) => Number(run)))], [1]);
  t.true(starts.every(({ task }) => task.startsWith(jobId(2))));
});

test('a gang of which one member is rejected is stopped and started again with a higher run', (t) => {
  const bench = readyBench();
  bench.submit(jobPlan(1, { steps: [stepPlan({ count: 2, isGang: true })] }));
  bench.commit();
  const [one, two] = bench.place();
  if (one === undefined || two === undefined) {
    t.fail('the gang should have started');
    return;
  }
  bench.answerStart(one);
  bench.answerStart(two, { kind: 'unwell' });
  t.deepEqual(
    bench.stops().map(({ task }) => task),
    [one.task],
  );
  bench.advance(1000);
  t.deepEqual(bench.place(), []);
  bench.end(one, 'stopped');
  t.deepEqual(
    bench.place().map(({ run }) => Number(run)),
    [2, 2],
  );
});

test('the end of one member of a gang stands for all, and their room is held until they end', (t) => {
  const bench = readyBench({ workers: [W1] });
  bench.submit(jobPlan(1, { steps: [stepPlan({ count: 2, demand: cores(2), isGang: true })] }));
  bench.commit();
  const [one, two] = bench.place();
  if (one === undefined || two === undefined) {
    t.fail('the gang should have started');
    return;
  }
  bench.end(one, 'done');
  bench.submit(jobPlan(2, { steps: [stepPlan({ demand: cores(3) })] }));
  bench.commit();
  t.deepEqual(bench.stateOf(jobId(1)), { kind: 'state', state: 'completed' });
  t.deepEqual(bench.place(), []);
  bench.end(two, 'done');
  t.is(bench.place().length, 1);
  t.deepEqual(bench.stops(), []);
});

test('a task fails its job after as many failed runs as the queue allows, and no other ends count', (t) => {
  const bench = readyBench();
  bench.submit(jobPlan(1));
  bench.commit();
  bench.end(first(bench.place()), 'stopped');
  bench.end(first(bench.place()), 'failed');
  bench.end(first(bench.place()), 'lapsed');
  const last = first(bench.place());
  t.is(Number(last.run), 4);
  bench.end(last, 'failed');
  bench.commit();
  t.deepEqual(bench.stateOf(jobId(1)), { kind: 'state', state: 'failed' });
  t.deepEqual(bench.place(), []);
});

test('a run that ended early goes on from what it saved', (t) => {
  const bench = readyBench();
  bench.submit(jobPlan(1, { steps: [stepPlan({ savesProgress: true })] }));
  bench.commit();
  const start = first(bench.place());
  t.is(String(start.saved), '');
  bench.report(start.incarnation, [runningEntry(start, 'half')]);
  bench.end(start, 'lapsed');
  t.is(String(first(bench.place()).saved), 'half');
});

test('an unknown job is not known, and a cancelled one stays cancelled when it is sent again', (t) => {
  const bench = readyBench();
  t.deepEqual(bench.stateOf(jobId(9)), { kind: 'unknown_job' });
  bench.submit(jobPlan(1));
  bench.commit();
  const token = bench.cancel(jobId(1));
  t.is(bench.answers.get(token), undefined);
  bench.commit();
  t.deepEqual(bench.answers.get(token), { kind: 'cancelled' });
  bench.submit(jobPlan(1));
  bench.commit();
  t.deepEqual(bench.place(), []);
});

test('jobs of which nothing was started count as waiting', (t) => {
  const bench = readyBench({ workers: [W1] });
  bench.submit(jobPlan(1, { steps: [stepPlan({ demand: cores(4) })] }));
  bench.submit(jobPlan(2, { steps: [stepPlan({ demand: cores(4) })] }));
  bench.commit();
  t.deepEqual(bench.waitingIn(QUEUE), { kind: 'count', waiting: 2 });
  bench.place();
  t.deepEqual(bench.waitingIn(QUEUE), { kind: 'count', waiting: 1 });
});

test('a team starts nothing once it runs its limit', (t) => {
  const configuration = configurationOf([jobQueue()], { limit: cores(2, 10_000) });
  const bench = readyBench({ configuration });
  bench.submit(jobPlan(1, { steps: [stepPlan({ count: 8 })] }));
  bench.commit();
  t.is(bench.place().length, 2);
});

test('a step starts only where a ticket allows it, and while the ticket is good', (t) => {
  const advice = { baseMillis: 10, perWorkerMillis: 0.1, validMillis: 2500 };
  const bench = readyBench({ configuration: configurationOf([jobQueue({ advice })]) });
  bench.addAdviser('m1');
  bench.submit(jobPlan(1));
  bench.commit();
  t.deepEqual(bench.place(), []);
  const [question] = bench.of('ask_advice');
  t.deepEqual(question?.workers, [W1.id, W2.id]);
  const step = brandAs<StepId>(`${jobId(1)}.0.0`);
  bench.grant(step, [W2.id], 2500);
  bench.advance(2400);
  t.deepEqual(bench.place(), []);
  t.deepEqual(bench.of('ask_advice').at(-1)?.workers, [W2.id]);
  bench.grant(step, [W2.id], 2500);
  const start = first(bench.place());
  t.is(start.incarnation, W2.incarnation);
  t.is(String(start.ticket), 'ticket w2');
});

const ADVICE = { baseMillis: 10, perWorkerMillis: 0.1, validMillis: 2500 };
const PLAIN_QUEUE = jobQueue({ id: brandAs('plain') });
const URGENT_QUEUE = jobQueue({ id: brandAs('urgent'), priority: 0 });

/** A fleet of which all but the last few workers are full, and a queue that needs advice. */
function fullFleet(workers: number, free: number) {
  const registrations = Array.from({ length: workers }, (_, number) =>
    workerRegistration(`w${number}`),
  );
  const bench = readyBench({
    workers: registrations,
    configuration: configurationOf([jobQueue({ advice: ADVICE }), PLAIN_QUEUE, URGENT_QUEUE]),
  });
  const steps = [stepPlan({ count: workers - free, demand: cores(4) })];
  bench.submit(jobPlan(9000, { queue: PLAIN_QUEUE.id, steps }));
  bench.commit();
  const busy = new Set(bench.place().map(({ incarnation }) => incarnation));
  bench.addAdviser('m1');
  return {
    bench,
    free: registrations.filter(({ incarnation }) => !busy.has(incarnation)).map(({ id }) => id),
  };
}

// Guards against starts that a worker can only refuse, after a store that was away for seconds.
test('a start whose ticket ran out before its record was stored is not sent, and placed again', (t) => {
  const bench = readyBench({ configuration: configurationOf([jobQueue({ advice: ADVICE })]) });
  const step = brandAs<StepId>(`${jobId(1)}.0.0`);
  bench.addAdviser('m1');
  bench.submit(jobPlan(1));
  bench.commit();
  bench.place();
  bench.grant(step, [W1.id], 2500);
  bench.send({ kind: 'place' });
  bench.advance(2600);
  bench.commit();
  t.deepEqual(bench.starts(), []);
  bench.place();
  bench.grant(step, [W1.id], 2500);
  t.is(Number(first(bench.place()).run), 2);
});

// Guards against advice that names the same workers for every step, while the others are idle.
test('advice is asked about the workers that have room, wherever they stand in the list', (t) => {
  const { bench, free } = fullFleet(150, 5);
  bench.submit(jobPlan(1));
  bench.commit();
  bench.place();
  const [question] = bench.of('ask_advice');
  t.deepEqual(question?.workers.slice(0, free.length), free);
});

// Guards against calls for advice about room that waits for a gang, which nothing else may take.
test('advice is asked about workers that are kept for a gang only after the others', (t) => {
  const { bench, free } = fullFleet(60, 40);
  const gang = stepPlan({ count: 41, demand: cores(4), isGang: true });
  bench.submit(jobPlan(2, { queue: URGENT_QUEUE.id, steps: [gang] }));
  bench.submit(jobPlan(1, { steps: [stepPlan({ demand: cores(4) })] }));
  bench.commit();
  t.deepEqual(bench.place(), []);
  const named = bench.of('ask_advice').at(-1)?.workers ?? [];
  // Half of the workers are kept at most: thirty of the forty that are free.
  t.deepEqual(named.slice(0, 10), free.slice(30));
});

// Guards against waiting for tickets to run out, where nothing that they name has room.
test('advice is asked about further workers at once, if those granted have no room left', (t) => {
  const { bench, free } = fullFleet(60, 40);
  bench.submit(jobPlan(1, { steps: [stepPlan({ count: 2, demand: cores(4) })] }));
  bench.commit();
  bench.place();
  const named = bench.of('ask_advice').at(-1)?.workers ?? [];
  bench.grant(brandAs<StepId>(`${jobId(1)}.0.0`), named.slice(0, 1));
  t.is(bench.place().length, 1);
  const further = bench.of('ask_advice').at(-1)?.workers ?? [];
  const unnamed = free.filter((id) => !named.includes(id));
  t.true(unnamed.length > 0 && unnamed.every((id) => further.includes(id)));
});

test('a call for advice that got no answer is made again, about the same workers', (t) => {
  const advice = { baseMillis: 10, perWorkerMillis: 0.1, validMillis: 2500 };
  const bench = readyBench({ configuration: configurationOf([jobQueue({ advice })]) });
  const lost = bench.addAdviser('m1');
  bench.submit(jobPlan(1));
  bench.commit();
  bench.place();
  bench.addAdviser('m2');
  bench.send({ kind: 'adviser_gone', member: lost });
  bench.place();
  t.deepEqual(
    bench.of('ask_advice').map(({ member, workers }) => [member, workers.length]),
    [
      [lost, 2],
      [brandAs<MemberId>('m2'), 2],
    ],
  );
});

test('advice for the next step is asked for when the one before is about to end', (t) => {
  const advice = { baseMillis: 500, perWorkerMillis: 1, validMillis: 2500 };
  const bench = readyBench({ configuration: configurationOf([jobQueue({ advice })]) });
  bench.addAdviser('m1');
  bench.submit(jobPlan(1, { steps: [stepPlan(), stepPlan({ after: [0] })] }));
  bench.commit();
  bench.place();
  bench.grant(brandAs<StepId>(`${jobId(1)}.0.0`), [W1.id]);
  const start = first(bench.place());
  bench.answerStart(start);
  bench.advance(2000);
  bench.report(start.incarnation, [runningEntry(start, '', 50)]);
  bench.place();
  t.is(bench.of('ask_advice').length, 1);
  bench.advance(1200);
  bench.place();
  t.is(String(bench.of('ask_advice').at(-1)?.step), `${jobId(1)}.0.1`);
  bench.grant(brandAs<StepId>(`${jobId(1)}.0.1`), [W2.id]);
  bench.end(start, 'done');
  t.is(first(bench.place()).incarnation, W2.incarnation);
});

test('calls for advice go to the member with the least in hand, long ones to others than short ones', (t) => {
  const short = { baseMillis: 10, perWorkerMillis: 0.1, validMillis: 2500 };
  const long = { baseMillis: 600, perWorkerMillis: 6, validMillis: 2500 };
  const plans = jobQueue({ id: brandAs('long'), advice: long });
  const bench = readyBench({
    configuration: configurationOf([jobQueue({ advice: short }), plans]),
  });
  ['m1', 'm2', 'm3'].forEach((name) => bench.addAdviser(name));
  [1, 2, 3].forEach((number) => bench.submit(jobPlan(number)));
  [4, 5].forEach((number) => bench.submit(jobPlan(number, { queue: plans.id })));
  bench.commit();
  bench.place();
  const asked = bench.of('ask_advice').map(({ member, step }) => `${member} ${step.slice(15, 16)}`);
  t.deepEqual(asked.sort(), ['m1 1', 'm1 2', 'm1 3', 'm2 4', 'm3 5']);
});

test('nothing is placed on a worker that drains, is unreachable, or has another life', (t) => {
  const bench = readyBench({ workers: [W1] });
  bench.submit(jobPlan(1));
  bench.commit();
  bench.send({ kind: 'worker', registration: { ...W1, isDraining: true } });
  t.deepEqual(bench.place(), []);
  bench.send({ kind: 'worker', registration: W1 });
  bench.send({
    kind: 'unreachable',
    incarnation: W1.incarnation,
    lapsesAt: brandAs<Deadline>(bench.now() + 4000),
  });
  t.deepEqual(bench.place(), []);
  bench.send({
    kind: 'worker',
    registration: { ...W1, incarnation: workerIncarnationOf(W1.id, 2) },
  });
  t.deepEqual(bench.place(), []);
  bench.report(workerIncarnationOf(W1.id, 2));
  t.is(bench.place().length, 1);
});

test('the runs of an unreachable worker start elsewhere only when its lease has lapsed', (t) => {
  const bench = readyBench();
  bench.submit(jobPlan(1));
  bench.commit();
  const start = first(bench.place());
  bench.answerStart(start);
  const lapsesAt = brandAs<Deadline>(bench.now() + 4000);
  bench.send({ kind: 'unreachable', incarnation: start.incarnation, lapsesAt });
  bench.advance(3999);
  t.deepEqual(bench.place(), []);
  bench.advance(1);
  const again = first(bench.place());
  t.not(again.incarnation, start.incarnation);
  t.is(Number(again.run), 2);
});

test('the runs of a life that is over start elsewhere at once', (t) => {
  const bench = readyBench();
  bench.submit(jobPlan(1));
  bench.commit();
  const start = first(bench.place());
  bench.send({ kind: 'other_life', incarnation: start.incarnation });
  t.is(Number(first(bench.place()).run), 2);
});

test('a run that a later list leaves out is started again, but not on a list asked for before', (t) => {
  const bench = readyBench({ workers: [W1] });
  bench.submit(jobPlan(1));
  bench.commit();
  const start = first(bench.place());
  bench.answerStart(start);
  bench.report(W1.incarnation);
  t.deepEqual(bench.place(), []);
  bench.advance(10);
  bench.report(W1.incarnation);
  t.is(Number(first(bench.place()).run), 2);
});

test('a run that nobody knows is stopped, and its worker gets nothing until it is gone', (t) => {
  const bench = readyBench({ workers: [W1] });
  const stranger = {
    task: brandAs<StepTaskId>('00000000000000ff.0.0.0'),
    run: brandAs<RunNumber>(3),
  };
  bench.report(W1.incarnation, [runningEntry(stranger)]);
  t.is(bench.stops().length, 1);
  bench.submit(jobPlan(1));
  bench.commit();
  t.deepEqual(bench.place(), []);
  bench.report(W1.incarnation);
  t.is(bench.place().length, 1);
});

test('a new owner goes on with what the store has and starts nothing twice', (t) => {
  const bench = readyBench();
  bench.submit(jobPlan(1, { steps: [stepPlan({ count: 3 }), stepPlan({ after: [0] })] }));
  bench.commit();
  const [one, two, three] = bench.place();
  if (one === undefined || two === undefined || three === undefined) {
    t.fail('three tasks should have started');
    return;
  }
  bench.end(one, 'done');
  bench.commit();
  bench.takeOver();
  t.deepEqual(bench.place(), []);
  const mine = [two, three].filter(({ incarnation }) => incarnation === two.incarnation);
  // The worker of the third start never got it: its first list to the new owner shows that.
  bench.report(two.incarnation, [runningEntry(two)]);
  t.is(mine.length, 2);
  const again = bench.place();
  t.deepEqual(
    again.map(({ task, run }) => [task, Number(run)]),
    [[three.task, 2]],
  );
});

test('a new owner waits out the leases of a worker that it cannot reach', (t) => {
  const bench = readyBench();
  bench.submit(jobPlan(1));
  bench.commit();
  const start = first(bench.place());
  bench.takeOver();
  const other = start.incarnation === W1.incarnation ? W2 : W1;
  bench.report(other.incarnation);
  bench.send({
    kind: 'unreachable',
    incarnation: start.incarnation,
    lapsesAt: brandAs<Deadline>(bench.now() + EARLIER_LEASES_MILLIS),
  });
  bench.advance(EARLIER_LEASES_MILLIS - 1);
  t.deepEqual(bench.place(), []);
  bench.advance(1);
  t.is(first(bench.place()).incarnation, other.incarnation);
});

test('an ended job is still known to a new owner, without its payload', (t) => {
  const bench = readyBench();
  bench.submit(jobPlan(1));
  bench.commit();
  bench.end(first(bench.place()), 'done');
  bench.commit();
  t.deepEqual([...bench.store.keys()], [`progress/${jobId(1)}`]);
  bench.takeOver();
  t.deepEqual(bench.stateOf(jobId(1)), { kind: 'state', state: 'completed' });
  bench.advance(200_000);
  bench.place();
  t.deepEqual([...bench.store.keys()], []);
});

test('occurrences start when they are due, and complete the job together', (t) => {
  const bench = readyBench();
  const firstAt = brandAs<WallInstant>(1_700_000_000_000 + 2000);
  const repetition = { count: 2, firstAt, intervalMillis: 500 };
  bench.submit(jobPlan(1, { repetition }));
  bench.commit();
  t.deepEqual(bench.place(), []);
  bench.advance(1000);
  const one = first(bench.place());
  t.is(String(one.task), `${jobId(1)}.0.0.0`);
  bench.advance(500);
  const two = first(bench.place());
  t.is(String(two.task), `${jobId(1)}.1.0.0`);
  bench.end(one, 'done');
  bench.commit();
  t.deepEqual(bench.stateOf(jobId(1)), { kind: 'state', state: 'running' });
  bench.end(two, 'done');
  bench.commit();
  t.deepEqual(bench.stateOf(jobId(1)), { kind: 'state', state: 'completed' });
});

test('a lasting task is started again however it ends', (t) => {
  const bench = readyBench();
  bench.submit(jobPlan(1, { steps: [stepPlan({ isLasting: true })] }));
  bench.commit();
  bench.end(first(bench.place()), 'done');
  bench.end(first(bench.place()), 'failed');
  bench.end(first(bench.place()), 'failed');
  t.is(Number(first(bench.place()).run), 4);
});

test('labels and the bound of tasks on a worker are kept', (t) => {
  const fast = workerRegistration('fast', { labels: ['b', 'r2'] });
  const bench = readyBench({ workers: [W1, fast] });
  bench.submit(jobPlan(1, { steps: [stepPlan({ count: 4, neededLabel: 'b', maxPerWorker: 2 })] }));
  bench.commit();
  t.deepEqual(
    bench.place().map(({ incarnation }) => incarnation),
    [fast.incarnation, fast.incarnation],
  );
});

test('a worker that fails the jobs of several gets nothing for a while', (t) => {
  const id = brandAs<WorkerId>('bad');
  const bad = workerRegistration('bad', { capacity: cores(1, 1000) });
  const good = workerRegistration('good', { capacity: cores(1, 1000) });
  const configuration = configurationOf([jobQueue({ attempts: 9 })]);
  const bench = readyBench({ configuration, workers: [bad, good] });
  [1, 2, 3, 4, 5, 6].forEach((number) => bench.submit(jobPlan(number)));
  bench.commit();
  const started: WorkerId[] = [];
  for (let round = 0; round < 8; round += 1) {
    for (const start of bench.place()) {
      const isBad = start.incarnation === bad.incarnation;
      started.push(isBad ? bad.id : good.id);
      bench.end(start, isBad ? 'failed' : 'done');
    }
  }
  t.true(started.filter((worker) => worker === id).length <= 3);
});

test('a run that stands still is stopped and started elsewhere, and goes on from what it saved', (t) => {
  const bench = readyBench();
  bench.submit(jobPlan(1, { steps: [stepPlan({ savesProgress: true })] }));
  bench.commit();
  const start = first(bench.place());
  bench.answerStart(start);
  for (let waited = 0; waited < 3200; waited += 800) {
    bench.report(start.incarnation, [runningEntry(start, 'part', 40)]);
    bench.advance(800);
  }
  bench.place();
  t.deepEqual(bench.stops(), []);
  bench.advance(800);
  bench.report(start.incarnation, [runningEntry(start, 'part', 40)]);
  bench.place();
  t.is(bench.stops().length, 1);
  bench.end(start, 'stopped', 'part');
  const again = first(bench.place());
  t.not(again.incarnation, start.incarnation);
  t.is(String(again.saved), 'part');
});

test('a run of whose worker nothing is heard does not stand still', (t) => {
  const bench = readyBench();
  bench.submit(jobPlan(1));
  bench.commit();
  const start = first(bench.place());
  bench.answerStart(start);
  bench.report(start.incarnation, [runningEntry(start, '', 40)]);
  bench.advance(5000);
  bench.place();
  t.deepEqual(bench.stops(), []);
});

test('a gang that waits for its members does not stand still', (t) => {
  const bench = readyBench();
  bench.submit(jobPlan(1, { steps: [stepPlan({ count: 2, isGang: true })] }));
  bench.commit();
  const start = first(bench.place());
  bench.answerStart(start);
  bench.report(start.incarnation, [runningEntry(start, '', 0)]);
  bench.advance(5000);
  bench.place();
  t.deepEqual(bench.stops(), []);
});

test('a worker that answers keeps its work for a while after its entry went', (t) => {
  const bench = readyBench({ workers: [W1] });
  bench.advance(10_000);
  bench.send({ kind: 'worker_gone', worker: W1.id });
  bench.submit(jobPlan(1));
  bench.submit(jobPlan(2));
  bench.commit();
  t.is(bench.place().length, 2);
  bench.advance(2000);
  bench.submit(jobPlan(3));
  bench.commit();
  t.deepEqual(bench.place(), []);
});

test('a step that prefers one rack is placed on one where that is possible', (t) => {
  const racked = ['a', 'b', 'c', 'd'].map((name, index) =>
    workerRegistration(name, { rack: brandAs<RackId>(`r${index % 2}`), capacity: cores(2, 1000) }),
  );
  const bench = readyBench({ workers: racked });
  bench.submit(jobPlan(1, { steps: [stepPlan({ count: 4, isGang: true, prefersOneRack: true })] }));
  bench.commit();
  const racks = bench
    .place()
    .map(({ incarnation }) => racked.find((each) => each.incarnation === incarnation)?.rack);
  t.is(racks.length, 4);
  t.is(new Set(racks).size, 1);
});

test('room is kept for a gang that waits, and smaller work behind it goes elsewhere', (t) => {
  const small = jobQueue({ id: brandAs('small'), priority: 2 });
  const names = ['a', 'b', 'c', 'd'];
  const workers = names.map((name) => workerRegistration(name, { capacity: cores(4, 1000) }));
  const bench = readyBench({ configuration: configurationOf([jobQueue(), small]), workers });
  const fill = { queue: small.id, steps: [stepPlan({ count: 6, demand: cores(2) })] };
  bench.submit(jobPlan(1, fill));
  bench.commit();
  const running = bench.place();
  t.is(running.length, 6);
  // Two whole workers are needed; one is free, the others run two small tasks each.
  bench.submit(jobPlan(2, { steps: [stepPlan({ count: 2, demand: cores(4), isGang: true })] }));
  bench.submit(jobPlan(3, fill));
  bench.commit();
  t.deepEqual(bench.place(), []);
  const incarnation = running[0]?.incarnation;
  running
    .filter((start) => start.incarnation === incarnation)
    .forEach((start) => {
      bench.end(start, 'done');
    });
  const next = bench.place();
  t.deepEqual(
    next.filter(({ task }) => task.startsWith(jobId(2))).map(({ run }) => Number(run)),
    [1, 1],
  );
});
