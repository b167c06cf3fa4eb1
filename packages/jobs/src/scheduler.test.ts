import test from 'ava';
import { brandAs, type MemberId, type RackId, type WorkerId } from '@bamboowell/types/ids';
import {
  workerIncarnationOf,
  type RunNumber,
  type StepId,
  type StepTaskId,
  type WallInstant,
} from '@bamboowell/types/job';
import { NO_RESOURCES } from '@bamboowell/types/resources';
import type { Deadline } from '@bamboowell/types/time';
import { countFitting } from './available-workers.js';
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

/** A harness whose workers have sent their first report. */
function readyHarness(options: Parameters<typeof schedulerHarness>[0] = {}) {
  const harness = schedulerHarness(options);
  harness.reportFromAll();
  return harness;
}

test('a job is accepted once it is stored, and the same job sent again is not a new one', (t) => {
  const harness = readyHarness();
  const token = harness.submit(jobPlan(1));
  t.is(harness.answers.get(token), undefined);
  harness.commit();
  t.deepEqual(harness.answers.get(token), { kind: 'accepted', repeated: false });
  const again = harness.submit(jobPlan(1));
  harness.commit();
  t.deepEqual(harness.answers.get(again), { kind: 'accepted', repeated: true });
  t.is(harness.place().length, 1);
});

test('a start is sent only once its record is stored, and not if the job was cancelled meanwhile', (t) => {
  const harness = readyHarness();
  harness.submit(jobPlan(1));
  harness.commit();
  harness.send({ kind: 'place', mayStart: true });
  t.deepEqual(harness.starts(), []);
  harness.cancel(jobId(1));
  harness.commit();
  t.deepEqual(harness.starts(), []);
  t.deepEqual(harness.stateOf(jobId(1)), { kind: 'state', state: 'cancelled' });
});

test('a job shows as completed and its end is acknowledged only once the record is stored', (t) => {
  const harness = readyHarness();
  harness.submit(jobPlan(1));
  harness.commit();
  const start = first(harness.place());
  harness.answerStart(start);
  harness.end(start, 'done');
  t.deepEqual(harness.stateOf(jobId(1)), { kind: 'state', state: 'running' });
  t.deepEqual(harness.of('acknowledge'), []);
  harness.commit();
  t.deepEqual(harness.stateOf(jobId(1)), { kind: 'state', state: 'completed' });
  t.is(harness.of('acknowledge').length, 1);
});

test('a step waits for all tasks of the steps before it', (t) => {
  const harness = readyHarness();
  const steps = [stepPlan({ count: 2 }), stepPlan({ after: [0] })];
  harness.submit(jobPlan(1, { steps }));
  harness.commit();
  const [one, two] = harness.place();
  if (one === undefined || two === undefined) {
    t.fail('two tasks should have started');
    return;
  }
  harness.end(one, 'done');
  t.deepEqual(harness.place(), []);
  harness.end(two, 'done');
  t.deepEqual(
    harness.place().map(({ task }) => task),
    [brandAs<StepTaskId>(`${jobId(1)}.0.1.0`)],
  );
});

test('a worker never gets more than its capacity, and stopping runs keep their resources', (t) => {
  const harness = readyHarness({ workers: [W1] });
  harness.submit(jobPlan(1, { steps: [stepPlan({ count: 9, demand: cores(1) })] }));
  harness.commit();
  t.is(harness.place().length, 4);
  harness.cancel(jobId(1));
  harness.submit(jobPlan(2, { steps: [stepPlan({ count: 4 })] }));
  harness.commit();
  t.is(harness.stops().length, 4);
  t.deepEqual(harness.place(), []);
});

test('a gang starts whole or not at all, under one run number', (t) => {
  const harness = readyHarness();
  const steps = [stepPlan({ count: 9, isGang: true })];
  harness.submit(jobPlan(1, { steps }));
  harness.submit(jobPlan(2, { steps: [stepPlan({ count: 8, isGang: true })] }));
  harness.commit();
  const starts = harness.place();
  t.is(starts.length, 8);
  t.deepEqual([...new Set(starts.map(({ run }) => Number(run)))], [1]);
  t.true(starts.every(({ task }) => task.startsWith(jobId(2))));
});

test('a gang with a rejected member is stopped and started again under a higher run number', (t) => {
  const harness = readyHarness();
  harness.submit(jobPlan(1, { steps: [stepPlan({ count: 2, isGang: true })] }));
  harness.commit();
  const [one, two] = harness.place();
  if (one === undefined || two === undefined) {
    t.fail('the gang should have started');
    return;
  }
  harness.answerStart(one);
  harness.answerStart(two, { kind: 'unwell' });
  t.deepEqual(
    harness.stops().map(({ task }) => task),
    [one.task],
  );
  harness.advance(1000);
  t.deepEqual(harness.place(), []);
  harness.end(one, 'stopped');
  t.deepEqual(
    harness.place().map(({ run }) => Number(run)),
    [2, 2],
  );
});

