import test from 'ava';
import { brandAs } from '@bamboowell/types/ids';
import type { Instant } from '@bamboowell/types/time';
import { LoadControl } from './load-control.js';
import type { Step } from './model.js';
import {
  configurationOf,
  cores,
  jobId,
  jobPlan,
  jobQueue,
  stepPlan,
  workerRegistration,
} from './plans.fixture.js';
import { schedulerHarness, type ReceivedStart } from './scheduler.fixture.js';

const at = (millis: number): Instant => brandAs<Instant>(millis);

const noSteps = (): Step[] => [];

/** Lets timers be late several times in a row. */
function saturated(openStarts: number) {
  const load = new LoadControl();
  [1000, 1400, 1800].forEach((millis) => {
    load.observe(400, openStarts, at(millis));
  });
  return load;
}

test('an owner on time admits everything, also what exceeds the promised rate', (t) => {
  const load = new LoadControl();
  load.observe(20, 500, at(1000));
  t.deepEqual(load.admit(true, noSteps, at(1000)), { kind: 'admitted' });
});

test('one late timer, as after a pause of the process, changes nothing', (t) => {
  const load = new LoadControl();
  load.observe(3000, 100, at(1000));
  t.false(load.isSaturated(at(1000)));
  t.true(load.startLimit >= 1000);
});

test('an owner that is behind starts less than it has under way, and more again once it is on time', (t) => {
  const load = saturated(100);
  t.true(load.startLimit < 100);
  const { startLimit } = load;
  load.observe(10, 20, at(1900));
  t.true(load.startLimit > startLimit);
});

test('an owner that is behind refuses at once what exceeds a promised rate, and says when to come back', (t) => {
  const load = saturated(100);
  t.deepEqual(load.admit(true, noSteps, at(1800)), { kind: 'refused', retryAfterSeconds: 1 });
  t.deepEqual(load.admit(false, noSteps, at(1800)), { kind: 'admitted' });
  t.deepEqual(load.admit(true, noSteps, at(4000)), { kind: 'admitted' });
});

// Guards against an owner of a full fleet that refuses what it could start as soon as there is room.
test('work that waits for room and not for the owner is no reason to refuse', (t) => {
  const advice = { baseMillis: 20, perWorkerMillis: 1, validMillis: 2500 };
  const configuration = configurationOf([jobQueue({ advice })], { weight: 1000 });
  const workers = [workerRegistration('w1', { capacity: cores(2, 1000) })];
  const harness = schedulerHarness({ workers, configuration });
  harness.reportFromAll();
  for (let index = 1; index <= 50; index += 1) {
    harness.submit(jobPlan(index));
  }
  harness.commit();
  harness.place();
  [400, 400, 400].forEach((millis) => {
    harness.send({ kind: 'lag', millis });
  });
  // Of the fifty, three are within what the fleet can use soon; the owner hasn't started any.
  for (let index = 1; index <= 3; index += 1) {
    harness.cancel(jobId(index));
  }
  const token = harness.submit(jobPlan(51));
  harness.commit();
  t.like(harness.answers.get(token), { kind: 'accepted' });
});

// Guards against an owner that refuses new jobs because of waiting ones that it can't start anyway.
test('work that can not start on the workers that are there is no reason to refuse', (t) => {
  const configuration = configurationOf([jobQueue()], { weight: 1000 });
  const harness = schedulerHarness({ workers: [workerRegistration('w1')], configuration });
  harness.reportFromAll();
  const hopeless = stepPlan({ count: 1000, neededLabel: 'unknown' });
  for (let index = 1; index <= 10; index += 1) {
    harness.submit(jobPlan(index, { steps: [hopeless] }));
  }
  harness.commit();
  harness.place();
  [400, 400, 400].forEach((millis) => {
    harness.send({ kind: 'lag', millis });
  });
  const token = harness.submit(jobPlan(11));
  harness.commit();
  t.like(harness.answers.get(token), { kind: 'accepted' });
});

/** Processor time of the simulated owner for each operation, milliseconds. */
const SUBMIT_MILLIS = 2;
const START_MILLIS = 16;
const CONFIRMATION_MILLIS = 1;
const END_MILLIS = 5;
const PASS_MILLIS = 2;
const RUN_MILLIS = 640;
const NETWORK_MILLIS = 5;
const TICK_INTERVAL_MILLIS = 100;
const PASS_INTERVAL_MILLIS = 10;

/** Something that the owner does at a time, or as soon after as it is free. */
interface Operation {
  readonly at: number;
  /** Returns the processor time that it takes, milliseconds. */
  readonly run: () => number;
}

/**
 * An owner on a machine that is too weak for its fleet: it does one thing after the other, and what is
 * due meanwhile waits. The fleet itself has room for all.
 */
