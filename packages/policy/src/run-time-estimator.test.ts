import test from 'ava';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { brandAs, type QueueId, type TeamId, type WorkerId } from '@bamboowell/types/ids';
import {
  RunTimeEstimator,
  groupedKindOf,
  type GroupedKind,
  type SizeClass,
  type TaskKind,
} from './run-time-estimator.js';
import { WorkerSpeeds } from './worker-speeds.js';

const SEED = 11;

function kindOf(changes: Partial<TaskKind> = {}): GroupedKind {
  const queue = brandAs<QueueId>('calls');
  const team = brandAs<TeamId>('aero');
  const size = brandAs<SizeClass>('3');
  return groupedKindOf({ queue, team, size, declaredMillis: 1000, ...changes });
}

function randomOf(seed = SEED): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/** Records runs of the kind that take a factor of 0.8 to 1.2 of this time. */
function recordRuns(
  estimator: RunTimeEstimator,
  { kind = kindOf(), runs = 100, millis = 1000, slowOf100 = 0, random = randomOf() },
): void {
  for (let run = 0; run < runs; run += 1) {
    const factor = run % 100 < slowOf100 ? 7 : 1;
    estimator.record(kind, millis * factor * (0.8 + 0.4 * random()));
  }
}

function isWithin(value: number, wanted: number, fraction: number): boolean {
  return Math.abs(value / wanted - 1) <= fraction;
}

test('without runs the declared time holds, and twice of it is late', (t) => {
  const estimate = new RunTimeEstimator().estimate(kindOf());
  t.true(isWithin(estimate.expectedMillis, 1000, 1e-9));
  t.true(isWithin(estimate.lateMillis, 2000, 1e-9));
  const { expectedMillis, lateMillis } = new RunTimeEstimator().estimate(
    kindOf({ declaredMillis: 0 }),
  );
  t.deepEqual([expectedMillis, lateMillis], [0, 0]);
});

// Guards against declared times that are wrong by nine tenths and are trusted for too long.
test('the estimate moves from the declared to the actual time within some ten runs', (t) => {
  for (const declaredMillis of [100, 500, 2000, 10_000]) {
    const estimator = new RunTimeEstimator();
    const kind = kindOf({ declaredMillis });
    recordRuns(estimator, { kind, runs: 20 });
    t.true(isWithin(estimator.estimate(kind).expectedMillis, 1000, 0.15), String(declaredMillis));
    recordRuns(estimator, { kind, runs: 180 });
    t.true(isWithin(estimator.estimate(kind).expectedMillis, 1000, 0.05), String(declaredMillis));
  }
});

// Guards against a few stuck or slow runs that make all others look slow.
test('three runs in a hundred that take seven times as long change the spread only', (t) => {
  const usual = new RunTimeEstimator();
  const tailed = new RunTimeEstimator();
  recordRuns(usual, { runs: 400 });
  recordRuns(tailed, { runs: 400, slowOf100: 3 });
  const { expectedMillis, lateMillis } = tailed.estimate(kindOf());
  t.true(isWithin(expectedMillis, usual.estimate(kindOf()).expectedMillis, 0.03));
  t.true(lateMillis > 1.15 * expectedMillis && lateMillis < 2 * expectedMillis);
});

// Guards against an order of jobs that is lost where their declared times were right.
test('a queue whose declared times are proportional to actual ones keeps its order', (t) => {
  const estimator = new RunTimeEstimator();
  const random = randomOf();
  for (let run = 0; run < 300; run += 1) {
    const declaredMillis = 200 + 4000 * random();
    const millis = 2 * declaredMillis;
    recordRuns(estimator, { kind: kindOf({ declaredMillis }), runs: 1, millis, random });
  }
  for (const declaredMillis of [300, 1000, 4000]) {
    const { expectedMillis } = estimator.estimate(kindOf({ declaredMillis }));
    t.true(isWithin(expectedMillis, 2 * declaredMillis, 0.1), String(declaredMillis));
  }
});

// Guards against declared times that are pure chance and still order the work.
test('where declared times tell nothing they are disregarded', (t) => {
  const estimator = new RunTimeEstimator();
  const random = randomOf();
  for (let run = 0; run < 300; run += 1) {
    const kind = kindOf({ declaredMillis: 1000 * (0.1 + 1.8 * random()) });
    recordRuns(estimator, { kind, runs: 1, random });
  }
  for (const declaredMillis of [200, 1000, 1800]) {
    const { expectedMillis } = estimator.estimate(kindOf({ declaredMillis }));
    t.true(isWithin(expectedMillis, 1000, 0.15), String(declaredMillis));
  }
});

test('a team whose jobs take longer than those of others is told apart', (t) => {
  const estimator = new RunTimeEstimator();
  const slow = kindOf({ team: brandAs<TeamId>('slow') });
  for (let round = 0; round < 10; round += 1) {
    recordRuns(estimator, { runs: 40 });
    recordRuns(estimator, { kind: slow, runs: 10, millis: 3000 });
  }
  t.true(isWithin(estimator.estimate(kindOf()).expectedMillis, 1000, 0.1));
  t.true(estimator.estimate(slow).expectedMillis > 2300);
});

// Guards against an estimate that stays where it was long after the load has changed.
test('older runs are forgotten', (t) => {
  const estimator = new RunTimeEstimator();
  recordRuns(estimator, { runs: 1000 });
  recordRuns(estimator, { runs: 300, millis: 4000 });
  t.true(isWithin(estimator.estimate(kindOf()).expectedMillis, 4000, 0.1));
});

// Guards against memory that grows with the number of teams and sizes that callers make up.
test('the number of kinds is bounded, and the newest stay known', (t) => {
  const estimator = new RunTimeEstimator();
  for (let number = 0; number < 5000; number += 1) {
    const size = brandAs<SizeClass>(String(number));
    recordRuns(estimator, { kind: kindOf({ size }), runs: 1 });
  }
  t.true(estimator.kinds <= 1024);
  t.true(estimator.estimate(kindOf({ size: brandAs<SizeClass>('4999') })).runs > 0);
});

// Guards against speeds that are read into chance, and against expected times that depend on where runs were.
test('the speeds of workers are learned from enough runs, relative to the usual one', (t) => {
  const speeds = new WorkerSpeeds();
  const factors = [0.8, 1, 1.25];
  const random = randomOf();
  const workers = factors.flatMap((factor) =>
    Array.from({ length: 5 }, (_, number) => ({
      factor,
      id: brandAs<WorkerId>(`${factor} ${number}`),
    })),
  );
  const record = (runs: number): void => {
    for (let run = 0; run < runs; run += 1) {
      for (const { id, factor } of workers) {
        speeds.record(id, (1300 * (0.7 + 0.6 * random())) / factor, 1000);
      }
    }
  };
  record(5);
  t.true(workers.every(({ id }) => speeds.speedOf(id) === 1));
  record(60);
  const isRight = workers.map(({ id, factor }) => isWithin(speeds.speedOf(id), factor, 0.15));
  t.true(isRight.every(Boolean));
  const classes = new Map([
    [0.8, -1],
    [1, 0],
    [1.25, 1],
  ]);
  t.true(workers.every(({ id, factor }) => speeds.classOf(id) === classes.get(factor)));
});