test('the success of one gang member completes the gang, and all keep their resources until they end', (t) => {
  const harness = readyHarness({ workers: [W1] });
  harness.submit(jobPlan(1, { steps: [stepPlan({ count: 2, demand: cores(2), isGang: true })] }));
  harness.commit();
  const [one, two] = harness.place();
  if (one === undefined || two === undefined) {
    t.fail('the gang should have started');
    return;
  }
  harness.end(one, 'done');
  harness.submit(jobPlan(2, { steps: [stepPlan({ demand: cores(3) })] }));
  harness.commit();
  t.deepEqual(harness.stateOf(jobId(1)), { kind: 'state', state: 'completed' });
  t.deepEqual(harness.place(), []);
  harness.end(two, 'done');
  t.is(harness.place().length, 1);
  t.deepEqual(harness.stops(), []);
});

test('a job fails after as many failed runs of a task as its queue allows, and other ends do not count', (t) => {
  const harness = readyHarness();
  harness.submit(jobPlan(1));
  harness.commit();
  harness.end(first(harness.place()), 'stopped');
  harness.end(first(harness.place()), 'failed');
  harness.end(first(harness.place()), 'lapsed');
  const last = first(harness.place());
  t.is(Number(last.run), 4);
  harness.end(last, 'failed');
  harness.commit();
  t.deepEqual(harness.stateOf(jobId(1)), { kind: 'state', state: 'failed' });
  t.deepEqual(harness.place(), []);
});

test('a task whose run ended early continues from its saved progress', (t) => {
  const harness = readyHarness();
  harness.submit(jobPlan(1, { steps: [stepPlan({ savesProgress: true })] }));
  harness.commit();
  const start = first(harness.place());
  t.is(String(start.saved), '');
  harness.report(start.incarnation, [runningEntry(start, 'half')]);
  harness.end(start, 'lapsed');
  t.is(String(first(harness.place()).saved), 'half');
});

test('a query for an unknown job says so, and a cancelled job stays cancelled when it is sent again', (t) => {
  const harness = readyHarness();
  t.deepEqual(harness.stateOf(jobId(9)), { kind: 'unknown_job' });
  harness.submit(jobPlan(1));
  harness.commit();
  const token = harness.cancel(jobId(1));
  t.is(harness.answers.get(token), undefined);
  harness.commit();
  t.deepEqual(harness.answers.get(token), { kind: 'cancelled' });
  harness.submit(jobPlan(1));
  harness.commit();
  t.deepEqual(harness.place(), []);
});

test('jobs of which no task has started count as waiting', (t) => {
  const harness = readyHarness({ workers: [W1] });
  harness.submit(jobPlan(1, { steps: [stepPlan({ demand: cores(4) })] }));
  harness.submit(jobPlan(2, { steps: [stepPlan({ demand: cores(4) })] }));
  harness.commit();
  t.deepEqual(harness.waitingIn(QUEUE), { kind: 'count', waiting: 2 });
  harness.place().forEach((start) => {
    harness.answerStart(start);
  });
  t.deepEqual(harness.waitingIn(QUEUE), { kind: 'count', waiting: 1 });
});

test('a team starts nothing more once it uses its limit', (t) => {
  const configuration = configurationOf([jobQueue()], { limit: cores(2, 10_000) });
  const harness = readyHarness({ configuration });
  harness.submit(jobPlan(1, { steps: [stepPlan({ count: 8 })] }));
  harness.commit();
  t.is(harness.place().length, 2);
});

test('a step starts only on workers for which it has a ticket that is still valid', (t) => {
  const advice = { baseMillis: 10, perWorkerMillis: 0.1, validMillis: 2500 };
  const harness = readyHarness({ configuration: configurationOf([jobQueue({ advice })]) });
  harness.addMember('m1');
  harness.submit(jobPlan(1));
  harness.commit();
  t.deepEqual(harness.place(), []);
  const [call] = harness.of('ask_advice');
  t.deepEqual(call?.workers, [W1.id, W2.id]);
  const step = brandAs<StepId>(`${jobId(1)}.0.0`);
  harness.grant(step, [W2.id], 2500);
  harness.advance(2400);
  t.deepEqual(harness.place(), []);
  t.deepEqual(harness.of('ask_advice').at(-1)?.workers, [W2.id]);
  harness.grant(step, [W2.id], 2500);
  const start = first(harness.place());
  t.is(start.incarnation, W2.incarnation);
  t.is(String(start.ticket), 'ticket w2');
});

