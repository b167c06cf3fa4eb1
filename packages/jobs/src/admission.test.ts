import test from 'ava';
import { DEFAULT_SCHEDULING, type SchedulingOptions } from '@bamboowell/types/scheduling';
import type { StepPlan } from '@bamboowell/types/job';
import { hardLoad, type SentJob } from './hard-load.fixture.js';
import { emulatedFleet } from './emulated-fleet.fixture.js';
import {
  configurationOf,
  cores,
  jobPlan,
  jobQueue,
  stepPlan,
  workerRegistration,
} from './plans.fixture.js';

const FORECAST = { ...DEFAULT_SCHEDULING, admission: 'forecast' } as const;
const LOAD_MILLIS = 20_000;
const HOT_AT_MILLIS = 3000;

function excessOf(jobs: readonly SentJob[]) {
  const excess = jobs.filter(({ isExcess }) => isExcess);
  return {
    accepted: excess.filter(({ isAccepted }) => isAccepted),
    refused: excess.filter(({ isAccepted }) => !isAccepted),
  };
}

const SHARED = { ...FORECAST, sharing: 'weighted' } as const;

function runLoad(
  factorOf: (team: number, atMillis: number) => number,
  scheduling: SchedulingOptions = FORECAST,
) {
  const load = hardLoad({ scheduling, factorOf });
  load.run(LOAD_MILLIS);
  load.drain(10_000);
  const promised = load.jobs.filter(({ isExcess }) => !isExcess);
  const waits = promised.map(({ id }) => load.fleet.waitOf(id) ?? Number.POSITIVE_INFINITY);
  return { load, promised, longestWait: Math.max(...waits), excess: excessOf(load.jobs) };
}

// Guards against excess that is accepted and then waits for many seconds, or for ever, behind promised work, and
// against promised work that is refused or held up by it.
for (const [name, hotTeams, factor] of [
  ['a hot team at five times its rate', 1, 5],
  ['two hot teams at six times their rates', 2, 6],
] as const) {
  test(`${name} beside quiet ones: only excess is refused, and what is accepted starts soon`, (t) => {
    const { load, promised, longestWait, excess } = runLoad((team, atMillis) =>
      team < hotTeams && atMillis >= HOT_AT_MILLIS ? factor : 1.05,
    );
    t.true(promised.every(({ isAccepted }) => isAccepted));
    t.true(longestWait <= 2000, `${longestWait}`);
    t.true(excess.refused.length > 0);
    t.true(load.lateOf(excess.accepted, 3000).length * 50 <= excess.accepted.length);
    t.deepEqual(load.lateOf(excess.accepted, Number.MAX_SAFE_INTEGER), []);
    t.true(excess.accepted.length > excess.refused.length / 2);
    const seconds = new Set(excess.refused.map(({ retryAfterSeconds }) => retryAfterSeconds));
    t.deepEqual([...seconds].sort(), [1, 2]);
  });
}

test('all queues burst: no promised work is refused or held up, and accepted excess starts soon', (t) => {
  const { load, promised, longestWait, excess } = runLoad((_, atMillis) =>
    atMillis >= HOT_AT_MILLIS && atMillis < 12_000 ? 2 : 0.95,
  );
  t.true(promised.every(({ isAccepted }) => isAccepted));
  t.true(longestWait <= 2000, `${longestWait}`);
  t.true(excess.refused.length > 0);
  t.true(load.lateOf(excess.accepted, 3000).length * 50 <= excess.accepted.length);
});

// Guards against a new owner that takes in a second backlog, because it has seen no arrivals and its buckets are full.
test('after a change of owner under load, accepted excess still starts soon and no promised work is refused', (t) => {
  const load = hardLoad({
    scheduling: FORECAST,
    factorOf: (team, atMillis) => (team < 2 && atMillis >= HOT_AT_MILLIS ? 6 : 1.05),
  });
  load.run(8000);
  load.fleet.harness.takeOver();
  load.addMembers();
  load.run(12_000);
  load.drain(10_000);
  const promised = load.jobs.filter(({ isExcess }) => !isExcess);
  t.true(promised.every(({ isAccepted }) => isAccepted));
  t.deepEqual(load.lateOf(promised, 2000), []);
  const { accepted } = excessOf(load.jobs);
  t.true(load.lateOf(accepted, 3000).length * 50 <= accepted.length);
});

// Guards against promised gangs that wait for the ends of excess with which the fleet was filled.
test('with lent room that comes back, promised work waits less than without', (t) => {
  const factorOf = (team: number, atMillis: number): number =>
    team < 2 && atMillis >= HOT_AT_MILLIS ? 8 : 1.05;
  const shared = runLoad(factorOf, SHARED);
  t.true(shared.promised.every(({ isAccepted }) => isAccepted));
  t.true(shared.longestWait < runLoad(factorOf).longestWait);
  const { accepted } = shared.excess;
  t.true(accepted.length > 0);
  t.true(shared.load.lateOf(accepted, 3000).length * 50 <= accepted.length);
});

