import test, { type ExecutionContext } from 'ava';
import { DEFAULT_SCHEDULING } from '@bamboowell/types/scheduling';
import {
  begin,
  learningHarness,
  listAsRunning,
  train,
  type Harness,
} from './learned-run-times.fixture.js';
import {
  TEAM,
  configurationOf,
  cores,
  jobId,
  jobPlan,
  jobQueue,
  stepPlan,
  workerRegistration,
} from './plans.fixture.js';
import type { HarnessOptions, ReceivedStart } from './scheduler.fixture.js';

const USUAL_MILLIS = 1000;
const SLOW_MILLIS = 3000;

/** A task that has run for far longer than all before it, and the starts that follow. */
function overdueTask(
  t: ExecutionContext,
  options: HarnessOptions = {},
  step: Parameters<typeof stepPlan>[0] = {},
) {
  const harness = learningHarness(options);
  train(harness, { jobs: 60, millisOf: () => USUAL_MILLIS });
  const steps = [stepPlan({ allowsCopies: true, ...step })];
  const [original] = begin(harness, jobPlan(1, { steps }));
  harness.advance(SLOW_MILLIS);
  const copies = harness.place();
  return { harness, original: original ?? t.fail(), copies };
}

function confirmedCopy(t: ExecutionContext): {
  harness: Harness;
  original: ReceivedStart;
  copy: ReceivedStart;
} {
  const { harness, original, copies } = overdueTask(t);
  const [copy] = copies;
  t.is(copies.length, 1);
  harness.answerStart(copy ?? t.fail());
  return { harness, original, copy: copy ?? t.fail() };
}

// Guards against a job that is late because one of its tasks takes many times as long as the others.
test('the first run to end counts, and the other one is stopped', (t) => {
  for (const isCopyFirst of [true, false]) {
    const { harness, original, copy } = confirmedCopy(t);
    t.is(copy.task, original.task);
    t.not(copy.incarnation, original.incarnation);
    t.not(copy.run, original.run);
    const [first, second] = isCopyFirst ? [copy, original] : [original, copy];
    harness.end(first, 'done');
    harness.commit();
    t.like(harness.stateOf(jobId(1)), { state: 'completed' });
    t.like(harness.stops(), [{ task: second.task, run: second.run }]);
    harness.end(second, 'stopped');
    harness.advance(SLOW_MILLIS);
    t.deepEqual(harness.place(), []);
  }
});

// Guards against a quick call that is late before its run is overdue.
test('a run that will take far too long by its progress gets a copy early, and others do not', (t) => {
  for (const [percent, copies] of [
    [6, 1],
    [40, 0],
    [0, 0],
  ] as const) {
    const harness = learningHarness();
    train(harness, { jobs: 60, millisOf: () => USUAL_MILLIS });
    const steps = [stepPlan({ allowsCopies: true })];
    const [original] = begin(harness, jobPlan(1, { steps }));
    harness.advance(USUAL_MILLIS / 2);
    listAsRunning(harness, original ?? t.fail(), percent);
    t.is(harness.place().length, copies, `${percent} percent`);
  }
});

// Guards against tasks that run twice though their plan forbids it, and against copies that cost others room.
test('there is no copy unless the plan, the team, the attempts and the room allow it', (t) => {
  const limited = { limit: cores(1, 10_000) };
  const full = { demand: cores(3) };
  const cases: Readonly<Record<string, Parameters<typeof overdueTask>>> = {
    'not allowed by the plan': [t, {}, { allowsCopies: false }],
    'a gang': [t, {}, { isGang: true }],
    'the limit of the team': [t, { configuration: configurationOf(undefined, limited) }],
    'no attempt left': [t, { configuration: configurationOf([jobQueue({ attempts: 1 })]) }],
    'declared run times': [t, { scheduling: DEFAULT_SCHEDULING }],
    'no room elsewhere': [t, {}, { ...full, count: 2 }],
  };
  for (const [reason, options] of Object.entries(cases)) {
    t.deepEqual(overdueTask(...options).copies, [], reason);
  }
});