const ADVICE = { baseMillis: 10, perWorkerMillis: 0.1, validMillis: 2500 };
const PLAIN_QUEUE = jobQueue({ id: brandAs('plain') });
const URGENT_QUEUE = jobQueue({ id: brandAs('urgent'), priority: 0 });

/** A cluster in which all but `free` workers are full, and a queue that requires advice. */
function nearlyFullCluster(workers: number, free: number) {
  const registrations = Array.from({ length: workers }, (_, number) =>
    workerRegistration(`w${number}`),
  );
  const harness = readyHarness({
    workers: registrations,
    configuration: configurationOf([jobQueue({ advice: ADVICE }), PLAIN_QUEUE, URGENT_QUEUE]),
  });
  const steps = [stepPlan({ count: workers - free, demand: cores(4) })];
  harness.submit(jobPlan(9000, { queue: PLAIN_QUEUE.id, steps }));
  harness.commit();
  const busy = new Set(harness.place().map(({ incarnation }) => incarnation));
  harness.addMember('m1');
  return {
    harness,
    free: registrations.filter(({ incarnation }) => !busy.has(incarnation)).map(({ id }) => id),
  };
}

// Guards against starts that a worker can only refuse, after the store was unavailable for seconds.
test('a start whose ticket expired before its record was stored is not sent, and its task is placed again', (t) => {
  const harness = readyHarness({ configuration: configurationOf([jobQueue({ advice: ADVICE })]) });
  const step = brandAs<StepId>(`${jobId(1)}.0.0`);
  harness.addMember('m1');
  harness.submit(jobPlan(1));
  harness.commit();
  harness.place();
  harness.grant(step, [W1.id], 2500);
  harness.send({ kind: 'place', mayStart: true });
  harness.advance(2600);
  harness.commit();
  t.deepEqual(harness.starts(), []);
  harness.place();
  harness.grant(step, [W1.id], 2500);
  t.is(Number(first(harness.place()).run), 2);
});

// Guards against calls that name the same workers for every step, while the others are idle.
test('advice is requested for the workers that have room, wherever they are in the list', (t) => {
  const { harness, free } = nearlyFullCluster(150, 5);
  harness.submit(jobPlan(1));
  harness.commit();
  harness.place();
  const [call] = harness.of('ask_advice');
  t.deepEqual(call?.workers.slice(0, free.length), free);
});

// Guards against calls for advice on workers that are reserved for a gang and closed to others.
test('advice is requested for workers that are reserved for a gang only after the others', (t) => {
  const { harness, free } = nearlyFullCluster(60, 40);
  const gang = stepPlan({ count: 41, demand: cores(4), isGang: true });
  harness.submit(jobPlan(2, { queue: URGENT_QUEUE.id, steps: [gang] }));
  harness.submit(jobPlan(1, { steps: [stepPlan({ demand: cores(4) })] }));
  harness.commit();
  t.deepEqual(harness.place(), []);
  const named = harness.of('ask_advice').at(-1)?.workers ?? [];
  // At most half of the workers are reserved: thirty of the forty that are free.
  t.deepEqual(named.slice(0, 10), free.slice(30));
});

// Guards against waiting until tickets expire, although none of their workers has room.
test('advice is requested for further workers at once, if those granted have no room left', (t) => {
  const { harness, free } = nearlyFullCluster(60, 40);
  harness.submit(jobPlan(1, { steps: [stepPlan({ count: 2, demand: cores(4) })] }));
  harness.commit();
  harness.place();
  const named = harness.of('ask_advice').at(-1)?.workers ?? [];
  harness.grant(brandAs<StepId>(`${jobId(1)}.0.0`), named.slice(0, 1));
  t.is(harness.place().length, 1);
  const further = harness.of('ask_advice').at(-1)?.workers ?? [];
  const unnamed = free.filter((id) => !named.includes(id));
  t.true(unnamed.length > 0 && unnamed.every((id) => further.includes(id)));
});

// Guards against calls that take the advisers' time for a step that can't start on the workers there are.
test('no advice is requested ahead for a later step that the fleet can not hold', (t) => {
  const advice = { baseMillis: 500, perWorkerMillis: 1, validMillis: 2500 };
  const harness = readyHarness({ configuration: configurationOf([jobQueue({ advice })]) });
  harness.addMember('m1');
  const later = stepPlan({ after: [0], count: 9, isGang: true });
  harness.submit(jobPlan(1, { steps: [stepPlan(), later] }));
  harness.commit();
  harness.place();
  harness.grant(brandAs<StepId>(`${jobId(1)}.0.0`), [W1.id]);
  const start = first(harness.place());
  harness.answerStart(start);
  harness.advance(2000);
  harness.report(start.incarnation, [runningEntry(start, '', 50)]);
  harness.advance(1900);
  harness.place();
  t.is(harness.of('ask_advice').length, 1);
});

