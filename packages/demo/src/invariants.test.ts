import test from 'ava';
import { brandAs, type AttemptId, type TeamId, type WorkId } from '@bamboowell/types/ids';
import type { Resources } from '@bamboowell/types/resources';
import { findViolations, type ReportedWork } from './invariants.fixture.js';
import type { Run, WorkerRecord } from './worker-control.fixture.js';

const WORK = brandAs<WorkId>('shard:team:work');
const SLOT: Resources = { millicores: 0, memoryMib: 0, accelerators: 0, slots: 1 };
const ROOMY: Resources = { ...SLOT, slots: 8 };

function run(attempt: string, from: number, to: number, epoch = 1): Run {
  return {
    attempt: brandAs<AttemptId>(`${WORK}/${attempt}`),
    epoch,
    demand: SLOT,
    startedWallMillis: from,
    endedWallMillis: to,
  };
}

function record(worker: string, runs: readonly Run[], capacity = ROOMY): WorkerRecord {
  return { worker, capacity, epoch: 1, runs };
}

function reportedWork(changes: Partial<ReportedWork> = {}): ReportedWork {
  return { mayHaveRun: new Set([WORK]), neverRan: new Set(), atMostOnce: new Set(), ...changes };
}

function limited(slots: number) {
  return new Map([[brandAs<TeamId>('team'), { ...SLOT, slots }]]);
}

test('runs within all limits violate no invariant', (t) => {
  const records = [
    record('w1', [run('0#1', 0, 5), run('0#2', 5, 9)]),
    record('w2', [run('1#1', 0, 9)]),
  ];
  t.deepEqual(findViolations(records, reportedWork(), limited(2)), []);
});

test('each kind of violation is found', (t) => {
  const two = [run('0#1', 0, 5), run('1#1', 4, 9)];
  t.deepEqual(findViolations([record('w1', two, SLOT)], reportedWork(), limited(2)), [
    'worker w1 was overcommitted',
  ]);
  t.deepEqual(findViolations([record('w1', two)], reportedWork(), limited(1)), [
    'team team ran more than its limit',
  ]);
  t.deepEqual(
    findViolations(
      [record('w1', [run('0#1', 0, 5)]), record('w2', [run('0#2', 4, 9)])],
      reportedWork(),
      limited(2),
    ),
    [`task ${WORK}/0 ran in two places at once`],
  );
  t.deepEqual(
    findViolations(
      [record('w1', [run('0#1', 0, 5, 2), run('1#1', 5, 9)])],
      reportedWork(),
      limited(1),
    ),
    [`worker w1 started ${WORK}/1#1 of an old epoch`],
  );
  const repeated = [record('w1', [run('0#1', 0, 5), run('0#2', 5, 9)])];
  t.deepEqual(findViolations(repeated, reportedWork({ atMostOnce: new Set([WORK]) }), limited(1)), [
    `task ${WORK}/0 is not idempotent and ran 2 times`,
  ]);
  const once = [record('w1', [run('0#1', 0, 5)])];
  const contradiction = [`work ${WORK} ran, contrary to what callers were told`];
  t.deepEqual(
    findViolations(once, reportedWork({ mayHaveRun: new Set() }), limited(1)),
    contradiction,
  );
  t.deepEqual(
    findViolations(once, reportedWork({ neverRan: new Set([WORK]) }), limited(1)),
    contradiction,
  );
});
