import test from 'ava';
import { workerIncarnationOf } from '@bamboowell/types/job';
import { deadlineAfter } from '@bamboowell/types/time';
import { brandAs, type WorkerId } from '@bamboowell/types/ids';
import { cores, jobId, jobPlan, stepPlan, workerRegistration } from './plans.fixture.js';
import { runningEntry, schedulerHarness, type ReceivedStart } from './scheduler.fixture.js';

const WORKERS = ['w1', 'w2', 'w3', 'w4', 'w5', 'w6'];

/** Six workers of four cores, which have sent their first report. */
function harnessOfSix() {
  const harness = schedulerHarness({ workers: WORKERS.map((name) => workerRegistration(name)) });
  harness.reportFromAll();
  return harness;
}

type Harness = ReturnType<typeof harnessOfSix>;

/** The same with a job of one task, and the first start of that. */
function harnessWithStart(plan = jobPlan(1)) {
  const harness = harnessOfSix();
  harness.submit(plan);
  harness.commit();
  return { harness, first: startOf(harness) };
}

/** The only start of a placement pass, which its worker confirms. */
function startOf(harness: Harness): ReceivedStart {
  const [start, ...others] = placeAndConfirm(harness);
  if (start === undefined || others.length > 0) {
    throw new Error(`${others.length + Number(start !== undefined)} starts instead of one`);
  }
  return start;
}

function workerOf({ incarnation }: Pick<ReceivedStart, 'incarnation'>): WorkerId {
  return brandAs<WorkerId>(incarnation.split('@')[0] ?? '');
}

/** Places what waits; all workers confirm what they start. */
function placeAndConfirm(harness: Harness): ReceivedStart[] {
  const starts = harness.place();
  starts.forEach((start) => {
    harness.answerStart(start);
  });
  return starts;
}

/** The worker's process ends, and a new one answers at its address. */
function crash(harness: Harness, start: ReceivedStart): void {
  harness.advance(2000);
  const id = workerOf(start);
  const incarnation = workerIncarnationOf(id, harness.now());
  harness.send({ kind: 'other_life', incarnation: start.incarnation, successor: incarnation });
  harness.send({ kind: 'worker', registration: workerRegistration(id, { incarnation }) });
  harness.report(incarnation);
  harness.commit();
}

function letLeaseLapse(harness: Harness, { incarnation }: ReceivedStart): void {
  const lapsesAt = deadlineAfter(harness.now(), 10);
  harness.send({ kind: 'unreachable', incarnation, lapsesAt });
  harness.advance(20);
  harness.send({ kind: 'place', mayStart: false });
}

/** The counts of crashes that were logged. */
function crashCounts(harness: Harness) {
  const crashed = harness.of('event').filter(({ name }) => name === 'task.crashed');
  return crashed.map(({ fields }) => fields.crashes);
}

// Guards against a task that crashes one worker after the other without end (incident BUDGET).
test('a task that crashes the workers that start it is given up after the second one, and its job fails', (t) => {
  const { harness, first } = harnessWithStart();
  crash(harness, first);
  crash(harness, startOf(harness));
  t.deepEqual(harness.place(), []);
  t.deepEqual(harness.stateOf(jobId(1)), { kind: 'state', state: 'failed' });
  const ended = harness.of('event').find(({ name }) => name === 'job.ended');
  t.is(ended?.fields.reason, `2 workers crashed under ${jobId(1)}.0.0.0`);
});