test('a call for advice that got no answer is made again with the same workers', (t) => {
  const advice = { baseMillis: 10, perWorkerMillis: 0.1, validMillis: 2500 };
  const harness = readyHarness({ configuration: configurationOf([jobQueue({ advice })]) });
  const lost = harness.addMember('m1');
  harness.submit(jobPlan(1));
  harness.commit();
  harness.place();
  harness.addMember('m2');
  harness.send({ kind: 'adviser_gone', member: lost });
  harness.place();
  t.deepEqual(
    harness.of('ask_advice').map(({ member, workers }) => [member, workers.length]),
    [
      [lost, 2],
      [brandAs<MemberId>('m2'), 2],
    ],
  );
});

test('advice for the next step is requested when the one before is about to end', (t) => {
  const advice = { baseMillis: 500, perWorkerMillis: 1, validMillis: 2500 };
  const harness = readyHarness({ configuration: configurationOf([jobQueue({ advice })]) });
  harness.addMember('m1');
  harness.submit(jobPlan(1, { steps: [stepPlan(), stepPlan({ after: [0] })] }));
  harness.commit();
  harness.place();
  harness.grant(brandAs<StepId>(`${jobId(1)}.0.0`), [W1.id]);
  const start = first(harness.place());
  harness.answerStart(start);
  harness.advance(2000);
  harness.report(start.incarnation, [runningEntry(start, '', 50)]);
  harness.place();
  t.is(harness.of('ask_advice').length, 1);
  harness.advance(1200);
  harness.place();
  t.is(String(harness.of('ask_advice').at(-1)?.step), `${jobId(1)}.0.1`);
  harness.grant(brandAs<StepId>(`${jobId(1)}.0.1`), [W2.id]);
  harness.end(start, 'done');
  t.is(first(harness.place()).incarnation, W2.incarnation);
});

test('calls for advice go to the least loaded member, and long ones to other members than short ones', (t) => {
  const short = { baseMillis: 10, perWorkerMillis: 0.1, validMillis: 2500 };
  const long = { baseMillis: 600, perWorkerMillis: 6, validMillis: 2500 };
  const plans = jobQueue({ id: brandAs('long'), advice: long });
  const harness = readyHarness({
    configuration: configurationOf([jobQueue({ advice: short }), plans]),
  });
  ['m1', 'm2', 'm3'].forEach((name) => harness.addMember(name));
  [1, 2, 3].forEach((number) => harness.submit(jobPlan(number)));
  [4, 5].forEach((number) => harness.submit(jobPlan(number, { queue: plans.id })));
  harness.commit();
  harness.place();
  const calls = harness
    .of('ask_advice')
    .map(({ member, step }) => `${member} ${step.slice(15, 16)}`);
  t.deepEqual(calls.sort(), ['m1 1', 'm1 2', 'm1 3', 'm2 4', 'm3 5']);
});

test('nothing is placed on a worker that is draining, unreachable, or restarted and has not reported since', (t) => {
  const harness = readyHarness({ workers: [W1] });
  harness.submit(jobPlan(1));
  harness.commit();
  harness.send({ kind: 'worker', registration: { ...W1, isDraining: true } });
  t.deepEqual(harness.place(), []);
  harness.send({ kind: 'worker', registration: W1 });
  harness.send({
    kind: 'unreachable',
    incarnation: W1.incarnation,
    lapsesAt: brandAs<Deadline>(harness.now() + 4000),
  });
  t.deepEqual(harness.place(), []);
  harness.replaceWorker({ ...W1, incarnation: workerIncarnationOf(W1.id, 2) });
  t.deepEqual(harness.place(), []);
  harness.report(workerIncarnationOf(W1.id, 2));
  t.is(harness.place().length, 1);
});

test('the tasks of an unreachable worker start elsewhere only once its lease has lapsed', (t) => {
  const harness = readyHarness();
  harness.submit(jobPlan(1));
  harness.commit();
  const start = first(harness.place());
  harness.answerStart(start);
  const lapsesAt = brandAs<Deadline>(harness.now() + 4000);
  harness.send({ kind: 'unreachable', incarnation: start.incarnation, lapsesAt });
  harness.advance(3999);
  t.deepEqual(harness.place(), []);
  harness.advance(1);
  const again = first(harness.place());
  t.not(again.incarnation, start.incarnation);
  t.is(Number(again.run), 2);
});

