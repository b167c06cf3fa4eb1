import test from 'ava';
import { brandAs, type AttemptId, type Epoch, type Incarnation } from '@bamboowell/types/ids';
import type { WorkerInstant } from '@bamboowell/types/time';
import type { WorkerCommand, WorkerReport } from '@bamboowell/types/worker-messages';
import { UnansweredStarts } from './unanswered-starts.js';
import { attachedOf, startOf } from './remote-worker.fixture.js';

const ATTEMPT = brandAs<AttemptId>('w/0#1');

function startBy(instant: number): Extract<WorkerCommand, { kind: 'start' }> {
  const start = startOf(ATTEMPT) as Extract<WorkerCommand, { kind: 'start' }>;
  return { ...start, startBy: brandAs<WorkerInstant>(instant) };
}

function attachedAt(workerNow: number): WorkerReport {
  return {
    kind: 'attached',
    worker: 'worker-1',
    incarnation: brandAs<Incarnation>('incarnation-1'),
    ...attachedOf({ epoch: brandAs<Epoch>(1), workerNow }),
  } as WorkerReport;
}

test('a start stays unanswered until its latest deadline has passed on the worker', (t) => {
  const starts = new UnansweredStarts();
  starts.sent(startBy(20));
  starts.sent(startBy(10));
  starts.reported(attachedAt(20));
  t.true(starts.has(ATTEMPT));
  starts.reported(attachedAt(21));
  t.false(starts.has(ATTEMPT));
});

test('an answer removes a start', (t) => {
  const starts = new UnansweredStarts();
  starts.sent(startBy(20));
  starts.reported({ kind: 'started', worker: attachedAt(0).worker, attempt: ATTEMPT });
  t.false(starts.has(ATTEMPT));
});