// Guards against copies of one check that pass a limit together, each of which would be within it (ROUTE, QUOTA).
test('copies that are due at once count each other', (t) => {
  const workers = ['w1', 'w2', 'w3'].map((name) => workerRegistration(name));
  const cases: Readonly<Record<string, Parameters<typeof overdueTask>>> = {
    'the limit of tasks per worker': [t, { workers }, { count: 2, maxPerWorker: 1 }],
    'the limit of the team': [
      t,
      { workers, configuration: configurationOf(undefined, { limit: cores(3, 10_000) }) },
      { count: 2 },
    ],
  };
  for (const [reason, options] of Object.entries(cases)) {
    t.is(overdueTask(...options).copies.length, 1, reason);
  }
});

test('room that waiting steps need is left to them', (t) => {
  for (const hasWaiting of [true, false]) {
    const harness = learningHarness();
    train(harness, { jobs: 60, millisOf: () => USUAL_MILLIS });
    begin(harness, jobPlan(1, { steps: [stepPlan({ allowsCopies: true })] }));
    const others = stepPlan({ count: 2, demand: cores(2), maxPerWorker: 1 });
    begin(harness, jobPlan(2, { steps: [others] }));
    if (hasWaiting) {
      harness.submit(jobPlan(3, { steps: [stepPlan({ count: 2, demand: cores(4) })] }));
    }
    harness.advance(SLOW_MILLIS);
    t.is(harness.place().length, hasWaiting ? 0 : 1);
  }
});

// Guards against a copy that its worker refuses because the tickets of its step have expired.
test('in a queue with advice a copy waits for a ticket', (t) => {
  const advice = { baseMillis: 10, perWorkerMillis: 1, validMillis: 2500 };
  const harness = learningHarness({ configuration: configurationOf([jobQueue({ advice })]) });
  harness.addMember('m1');
  const grantAll = () => {
    const call = harness.of('ask_advice').at(-1);
    harness.grant(call?.step ?? t.fail(), call?.workers ?? []);
    return harness.place();
  };
  const beginWithAdvice = (number: number) => {
    harness.submit(jobPlan(number, { steps: [stepPlan({ allowsCopies: true })] }));
    harness.place();
    const [start] = grantAll();
    harness.answerStart(start ?? t.fail());
    return start ?? t.fail();
  };
  for (let number = 100; number < 130; number += 1) {
    const start = beginWithAdvice(number);
    harness.advance(USUAL_MILLIS);
    harness.end(start, 'done');
  }
  const original = beginWithAdvice(1);
  harness.advance(SLOW_MILLIS);
  const calls = harness.of('ask_advice').length;
  t.deepEqual(harness.place(), []);
  t.is(harness.of('ask_advice').length, calls + 1);
  harness.advance(300);
  const [copy] = grantAll();
  t.is(copy?.task, original.task);
  t.not(copy?.ticket, undefined);
});

test('a task has at most one copy, and starts again only when both runs are over', (t) => {
  const { harness, original, copy } = confirmedCopy(t);
  harness.advance(SLOW_MILLIS);
  t.deepEqual(harness.place(), []);
  harness.end(copy, 'failed');
  harness.advance(SLOW_MILLIS);
  t.deepEqual(harness.place(), []);
  t.like(harness.stateOf(jobId(1)), { state: 'running' });
  harness.end(original, 'lapsed');
  t.like(harness.place(), [{ task: original.task }]);
});

// Guards against a new owner that takes one of two runs for lost, or starts a third one.
test('a new owner keeps both runs, and the first to end counts', (t) => {
  const { harness, original, copy } = confirmedCopy(t);
  harness.takeOver();
  for (const start of [original, copy]) {
    listAsRunning(harness, start);
  }
  t.deepEqual(harness.place(), []);
  harness.end(copy, 'done');
  harness.commit();
  t.like(harness.stateOf(jobId(1)), { state: 'completed' });
  t.like(harness.stops(), [{ task: original.task, run: original.run }]);
});

test('the limit of the team counts both runs', (t) => {
  const configuration = configurationOf(undefined, { limit: cores(2, 10_000) });
  const { harness, copies } = overdueTask(t, { configuration });
  t.is(copies.length, 1);
  harness.submit(jobPlan(9, { team: TEAM }));
  t.deepEqual(harness.place(), []);
});