// Guards against a run that outlives its lease without a trace in the log.
test('a run that is still listed after its lease counted as lapsed is logged', (t) => {
  const harness = readyHarness();
  harness.submit(jobPlan(1));
  harness.commit();
  const start = first(harness.place());
  harness.answerStart(start);
  const lapsesAt = brandAs<Deadline>(harness.now() + 4000);
  harness.send({ kind: 'unreachable', incarnation: start.incarnation, lapsesAt });
  harness.advance(4000);
  harness.place();
  harness.advance(500);
  harness.report(start.incarnation, [runningEntry(start)]);
  const logged = harness.of('event').filter(({ name }) => name === 'run.outlived_lease');
  t.deepEqual(
    logged.map(({ fields }) => ({
      task: fields.task,
      run: fields.run,
      by: fields.lapsedForMillis,
    })),
    [{ task: start.task, run: start.run, by: 500 }],
  );
});

// Guards against runs on lost workers that wait for an earlier owner which is known to have ended.
test('runs of a worker that a new owner never heard start elsewhere once the earlier leases end sooner', (t) => {
  const harness = readyHarness({ workers: [W1, W2] });
  harness.submit(jobPlan(1));
  harness.commit();
  const start = first(harness.place());
  harness.answerStart(start);
  harness.commit();
  harness.takeOver();
  const other = start.incarnation === W1.incarnation ? W2 : W1;
  harness.report(other.incarnation);
  const lapsesAt = brandAs<Deadline>(harness.now() + EARLIER_LEASES_MILLIS);
  harness.send({ kind: 'unreachable', incarnation: start.incarnation, lapsesAt });
  const at = brandAs<Deadline>(harness.now() + 2000);
  harness.send({ kind: 'earlier_leases_end', at });
  harness.send({ kind: 'unreachable', incarnation: start.incarnation, lapsesAt });
  harness.advance(1999);
  t.deepEqual(harness.place(), []);
  harness.advance(1);
  t.is(first(harness.place()).incarnation, other.incarnation);
});

test('the tasks of a worker start elsewhere at once when another one answers at its address', (t) => {
  const harness = readyHarness();
  harness.submit(jobPlan(1));
  harness.commit();
  const start = first(harness.place());
  harness.send({ kind: 'other_life', incarnation: start.incarnation, successor: undefined });
  t.is(Number(first(harness.place()).run), 2);
});

test('a task is started again if a report leaves its run out, but not if the run was confirmed after the request', (t) => {
  const harness = readyHarness({ workers: [W1] });
  harness.submit(jobPlan(1));
  harness.commit();
  const start = first(harness.place());
  harness.answerStart(start);
  harness.report(W1.incarnation);
  t.deepEqual(harness.place(), []);
  harness.advance(10);
  harness.report(W1.incarnation);
  t.is(Number(first(harness.place()).run), 2);
});

test('an unknown run is stopped, and its worker gets no work until the run is gone', (t) => {
  const harness = readyHarness({ workers: [W1] });
  const unknownRun = {
    task: brandAs<StepTaskId>('00000000000000ff.0.0.0'),
    run: brandAs<RunNumber>(3),
  };
  harness.report(W1.incarnation, [runningEntry(unknownRun)]);
  t.is(harness.stops().length, 1);
  harness.submit(jobPlan(1));
  harness.commit();
  t.deepEqual(harness.place(), []);
  harness.report(W1.incarnation);
  t.is(harness.place().length, 1);
});

test('a new owner continues from the stored state and starts nothing twice', (t) => {
  const harness = readyHarness();
  harness.submit(jobPlan(1, { steps: [stepPlan({ count: 3 }), stepPlan({ after: [0] })] }));
  harness.commit();
  const [one, two, three] = harness.place();
  if (one === undefined || two === undefined || three === undefined) {
    t.fail('three tasks should have started');
    return;
  }
  harness.end(one, 'done');
  harness.commit();
  harness.takeOver();
  t.deepEqual(harness.place(), []);
  const onSameWorker = [two, three].filter(({ incarnation }) => incarnation === two.incarnation);
  // The third start never reached its worker: the first report to the new owner doesn't list it.
  harness.report(two.incarnation, [runningEntry(two)]);
  t.is(onSameWorker.length, 2);
  const again = harness.place();
  t.deepEqual(
    again.map(({ task, run }) => [task, Number(run)]),
    [[three.task, 2]],
  );
});

