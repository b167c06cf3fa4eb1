import test from 'ava';
import { brandAs } from '@bamboowell/types/ids';
import type { StepPlan, WallInstant } from '@bamboowell/types/job';
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
import { restoreJobs } from './records.js';

/** What a record of the platform's store may take, bytes. */
const RECORD_BYTES = 262_144;
const WIDTH = 60;
const OCCURRENCES = 90;
const INTERVAL_MILLIS = 400;

const WORKER = workerRegistration('i-0123456789abcdef0', { capacity: cores(10_000, 10_000_000) });

function largeHarness() {
  const harness = schedulerHarness({
    workers: [WORKER],
    configuration: configurationOf([jobQueue()], { weight: 10_000 }),
  });
  harness.reportFromAll();
  return harness;
}

type Harness = ReturnType<typeof largeHarness>;

function bytesOf(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}

function largestRecord({ store }: Harness): number {
  return Math.max(...[...store].map(([key, value]) => key.length + bytesOf(value)));
}

function submitRepeating(harness: Harness, step: Partial<StepPlan>): void {
  harness.submit(
    jobPlan(1, {
      steps: [stepPlan(step)],
      repetition: {
        count: OCCURRENCES,
        firstAt: brandAs<WallInstant>(0),
        intervalMillis: INTERVAL_MILLIS,
      },
    }),
  );
  harness.commit();
}

/** Places all that waits; the worker confirms it. */
function startAll(harness: Harness): ReceivedStart[] {
  const started: ReceivedStart[] = [];
  for (let starts = harness.place(); starts.length > 0; starts = harness.place()) {
    starts.forEach((start) => {
      harness.answerStart(start);
    });
    started.push(...starts);
  }
  return started;
}

function endAll(harness: Harness, starts: readonly ReceivedStart[]): void {
  starts.forEach((start) => {
    harness.end(start, 'done');
  });
  harness.commit();
}

/** Keys of the stored records whose content the act changes. */
function recordsChangedBy({ store }: Harness, act: () => void): string[] {
  const before = new Map([...store].map(([key, value]) => [key, JSON.stringify(value)]));
  act();
  return [...store]
    .filter(([key, value]) => before.get(key) !== JSON.stringify(value))
    .map(([key]) => key);
}

// Guards against the record of one job that outgrows what the store takes, after which nothing is stored for
// any job (LOST).
test('however many tasks of a job have begun, each of its records stays small', (t) => {
  const harness = largeHarness();
  submitRepeating(harness, { count: WIDTH });
  const starts = startAll(harness);
  t.is(starts.length, WIDTH * OCCURRENCES);
  t.true(largestRecord(harness) < RECORD_BYTES / 2, `${largestRecord(harness)} bytes`);
  const [start] = starts;
  if (start !== undefined) {
    const changed = recordsChangedBy(harness, () => {
      endAll(harness, [start]);
    });
    t.is(changed.length, 1, 'an end rewrites the record of its task only');
  }
});

test('a new owner knows all tasks of a job with many records, and finishes it', (t) => {
  const harness = largeHarness();
  submitRepeating(harness, { count: WIDTH });
  const starts = startAll(harness);
  const half = starts.slice(0, starts.length / 2 + 7);
  endAll(harness, half);
  harness.takeOver();
  harness.report(
    WORKER.incarnation,
    starts
      .slice(half.length)
      .map(({ task, run }) => ({ task, run, saved: brandAs(''), percent: 1 })),
  );
  t.deepEqual(harness.place(), []);
  endAll(harness, starts.slice(half.length));
  t.deepEqual(harness.stateOf(jobId(1)), { kind: 'state', state: 'completed' });
  t.deepEqual([...harness.store.keys()], [`progress/${jobId(1)}`]);
});