function weakOwner() {
  const workers = Array.from({ length: 200 }, (_, index) =>
    workerRegistration(`w${index}`, { capacity: cores(1) }),
  );
  const configuration = configurationOf([jobQueue()], { weight: 100 });
  const harness = schedulerHarness({ workers, configuration });
  harness.reportFromAll();
  const acceptedAt = new Map<string, number>();
  const startedAt = new Map<string, number>();
  const operations: Operation[] = [];
  const state = { maxLagMillis: 0, refused: 0, submitted: 0 };

  const later = (millis: number, run: () => number): void => {
    operations.push({ at: harness.now() + millis, run });
  };
  const end = (start: ReceivedStart): number => {
    harness.end(start, 'done');
    return END_MILLIS;
  };
  const confirm = (start: ReceivedStart): number => {
    harness.answerStart(start);
    const job = start.task.slice(0, start.task.indexOf('.'));
    startedAt.set(job, startedAt.get(job) ?? harness.now());
    later(RUN_MILLIS, () => end(start));
    return CONFIRMATION_MILLIS;
  };
  const pass = (): number => {
    const starts = harness.place();
    starts.forEach((start, index) => {
      later((index + 1) * START_MILLIS + NETWORK_MILLIS, () => confirm(start));
    });
    later(PASS_INTERVAL_MILLIS, pass);
    return PASS_MILLIS + starts.length * START_MILLIS;
  };
  const tick = (dueAt: number): number => {
    const millis = harness.now() - dueAt;
    state.maxLagMillis = Math.max(state.maxLagMillis, millis);
    harness.send({ kind: 'lag', millis });
    const nextAt = harness.now() + TICK_INTERVAL_MILLIS;
    later(TICK_INTERVAL_MILLIS, () => tick(nextAt));
    return 0;
  };
  const submit = (): number => {
    state.submitted += 1;
    const { submitted } = state;
    const token = harness.submit(jobPlan(submitted, { steps: [stepPlan({ count: 3 })] }));
    harness.commit();
    if (harness.answers.get(token)?.kind === 'accepted') {
      acceptedAt.set(jobId(submitted), harness.now());
    } else {
      state.refused += 1;
    }
    return SUBMIT_MILLIS;
  };
  const run = (millis: number, jobsPerSecond: number): void => {
    const until = harness.now() + millis;
    for (let at = 0; at < millis; at += 1000 / jobsPerSecond) {
      later(at, submit);
    }
    later(0, pass);
    later(TICK_INTERVAL_MILLIS, () => tick(until - millis + TICK_INTERVAL_MILLIS));
    while (harness.now() < until) {
      operations.sort((left, right) => right.at - left.at);
      const next = operations.pop();
      if (next === undefined) {
        return;
      }
      harness.advance(Math.max(0, next.at - harness.now()));
      harness.advance(next.run());
    }
  };
  return { run, state, acceptedAt, startedAt, harness };
}

// Guards against an owner that takes in all that comes though it can start only a part: every start is
// late, tickets and leases expire, what ran is started again, and in the end nothing is served.
test('an owner that can start half of what comes takes that half and starts it in time', (t) => {
  const { run, state, acceptedAt, startedAt, harness } = weakOwner();
  run(20_000, 30);
  const settledAt = harness.now() - 3000;
  t.true(state.maxLagMillis < 2000, `timers were ${state.maxLagMillis} ms late`);
  for (const [job, accepted] of acceptedAt) {
    if (accepted < settledAt) {
      const waited = (startedAt.get(job) ?? Number.POSITIVE_INFINITY) - accepted;
      t.true(waited <= 3000, `job ${job}, accepted at ${accepted}, started after ${waited} ms`);
    }
  }
  // It has time for about 15 jobs a second: 2 ms and 3 x (16 + 1 + 5) ms each.
  t.true(acceptedAt.size >= 20 * 15 * 0.6, `${acceptedAt.size} jobs accepted`);
  t.true(state.refused > 0);
});

test('an owner that can start all that comes refuses nothing', (t) => {
  const { run, state } = weakOwner();
  run(20_000, 10);
  t.is(state.refused, 0);
});

// Guards against an owner that is saturated by refusals: callers that were refused come back, and each time all
// waiting steps were counted.
test('a saturated owner counts the waiting steps ten times a second at most, whatever comes in', (t) => {
  const load = saturated(100);
  let counts = 0;
  const stepsBefore = (): Step[] => {
    counts += 1;
    return [];
  };
  for (let millis = 1800; millis < 2000; millis += 1) {
    load.admit(true, stepsBefore, at(millis));
  }
  t.is(counts, 2);
});
