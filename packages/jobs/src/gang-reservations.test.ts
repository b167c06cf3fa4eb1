import test, { type ExecutionContext } from 'ava';
import { brandAs, type QueueId } from '@bamboowell/types/ids';
import type { JobPlan, JobTeam, StepPlan } from '@bamboowell/types/job';
import { NO_RESOURCES } from '@bamboowell/types/resources';
import { emulatedFleet, FOR_EVER } from './emulated-fleet.fixture.js';
import {
  configurationOf,
  cores,
  jobId,
  jobPlan,
  jobQueue,
  stepPlan,
  workerRegistration,
} from './plans.fixture.js';

const GANGS = brandAs<QueueId>('gangs');
const SMALL = brandAs<QueueId>('small');
const KIND = 'b';
/** A job for which there is room twice over begins within this, milliseconds: the rule LOST. */
const MAX_WAIT_MILLIS = 3000;
/** Number of the first small job. */
const FIRST_SMALL = 1000;
const SMALL_MILLIS = 640;

function kindB(number: number) {
  return workerRegistration(`b${number}`, { capacity: cores(64, 100_000), labels: [KIND, 'r1'] });
}

/** Five workers of kind b and seven others, 64 cores each; gangs go before small jobs. */
function labelledFleet(team: Partial<JobTeam> = {}) {
  const others = Array.from({ length: 7 }, (_, index) =>
    workerRegistration(`a${index}`, { capacity: cores(64, 100_000) }),
  );
  const workers = [1, 2, 3, 4, 5].map(kindB).concat(others);
  const queues = [jobQueue({ id: GANGS, priority: 0 }), jobQueue({ id: SMALL, priority: 1 })];
  const configuration = configurationOf(queues, { weight: 1000, ...team });
  return emulatedFleet({ workers, configuration });
}

type Fleet = ReturnType<typeof labelledFleet>;

function gangJob(number: number, step: Partial<StepPlan>): JobPlan {
  const gang = stepPlan({
    isGang: true,
    demand: cores(30),
    estimateMillis: 10_000,
    neededLabel: KIND,
    ...step,
  });
  return jobPlan(number, { queue: GANGS, steps: [gang] });
}

/** Submits a small job for workers of kind b every 200 ms; returns their numbers. */
function runWithSmallJobs(fleet: Fleet, millis: number, step: Partial<StepPlan> = {}): number[] {
  const numbers: number[] = [];
  let ticks = 0;
  fleet.run(millis, () => {
    ticks += 1;
    if (ticks % 2 === 0) {
      const number = FIRST_SMALL + numbers.length;
      const small = { demand: cores(2), estimateMillis: SMALL_MILLIS, neededLabel: KIND, ...step };
      fleet.submit(jobPlan(number, { queue: SMALL, steps: [stepPlan(small)] }), SMALL_MILLIS);
      numbers.push(number);
    }
  });
  return numbers;
}

/** All small jobs begin in time, but for the last ones. */
function checkSmallJobs(t: ExecutionContext, fleet: Fleet, numbers: readonly number[]): void {
  const old = numbers.slice(0, -MAX_WAIT_MILLIS / 200);
  const waits = old.map((number) => fleet.waitOf(jobId(number)) ?? Number.POSITIVE_INFINITY);
  t.true(waits.length > 10 && Math.max(...waits) <= MAX_WAIT_MILLIS, `waits: ${waits.join(' ')}`);
}

const UNSTARTABLE: Readonly<Record<string, Partial<StepPlan>>> = {
  'is larger than all workers of its kind': { count: 11 },
  'may have one task a worker and has more tasks than there are workers': {
    count: 6,
    demand: cores(1),
    maxPerWorker: 1,
  },
};

for (const [name, step] of Object.entries(UNSTARTABLE)) {
  // Guards against idle workers that are kept for a gang that can never start (case 5 of the review).
  test(`a gang that ${name} keeps no room from the jobs behind it`, (t) => {
    const fleet = labelledFleet();
    fleet.submit(gangJob(1, step), 10_000);
    checkSmallJobs(t, fleet, runWithSmallJobs(fleet, 10_000));
    t.is(fleet.waitOf(jobId(1)), undefined);
    t.deepEqual(fleet.harness.stateOf(jobId(1)), { kind: 'state', state: 'pending' });
  });
}