test('a new owner waits until the leases of a worker that it cannot reach have lapsed', (t) => {
  const harness = readyHarness();
  harness.submit(jobPlan(1));
  harness.commit();
  const start = first(harness.place());
  harness.takeOver();
  const other = start.incarnation === W1.incarnation ? W2 : W1;
  harness.report(other.incarnation);
  harness.send({
    kind: 'unreachable',
    incarnation: start.incarnation,
    lapsesAt: brandAs<Deadline>(harness.now() + EARLIER_LEASES_MILLIS),
  });
  harness.advance(EARLIER_LEASES_MILLIS - 1);
  t.deepEqual(harness.place(), []);
  harness.advance(1);
  t.is(first(harness.place()).incarnation, other.incarnation);
});

// Guards against workers that get no work from a new owner for the rest of its term: their entries had
// expired while the store was away, and came back after the owner had read the list.
test('a worker that is registered only after a takeover is connected to, and its run goes on', (t) => {
  const harness = readyHarness();
  harness.submit(jobPlan(1));
  harness.commit();
  const start = first(harness.place());
  harness.answerStart(start);
  harness.commit();
  const registration = [W1, W2].find(({ incarnation }) => incarnation === start.incarnation) ?? W1;
  const others = [W1, W2].filter((each) => each !== registration);
  harness.takeOver(undefined, others);
  const met = (): boolean =>
    harness.of('meet').some(({ registration: { id } }) => id === registration.id);
  t.false(met());
  harness.send({ kind: 'worker', registration });
  t.true(met());
  harness.report(start.incarnation, [runningEntry(start)]);
  harness.advance(EARLIER_LEASES_MILLIS + 1);
  harness.place();
  t.deepEqual(
    harness.of('event').filter(({ name }) => name === 'run.lost'),
    [],
  );
  harness.end(start, 'done');
  harness.commit();
  t.deepEqual(harness.stateOf(jobId(1)), { kind: 'state', state: 'completed' });
});

test('the next incarnation of a worker that was registered only after a takeover ends its runs', (t) => {
  const harness = readyHarness();
  harness.submit(jobPlan(1));
  harness.commit();
  const start = first(harness.place());
  harness.answerStart(start);
  harness.commit();
  const registration = [W1, W2].find(({ incarnation }) => incarnation === start.incarnation) ?? W1;
  harness.takeOver(undefined, []);
  harness.send({ kind: 'worker', registration });
  const incarnation = workerIncarnationOf(registration.id, 2);
  harness.replaceWorker({ ...registration, incarnation });
  harness.report(incarnation);
  const lost = harness.of('event').filter(({ name }) => name === 'run.lost');
  t.deepEqual(
    lost.map(({ fields }) => fields.reason),
    ['not_started'],
  );
});

test('a new owner still knows the state of an ended job, of which no payload is stored', (t) => {
  const harness = readyHarness();
  harness.submit(jobPlan(1));
  harness.commit();
  harness.end(first(harness.place()), 'done');
  harness.commit();
  t.deepEqual([...harness.store.keys()], [`progress/${jobId(1)}`]);
  harness.takeOver();
  t.deepEqual(harness.stateOf(jobId(1)), { kind: 'state', state: 'completed' });
  harness.advance(200_000);
  harness.place();
  t.deepEqual([...harness.store.keys()], []);
});

test('occurrences start when they are due, and the job completes with the last of them', (t) => {
  const harness = readyHarness();
  const firstAt = brandAs<WallInstant>(1_700_000_000_000 + 2000);
  const repetition = { count: 2, firstAt, intervalMillis: 500 };
  harness.submit(jobPlan(1, { repetition }));
  harness.commit();
  t.deepEqual(harness.place(), []);
  harness.advance(1000);
  const one = first(harness.place());
  t.is(String(one.task), `${jobId(1)}.0.0.0`);
  harness.advance(500);
  const two = first(harness.place());
  t.is(String(two.task), `${jobId(1)}.1.0.0`);
  harness.end(one, 'done');
  harness.commit();
  t.deepEqual(harness.stateOf(jobId(1)), { kind: 'state', state: 'running' });
  harness.end(two, 'done');
  harness.commit();
  t.deepEqual(harness.stateOf(jobId(1)), { kind: 'state', state: 'completed' });
});

test('a lasting task is started again however its run ends', (t) => {
  const harness = readyHarness();
  harness.submit(jobPlan(1, { steps: [stepPlan({ isLasting: true })] }));
  harness.commit();
  harness.end(first(harness.place()), 'done');
  harness.end(first(harness.place()), 'failed');
  harness.end(first(harness.place()), 'failed');
  t.is(Number(first(harness.place()).run), 4);
});