// Guards against tasks that are given up because they shared workers with one that crashes them (incident
// BUDGET).
test('tasks that shared a worker with one that crashes it complete, while that one is given up', (t) => {
  const harness = harnessOfSix();
  [1, 2, 3, 4].forEach((number) => {
    harness.submit(jobPlan(number));
  });
  harness.commit();
  for (let round = 0; round < 6; round += 1) {
    const starts = placeAndConfirm(harness);
    const deadly = starts.find(({ task }) => task.startsWith(jobId(1)));
    t.true(round > 0 || new Set(starts.map(workerOf)).size === 1, 'all share one worker at first');
    if (deadly !== undefined) {
      crash(harness, deadly);
    }
    starts
      .filter(({ incarnation }) => incarnation !== deadly?.incarnation)
      .forEach((start) => {
        harness.end(start, 'done');
      });
    harness.commit();
  }
  t.deepEqual(harness.stateOf(jobId(1)), { kind: 'state', state: 'failed' });
  t.is(harness.starts().filter(({ task }) => task.startsWith(jobId(1))).length, 2);
  for (const number of [2, 3, 4]) {
    t.deepEqual(harness.stateOf(jobId(number)), { kind: 'state', state: 'completed' });
  }
});

// Guards against work that a worker loses because it was started beside a task that may crash it (incident
// BUDGET).
test('nothing is started beside a task under which a worker has crashed, until it has run for a while', (t) => {
  const { harness, first } = harnessWithStart();
  crash(harness, first);
  const suspect = startOf(harness);
  [11, 12, 13, 14, 15, 16].forEach((number) => {
    harness.submit(jobPlan(number, { steps: [stepPlan({ demand: cores(3) })] }));
  });
  harness.commit();
  const beside = (starts: readonly ReceivedStart[]) =>
    starts.filter(({ incarnation }) => incarnation === suspect.incarnation);
  const starts = placeAndConfirm(harness);
  t.is(starts.length, 5);
  t.deepEqual(beside(starts), []);
  harness.advance(4000);
  t.is(beside(harness.place()).length, 1);
});

// Guards against crashes that are forgotten with the owner that saw them (incident BUDGET).
test('a new owner knows of the crashes under a task', (t) => {
  const { harness, first } = harnessWithStart();
  crash(harness, first);
  harness.takeOver();
  harness.reportFromAll();
  crash(harness, startOf(harness));
  t.deepEqual(harness.place(), []);
  t.deepEqual(harness.stateOf(jobId(1)), { kind: 'state', state: 'failed' });
});

// Guards against a task that crashes workers beside others because the owner was replaced before it learned
// of the crash (incident BUDGET).
test('a new owner isolates a task whose worker was born again while the work had no owner', (t) => {
  const { harness, first } = harnessWithStart();
  const lost = workerOf(first);
  harness.takeOver(
    undefined,
    WORKERS.map((name) =>
      workerRegistration(name, {
        incarnation: workerIncarnationOf(brandAs<WorkerId>(name), name === lost ? 2 : 1),
      }),
    ),
  );
  harness.reportFromAll();
  const second = startOf(harness);
  harness.submit(jobPlan(2, { steps: [stepPlan({ count: 21 })] }));
  harness.commit();
  const others = harness.place();
  t.is(others.length, 20);
  t.false(others.some(({ incarnation }) => incarnation === second.incarnation));
});

// Guards against a job that fails without proof that two workers crashed under its task (incident BUDGET).
test('a start that its worker did not confirm before it crashed does not count', (t) => {
  const harness = harnessOfSix();
  harness.submit(jobPlan(1));
  harness.commit();
  for (let round = 0; round < 5; round += 1) {
    const starts = harness.place();
    t.is(starts.length, 1, `round ${round}`);
    starts.forEach((start) => {
      crash(harness, start);
    });
  }
  t.is(harness.place().length, 1);
});

// Guards against jobs that fail because workers left or were cut off (incident BUDGET).
test('a worker that leaves, or whose lease lapses behind a cut, has not crashed', (t) => {
  const harness = harnessOfSix();
  harness.submit(jobPlan(1));
  harness.commit();
  for (let round = 0; round < 4; round += 1) {
    const start = startOf(harness);
    const { incarnation } = start;
    if (round % 2 === 0) {
      const registration = workerRegistration(workerOf(start), { incarnation, isDraining: true });
      harness.send({ kind: 'worker', registration });
      harness.send({ kind: 'other_life', incarnation, successor: undefined });
    } else {
      letLeaseLapse(harness, start);
      harness.report(incarnation);
    }
    harness.commit();
  }
  t.deepEqual(crashCounts(harness), []);
});