test('a gang that needs more than its team may run keeps no room from the jobs behind it', (t) => {
  const fleet = labelledFleet({ limit: { ...NO_RESOURCES, millicores: 200_000 } });
  fleet.submit(gangJob(1, { count: 10 }), 10_000);
  checkSmallJobs(t, fleet, runWithSmallJobs(fleet, 10_000));
  t.is(fleet.harness.waitingReasons().gang_exceeds_team_limit, 1);
});

test('twenty gangs that can never start keep no room from the jobs behind them', (t) => {
  const fleet = labelledFleet();
  for (let number = 1; number <= 20; number += 1) {
    fleet.submit(gangJob(number, { count: 11 }), 10_000);
  }
  checkSmallJobs(t, fleet, runWithSmallJobs(fleet, 10_000));
});

// Guards against room that is kept although lasting tasks hold the rest of it for good.
test('a gang whose room is held by lasting tasks keeps no room from the jobs behind it', (t) => {
  const fleet = labelledFleet();
  const lasting = { count: 5, demand: cores(40), isLasting: true, maxPerWorker: 1 };
  fleet.submit(gangJob(1, { ...lasting, isGang: false }), FOR_EVER);
  fleet.run(1000);
  fleet.submit(gangJob(2, { count: 10 }), 10_000);
  checkSmallJobs(t, fleet, runWithSmallJobs(fleet, 10_000));
});

test('a gang that waits for a worker that has gone keeps no room from the jobs behind it', (t) => {
  const fleet = labelledFleet();
  fleet.harness.send({ kind: 'worker_gone', worker: kindB(5).id });
  fleet.run(2500);
  fleet.submit(gangJob(1, { count: 10 }), 10_000);
  checkSmallJobs(t, fleet, runWithSmallJobs(fleet, 10_000));
  fleet.harness.send({ kind: 'worker', registration: kindB(5) });
  fleet.run(3000);
  t.true((fleet.waitOf(jobId(1)) ?? 0) > 0, 'it starts once there are workers for it');
});

// Guards against workers that are idle for as long as the longest run takes that a gang waits for.
test('short jobs run in the room of a gang until the run ends that it waits for', (t) => {
  const fleet = labelledFleet();
  const long = { count: 1, demand: cores(40), isGang: false, estimateMillis: 40_000 };
  fleet.submit(gangJob(1, long), 40_000);
  fleet.run(1000);
  fleet.submit(gangJob(2, { count: 10 }), 10_000);
  checkSmallJobs(t, fleet, runWithSmallJobs(fleet, 38_000));
  t.is(fleet.waitOf(jobId(2)), undefined);
  fleet.run(3000);
  const wait = fleet.waitOf(jobId(2)) ?? Number.POSITIVE_INFINITY;
  t.true(wait <= 40_500, `the gang began after ${wait} ms`);
});

// Guards against estimates that are too long: a job that could run beside the gang waits for its start.
test('jobs with long estimates wait for a gang that starts late no longer than a window', (t) => {
  const fleet = labelledFleet();
  const long = { count: 1, demand: cores(40), isGang: false, estimateMillis: 40_000 };
  fleet.submit(gangJob(1, long), 40_000);
  fleet.run(1000);
  fleet.submit(gangJob(2, { count: 10 }), 10_000);
  checkSmallJobs(t, fleet, runWithSmallJobs(fleet, 20_000, { estimateMillis: 60_000 }));
});

// Guards against a gang that starves behind smaller jobs.
test('a gang that needs almost all workers of its kind starts amid a flow of small jobs', (t) => {
  const fleet = labelledFleet();
  const before = runWithSmallJobs(fleet, 2000);
  t.true(before.length > 0);
  fleet.submit(gangJob(1, { count: 10 }), 10_000);
  let number = FIRST_SMALL + before.length;
  fleet.run(3000, () => {
    for (let each = 0; each < 2; each += 1) {
      number += 1;
      const small = { demand: cores(2), estimateMillis: SMALL_MILLIS, neededLabel: KIND };
      fleet.submit(jobPlan(number, { queue: SMALL, steps: [stepPlan(small)] }), SMALL_MILLIS);
    }
  });
  const wait = fleet.waitOf(jobId(1)) ?? Number.POSITIVE_INFINITY;
  t.true(wait <= 2 * SMALL_MILLIS, `the gang began after ${wait} ms`);
});