// Guards against a job that repeats for months and keeps a record for each time (LOST).
test('an occurrence that is over has no records, and a new owner starts none of it again', (t) => {
  const harness = largeHarness();
  submitRepeating(harness, { count: WIDTH });
  endAll(harness, startAll(harness).slice(WIDTH));
  t.true(harness.store.size < 5, `${harness.store.size} records`);
  t.true(largestRecord(harness) < RECORD_BYTES / 8, `${largestRecord(harness)} bytes`);
  harness.takeOver();
  harness.reportFromAll();
  t.is(harness.place().length, WIDTH, 'what had begun and has vanished starts again');
});

// Guards against a plan that the store takes in no record (LOST).
test('a job of a thousand steps that wait for one another is stored in records that stay small', (t) => {
  const harness = largeHarness();
  const steps = Array.from({ length: 1000 }, (_, index) =>
    stepPlan({ after: Array.from({ length: index }, (_each, earlier) => earlier) }),
  );
  harness.submit(jobPlan(1, { steps }));
  harness.commit();
  t.true(largestRecord(harness) < RECORD_BYTES / 2, `${largestRecord(harness)} bytes`);
  t.deepEqual(restoreJobs(harness.store).jobs[0]?.plan?.steps, JSON.parse(JSON.stringify(steps)));
  harness.cancel(jobId(1));
  harness.commit();
  t.deepEqual([...harness.store.keys()], [`progress/${jobId(1)}`]);
});

test('a plan of which a record is missing was never accepted, and its records are deleted', (t) => {
  const harness = largeHarness();
  harness.submit(jobPlan(1, { steps: Array.from({ length: 100 }, () => stepPlan()) }));
  harness.commit();
  for (const missing of [`spec/${jobId(1)}`, `spec/${jobId(1)}/3`]) {
    const store = new Map([...harness.store].filter(([key]) => key !== missing));
    const { jobs, orphans } = restoreJobs(store);
    t.deepEqual(jobs, []);
    t.true(orphans.length > 0);
  }
  harness.store.delete(`spec/${jobId(1)}`);
  harness.takeOver();
  harness.commit();
  t.deepEqual([...harness.store.keys()], []);
});

test('records of an occurrence that is over, or of an ended job, are deleted by the next owner', (t) => {
  const harness = largeHarness();
  submitRepeating(harness, { count: WIDTH });
  const starts = startAll(harness);
  const [key, rows] = [...harness.store].find(([each]) => each.includes('/40/')) ?? [];
  endAll(harness, starts.slice(WIDTH));
  harness.store.set(key ?? '', rows);
  harness.takeOver();
  harness.commit();
  t.false(harness.store.has(key ?? ''));
});

test('saved progress that would not fit into a record is left to the lists of workers', (t) => {
  const harness = largeHarness();
  harness.submit(jobPlan(1, { steps: [stepPlan({ count: WIDTH, savesProgress: true })] }));
  harness.commit();
  startAll(harness).forEach((start) => {
    harness.end(start, 'stopped', 'x'.repeat(10_000));
  });
  harness.commit();
  t.true(largestRecord(harness) < RECORD_BYTES / 2, `${largestRecord(harness)} bytes`);
  t.is(harness.place()[0]?.saved.length, 10_000);
});

// Guards against rows that are lost when the record in which an earlier version put them is written anew
// (TWICE).
test('rows that an earlier version stored in one record are kept by two owners in turn', (t) => {
  const harness = largeHarness();
  submitRepeating(harness, { count: WIDTH });
  const starts = startAll(harness);
  endAll(harness, starts.slice(WIDTH));
  const done = starts.slice(WIDTH).length;
  const state = harness.store.get(`progress/${jobId(1)}`) as { tasks: unknown[]; over?: unknown };
  const rows = Array.from({ length: done }, (_, index) => [
    1 + Math.floor(index / WIDTH),
    0,
    index % WIDTH,
    1,
    1,
    0,
    '',
    [],
  ]);
  delete state.over;
  state.tasks.push(...rows);
  harness.takeOver();
  harness.reportFromAll();
  harness.commit();
  harness.takeOver();
  harness.reportFromAll();
  t.is(harness.place().length, WIDTH, 'only what was not done starts again');
});