// Guards against services that are given up because their workers crashed now and then (incident BUDGET).
test('a task that lasts is started again after each crash of a worker on which it had run for long', (t) => {
  const harness = harnessOfSix();
  harness.submit(jobPlan(1, { steps: [stepPlan({ isLasting: true })] }));
  harness.commit();
  for (let round = 0; round < 5; round += 1) {
    const start = startOf(harness);
    harness.advance(20_000);
    harness.report(start.incarnation, [runningEntry(start)]);
    crash(harness, start);
  }
  t.is(harness.place().length, 1);
});

/** A worker is cut off from the members until its lease has lapsed, and restarted behind the cut. */
function cutAndRestart(harness: Harness, start: ReceivedStart, stillRegisters: boolean): void {
  const { incarnation } = start;
  const id = workerOf(start);
  const lapsesAt = deadlineAfter(harness.now(), 4000);
  harness.send({ kind: 'unreachable', incarnation, lapsesAt });
  for (let waited = 0; waited < 5000; waited += 1000) {
    if (stillRegisters && waited < 4000) {
      harness.send({ kind: 'worker', registration: workerRegistration(id, { incarnation }) });
    }
    harness.advance(1000);
    harness.send({ kind: 'place', mayStart: false });
  }
  crash(harness, start);
}

// Guards against a job that is given up because its workers were cut off, their leases lapsed, and they restarted
// (LOST): the lease had ended its runs before the processes ended.
test('a worker that comes back as another one after its lease has lapsed is no crash, and its task is a suspect', (t) => {
  const { harness, first } = harnessWithStart();
  cutAndRestart(harness, first, true);
  for (let round = 0; round < 8; round += 1) {
    const start = startOf(harness);
    t.is(startsBeside(harness, start).length, 0, 'it is isolated');
    cutAndRestart(harness, start, true);
  }
  t.deepEqual(crashCounts(harness), []);
  t.is(harness.place().length, 1);
});

/** Starts of another job beside the run, whose tasks take up the rest of a worker each. */
function startsBeside(harness: Harness, { incarnation }: ReceivedStart): ReceivedStart[] {
  const number = harness.starts().length + 100;
  harness.submit(jobPlan(number, { steps: [stepPlan({ count: 6, demand: cores(3) })] }));
  harness.commit();
  const starts = placeAndConfirm(harness);
  harness.cancel(jobId(number));
  starts.forEach((start) => {
    harness.end(start, 'stopped');
  });
  harness.commit();
  return starts.filter((start) => start.incarnation === incarnation);
}

// Guards against the same while the owner still holds the runs: it counts with the latest end of the lease.
test('a new process that answers when the lease of the one before may have ended proves no crash', (t) => {
  for (const [leaseLeft, counts] of [
    [2400, []],
    [2700, [1]],
  ] as const) {
    const { harness, first } = harnessWithStart();
    const lapsesAt = deadlineAfter(harness.now(), leaseLeft);
    harness.send({ kind: 'unreachable', incarnation: first.incarnation, lapsesAt });
    crash(harness, first);
    t.deepEqual(crashCounts(harness), counts, `${leaseLeft - 2000} ms before the lapse`);
  }
});

// Guards against a task that takes down worker after worker, each of which comes back only after its lease
// (incident BUDGET).
test('a task is given up after five workers that were silent towards all before their lease ended', (t) => {
  const { harness, first } = harnessWithStart();
  cutAndRestart(harness, first, false);
  for (let round = 1; round < 5; round += 1) {
    cutAndRestart(harness, startOf(harness), false);
  }
  t.deepEqual(harness.place(), []);
  t.deepEqual(harness.stateOf(jobId(1)), { kind: 'state', state: 'failed' });
});