/** Two workers of four cores; the team has one token a second and an objective of twice the estimate. */
function smallFleet(scheduling = FORECAST, jobsPerSecond = 1) {
  const queues = [jobQueue({ objectiveFactor: 2, targetLatencyMillis: 0 })];
  const configuration = configurationOf(queues, { weight: jobsPerSecond });
  const workers = ['w1', 'w2'].map((name) =>
    workerRegistration(name, { capacity: cores(4, 10_000) }),
  );
  const fleet = emulatedFleet({ scheduling, workers, configuration });
  fleet.run(100);
  let submitted = 0;
  const submit = (changes: Partial<StepPlan>, millis = 1000) => {
    submitted += 1;
    const steps = [stepPlan({ estimateMillis: millis, ...changes })];
    return fleet.submit(jobPlan(submitted, { steps }), millis);
  };
  const events = (name: string) =>
    fleet.harness
      .of('event')
      .filter((event) => event.name === name)
      .map(({ fields }) => fields);
  return { fleet, submit, events };
}

/** Uses up the team's tokens. */
function spendTokens({ submit }: ReturnType<typeof smallFleet>): void {
  submit({ demand: cores(0) }, 1);
  submit({ demand: cores(0) }, 1);
}

test('excess is taken while it has room now, however long it runs, and refused once it would wait', (t) => {
  const small = smallFleet();
  spendTokens(small);
  t.like(small.submit({ count: 8 }, 10_000), { kind: 'accepted' });
  small.fleet.run(200);
  t.like(small.submit({}, 1000), { kind: 'refused', reason: 'overloaded' });
  const [refusal] = small.events('job.refused');
  t.like(refusal, { reason: 'late', excess: true });
  t.true(Math.abs(Number(refusal?.forecastMillis) - 9900) <= 300);
});

test('promised work is not refused because of excess that fills the fleet', (t) => {
  const small = smallFleet();
  spendTokens(small);
  small.submit({ count: 8 }, 60_000);
  small.fleet.run(1100);
  t.like(small.submit({}, 1000), { kind: 'accepted' });
  t.deepEqual(small.events('job.taken').at(-1)?.excess, false);
});

test('promised work is refused only if it can not complete within three times its objective', (t) => {
  const small = smallFleet(FORECAST, 100);
  small.submit({ count: 8 }, 10_000);
  small.fleet.run(200);
  t.like(small.submit({}, 1000), { kind: 'refused' });
  t.like(small.submit({}, 2000), { kind: 'accepted' });
});

// Guards against a forecast that counts free cores on workers that are too full for a task of the gang.
test('a gang is taken only if all its tasks have room at the same time soon enough', (t) => {
  for (const [busyMillis, kind] of [
    [600, 'accepted'],
    [9000, 'refused'],
  ] as const) {
    const small = smallFleet();
    spendTokens(small);
    small.submit({ demand: cores(2) }, busyMillis);
    small.fleet.run(200);
    t.like(small.submit({ count: 2, demand: cores(3), isGang: true }, 1000), { kind });
  }
});

// Guards against a new owner that forgets what waits: it would take in as much excess once more.
test('a new owner counts the jobs that it loads, and its buckets are full', (t) => {
  const small = smallFleet(FORECAST, 2);
  for (let index = 0; index < 4; index += 1) {
    small.submit({ count: 4 }, 3000);
  }
  small.fleet.run(200);
  const { harness } = small.fleet;
  harness.takeOver();
  harness.reportFromAll();
  small.fleet.run(100);
  for (let index = 0; index < 4; index += 1) {
    t.like(small.submit({}, 3000), { kind: 'accepted' });
  }
  t.false(small.events('job.taken').some(({ excess }) => excess === true));
  t.like(small.submit({}, 1000), { kind: 'refused' });
});

test('nothing is forecast while the store takes no starts', (t) => {
  const small = smallFleet();
  spendTokens(small);
  small.submit({ count: 8 }, 10_000);
  small.fleet.run(200);
  small.fleet.harness.send({ kind: 'place', mayStart: false });
  t.like(small.submit({}, 1000), { kind: 'accepted' });
  t.deepEqual(small.events('job.refused'), []);
});

test('figures tell how far forecasts were off', (t) => {
  const small = smallFleet();
  spendTokens(small);
  small.submit({ count: 8 }, 1000);
  small.fleet.run(600);
  t.like(small.submit({ count: 4 }, 1000), { kind: 'accepted' });
  small.submit({ count: 8 }, 1000);
  small.fleet.run(5000);
  const [figures] = small.events('admission.figures');
  t.like(figures, { admittedPromised: 2, admittedExcess: 2, refusedExcess: 1, firstStarts: 4 });
  t.true(Math.abs(Number(figures?.meanErrorMillis)) <= 200);
});