test('the required label and the limit of tasks per worker are respected', (t) => {
  const fast = workerRegistration('fast', { labels: ['b', 'r2'] });
  const harness = readyHarness({ workers: [W1, fast] });
  harness.submit(
    jobPlan(1, { steps: [stepPlan({ count: 4, neededLabel: 'b', maxPerWorker: 2 })] }),
  );
  harness.commit();
  t.deepEqual(
    harness.place().map(({ incarnation }) => incarnation),
    [fast.incarnation, fast.incarnation],
  );
});

test('a worker on which several jobs failed gets no work for a while', (t) => {
  const id = brandAs<WorkerId>('bad');
  const bad = workerRegistration('bad', { capacity: cores(1, 1000) });
  const good = workerRegistration('good', { capacity: cores(1, 1000) });
  const configuration = configurationOf([jobQueue({ attempts: 9 })]);
  const harness = readyHarness({ configuration, workers: [bad, good] });
  [1, 2, 3, 4, 5, 6].forEach((number) => harness.submit(jobPlan(number)));
  harness.commit();
  const started: WorkerId[] = [];
  for (let round = 0; round < 8; round += 1) {
    for (const start of harness.place()) {
      const isBad = start.incarnation === bad.incarnation;
      started.push(isBad ? bad.id : good.id);
      harness.end(start, isBad ? 'failed' : 'done');
    }
  }
  t.true(started.filter((worker) => worker === id).length <= 3);
});

test('a stalled run is stopped, and its task starts elsewhere from its saved progress', (t) => {
  const harness = readyHarness();
  harness.submit(jobPlan(1, { steps: [stepPlan({ savesProgress: true })] }));
  harness.commit();
  const start = first(harness.place());
  harness.answerStart(start);
  for (let waited = 0; waited < 3200; waited += 800) {
    harness.report(start.incarnation, [runningEntry(start, 'part', 40)]);
    harness.advance(800);
  }
  harness.place();
  t.deepEqual(harness.stops(), []);
  harness.advance(800);
  harness.report(start.incarnation, [runningEntry(start, 'part', 40)]);
  harness.place();
  t.is(harness.stops().length, 1);
  harness.end(start, 'stopped', 'part');
  const again = first(harness.place());
  t.not(again.incarnation, start.incarnation);
  t.is(String(again.saved), 'part');
});

test('a run whose worker sends no reports does not count as stalled', (t) => {
  const harness = readyHarness();
  harness.submit(jobPlan(1));
  harness.commit();
  const start = first(harness.place());
  harness.answerStart(start);
  harness.report(start.incarnation, [runningEntry(start, '', 40)]);
  harness.advance(5000);
  harness.place();
  t.deepEqual(harness.stops(), []);
});

test('a gang that waits for its members does not count as stalled', (t) => {
  const harness = readyHarness();
  harness.submit(jobPlan(1, { steps: [stepPlan({ count: 2, isGang: true })] }));
  harness.commit();
  const start = first(harness.place());
  harness.answerStart(start);
  harness.report(start.incarnation, [runningEntry(start, '', 0)]);
  harness.advance(5000);
  harness.place();
  t.deepEqual(harness.stops(), []);
});

test('a worker that answers still gets work for a while after its registration disappeared', (t) => {
  const harness = readyHarness({ workers: [W1] });
  harness.advance(10_000);
  harness.send({ kind: 'worker_gone', worker: W1.id });
  harness.submit(jobPlan(1));
  harness.submit(jobPlan(2));
  harness.commit();
  t.is(harness.place().length, 2);
  harness.advance(2000);
  harness.submit(jobPlan(3));
  harness.commit();
  t.deepEqual(harness.place(), []);
});

test('a step that prefers one rack is placed on one rack if possible', (t) => {
  const workers = ['a', 'b', 'c', 'd'].map((name, index) =>
    workerRegistration(name, { rack: brandAs<RackId>(`r${index % 2}`), capacity: cores(2, 1000) }),
  );
  const harness = readyHarness({ workers });
  harness.submit(
    jobPlan(1, { steps: [stepPlan({ count: 4, isGang: true, prefersOneRack: true })] }),
  );
  harness.commit();
  const racks = harness
    .place()
    .map(({ incarnation }) => workers.find((each) => each.incarnation === incarnation)?.rack);
  t.is(racks.length, 4);
  t.is(new Set(racks).size, 1);
});