for (const runMillis of [2000, 5000]) {
  // Guards against the same where the runs outlast a window, and little of the whole service is in use.
  test(`a gang that needs all workers of its kind starts amid a flow of jobs of ${runMillis} ms`, (t) => {
    const fleet = labelledFleet();
    let number = FIRST_SMALL;
    const submitFlow = (): void => {
      number += 1;
      const step = { demand: cores(4), estimateMillis: runMillis / 2, neededLabel: KIND };
      fleet.submit(jobPlan(number, { queue: SMALL, steps: [stepPlan(step)] }), runMillis);
    };
    fleet.run(2 * runMillis, submitFlow);
    fleet.submit(gangJob(1, { count: 10, demand: cores(32) }), 1000);
    fleet.run(5 * runMillis, submitFlow);
    const wait = fleet.waitOf(jobId(1)) ?? Number.POSITIVE_INFINITY;
    t.true(wait <= 4 * runMillis, `the gang began after ${wait} ms`);
  });
}

// Guards against the same in a service whose other jobs outlast a window: all its room is in use at first.
test('a gang that needs a third of a busy service starts amid a flow of long jobs', (t) => {
  const fleet = labelledFleet();
  let number = FIRST_SMALL;
  const submitLong = (): void => {
    number += 1;
    const long = stepPlan({ demand: cores(32), estimateMillis: 8000 });
    fleet.submit(jobPlan(number, { queue: SMALL, steps: [long] }), 8000);
  };
  fleet.run(8000, () => {
    submitLong();
  });
  fleet.submit(gangJob(1, { count: 8, demand: cores(32), neededLabel: undefined }), 1000);
  fleet.run(40_000, submitLong);
  const wait = fleet.waitOf(jobId(1)) ?? Number.POSITIVE_INFINITY;
  t.true(wait <= 30_000, `the gang began after ${wait} ms`);
});

// Guards against a lasting task that never starts since it will not be over when a gang needs its room.
test('lasting tasks wait for a gang no longer than other work', (t) => {
  const fleet = labelledFleet();
  const long = { count: 1, demand: cores(40), isGang: false, estimateMillis: 40_000 };
  fleet.submit(gangJob(1, long), 40_000);
  fleet.run(1000);
  fleet.submit(gangJob(2, { count: 10 }), 10_000);
  fleet.run(500);
  const lasting = stepPlan({ demand: cores(20), isLasting: true, neededLabel: KIND });
  fleet.submit(jobPlan(3, { queue: SMALL, steps: [lasting] }), FOR_EVER);
  fleet.run(MAX_WAIT_MILLIS);
  t.true((fleet.waitOf(jobId(3)) ?? Number.POSITIVE_INFINITY) <= MAX_WAIT_MILLIS);
});

// Guards against jobs that wait without a reason that operators can find.
test('a gang that can not start is counted by what keeps it, and logged once', (t) => {
  const fleet = labelledFleet();
  fleet.submit(gangJob(1, { count: 11 }), 10_000);
  fleet.submit(gangJob(2, { count: 2, neededLabel: 'unknown' }), 10_000);
  const events = () => fleet.harness.of('event').filter(({ name }) => name.startsWith('step.'));
  fleet.run(500);
  t.deepEqual(events(), [], 'workers may be added or restart');
  fleet.run(5000);
  t.deepEqual(fleet.harness.waitingReasons(), { gang_exceeds_fleet: 1, no_worker_fits: 1 });
  t.deepEqual(
    events().map(({ name, fields }) => [name, fields]),
    [
      [
        'step.blocked',
        {
          step: `${jobId(2)}.0.0`,
          reason: 'no_worker_fits',
          tasks: 2,
          fittingTasks: 0,
          label: 'unknown',
        },
      ],
      [
        'step.blocked',
        {
          step: `${jobId(1)}.0.0`,
          reason: 'gang_exceeds_fleet',
          tasks: 11,
          fittingTasks: 10,
          label: KIND,
        },
      ],
    ],
  );
  const added = workerRegistration('b6', { capacity: cores(64, 100_000), labels: [KIND, 'r1'] });
  fleet.harness.send({ kind: 'worker', registration: added });
  fleet.harness.report(added.incarnation);
  fleet.run(500);
  t.deepEqual(events().at(-1)?.fields, { step: `${jobId(1)}.0.0` });
  t.true(fleet.waitOf(jobId(1)) !== undefined);
});