test('workers are reserved for a waiting gang, and smaller work behind it goes elsewhere', (t) => {
  const small = jobQueue({ id: brandAs('small'), priority: 2 });
  const names = ['a', 'b', 'c', 'd'];
  const workers = names.map((name) => workerRegistration(name, { capacity: cores(4, 1000) }));
  const harness = readyHarness({ configuration: configurationOf([jobQueue(), small]), workers });
  const fill = { queue: small.id, steps: [stepPlan({ count: 6, demand: cores(2) })] };
  harness.submit(jobPlan(1, fill));
  harness.commit();
  const running = harness.place();
  t.is(running.length, 6);
  // Two whole workers are needed; one is free, the others run two small tasks each.
  harness.submit(jobPlan(2, { steps: [stepPlan({ count: 2, demand: cores(4), isGang: true })] }));
  harness.submit(jobPlan(3, fill));
  harness.commit();
  t.deepEqual(harness.place(), []);
  const incarnation = running[0]?.incarnation;
  running
    .filter((start) => start.incarnation === incarnation)
    .forEach((start) => {
      harness.end(start, 'done');
    });
  const next = harness.place();
  t.deepEqual(
    next.filter(({ task }) => task.startsWith(jobId(2))).map(({ run }) => Number(run)),
    [1, 1],
  );
});

// Guards against jobs that a new owner runs by the queue as it was when they were accepted (incident
// CONFIG).
test('a job that is taken over follows its queue in the configuration of the new owner', (t) => {
  const harness = readyHarness();
  harness.submit(jobPlan(1));
  harness.commit();
  const moved = { ...configurationOf([jobQueue({ service: 'caves' })]), version: 2 };
  harness.takeOver(moved);
  harness.reportFromAll();
  t.deepEqual(harness.place(), []);
});

test('a job whose queue is gone from the configuration of the new owner keeps its queue', (t) => {
  const harness = readyHarness();
  harness.submit(jobPlan(1));
  harness.commit();
  harness.takeOver({ ...configurationOf([]), version: 2 });
  harness.reportFromAll();
  t.is(harness.place().length, 1);
});

// Guards against a queue that is refused for good by an owner that doesn't have it yet (incident CONFIG).
test('a job for an unknown queue is refused for good only if it was not checked by a newer configuration', (t) => {
  const harness = readyHarness({ configuration: configurationOf([]) });
  const earlier = harness.submit(jobPlan(1));
  const later = harness.submit(jobPlan(2), 2);
  t.deepEqual(harness.answers.get(earlier), { kind: 'refused', reason: 'unknown_queue' });
  t.deepEqual(harness.answers.get(later), { kind: 'refused', reason: 'configuration_outdated' });
});

test('a step whose granted workers are all full asks about further workers only, not again about these', (t) => {
  const advice = { baseMillis: 10, perWorkerMillis: 0.1, validMillis: 2500 };
  const harness = readyHarness({
    workers: [W1],
    configuration: configurationOf([jobQueue({ advice })]),
  });
  harness.addMember('m1');
  harness.submit(jobPlan(1, { steps: [stepPlan({ demand: cores(4) })] }));
  harness.submit(jobPlan(2, { steps: [stepPlan({ demand: cores(4) })] }));
  harness.commit();
  harness.place();
  for (const number of [1, 2]) {
    harness.grant(brandAs<StepId>(`${jobId(number)}.0.0`), [W1.id]);
  }
  harness.place();
  const calls = harness.of('ask_advice').length;
  harness.place();
  t.is(harness.of('ask_advice').length, calls);
});

test('as many tasks fit as by taking the demand away again and again', (t) => {
  const free = { millicores: 9900, memoryMib: 4096, accelerators: 0, slots: 8 };
  const demand = { millicores: 3300, memoryMib: 1000, accelerators: 0, slots: 1 };
  t.is(countFitting(demand, free, 0), 3);
  t.is(countFitting(demand, free, 2), 2);
  t.is(countFitting({ ...demand, memoryMib: 5000 }, free, 0), 0);
  t.is(countFitting({ ...demand, accelerators: 1 }, free, 0), 0);
  t.is(countFitting(demand, { ...free, memoryMib: -1 }, 0), 0);
  t.is(countFitting(NO_RESOURCES, { ...free, memoryMib: -1 }, 0), 0);
  t.is(countFitting(NO_RESOURCES, free, 5), 5);
});

test('nothing is placed and no advice is asked for while starts cannot be stored', (t) => {
  const advice = { baseMillis: 10, perWorkerMillis: 0.1, validMillis: 2500 };
  const harness = readyHarness({ configuration: configurationOf([jobQueue({ advice })]) });
  harness.addMember('m1');
  harness.submit(jobPlan(1));
  harness.commit();
  harness.send({ kind: 'place', mayStart: false });
  t.deepEqual(harness.of('ask_advice'), []);
  harness.send({ kind: 'place', mayStart: true });
  t.is(harness.of('ask_advice').length, 1);
});
