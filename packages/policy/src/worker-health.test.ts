import test from 'ava';
import { brandAs, type QueueId, type WorkerId, type WorkId } from '@bamboowell/types/ids';
import type { Instant } from '@bamboowell/types/time';
import { MIN_FAILED_WORKERS, JobHealth } from './job-health.js';
import { QUARANTINE_MILLIS, TRIAL_MILLIS, WorkerHealth } from './worker-health.js';

function at(millis: number): Instant {
  return brandAs<Instant>(millis);
}

function worker(number: number): WorkerId {
  return brandAs<WorkerId>(`w${number}`);
}

function queue(id: string): QueueId {
  return brandAs<QueueId>(id);
}

function healthOf(workers: number): WorkerHealth {
  const health = new WorkerHealth();
  health.setWorkerCount(workers);
  return health;
}

function work(id: string): WorkId {
  return brandAs<WorkId>(id);
}

/** Records the failure of one work item of each queue on the worker. */
function fail(health: WorkerHealth, number: number, queues: string[], now = 0): void {
  for (const id of queues) {
    health.recordFailure(worker(number), queue(id), work(`of-${id}`), at(now));
  }
}

/** Records failures of work items of one queue on the worker. */
function failWorks(health: WorkerHealth, number: number, id: string, works: string[]): void {
  for (const name of works) {
    health.recordFailure(worker(number), queue(id), work(name), at(0));
  }
}

function quarantinedAmong(health: WorkerHealth, workers: number): number {
  const numbers = Array.from({ length: workers }, (_, number) => number);
  return numbers.filter((number) => kindOf(health, number) === 'quarantined').length;
}

function kindOf(health: WorkerHealth, number: number): string {
  return health.stateOf(worker(number)).kind;
}

test('failures of different queues quarantine a worker, those of one queue do not', (t) => {
  const health = healthOf(30);
  fail(health, 1, ['a', 'a', 'a', 'a']);
  t.true(health.mayPlace(worker(1)));
  t.deepEqual(health.recordFailure(worker(1), queue('b'), work('of-b'), at(0)), {
    worker: worker(1),
    state: 'quarantined',
  });
  t.false(health.mayPlace(worker(1)));
});

test('a success in between clears the failures of a worker', (t) => {
  const health = healthOf(30);
  fail(health, 1, ['a']);
  health.recordSuccess(worker(1), queue('c'));
  fail(health, 1, ['b']);
  t.is(kindOf(health, 1), 'healthy');
});

test('after its quarantine a worker is on probation with one attempt at a time, and a success makes it healthy', (t) => {
  const health = healthOf(30);
  fail(health, 1, ['a', 'b']);
  t.is<number | undefined, number>(health.nextDeadline(), QUARANTINE_MILLIS);
  t.deepEqual(health.endQuarantines(at(QUARANTINE_MILLIS - 1)), []);
  t.deepEqual(health.endQuarantines(at(QUARANTINE_MILLIS)), [
    { worker: worker(1), state: 'probation' },
  ]);
  t.true(health.mayPlace(worker(1)));
  health.recordPlacement(worker(1), at(QUARANTINE_MILLIS));
  t.false(health.mayPlace(worker(1)));
  health.recordInconclusive(worker(1));
  t.true(health.mayPlace(worker(1)));
  t.is(health.recordSuccess(worker(1), queue('a'))?.state, 'healthy');
});

// Guards against a worker that stays closed because its attempt never ends, as that of a service (LOST).
test('a worker on probation gets another attempt when its last one has run for long', (t) => {
  const health = healthOf(30);
  fail(health, 1, ['a', 'b']);
  health.endQuarantines(at(QUARANTINE_MILLIS));
  health.recordPlacement(worker(1), at(QUARANTINE_MILLIS));
  const trialEndsAt = QUARANTINE_MILLIS + TRIAL_MILLIS;
  t.is<number | undefined, number>(health.nextDeadline(), trialEndsAt);
  t.deepEqual(health.endQuarantines(at(trialEndsAt - 1)), []);
  t.false(health.mayPlace(worker(1)));
  t.deepEqual(health.endQuarantines(at(trialEndsAt)), [{ worker: worker(1), state: 'probation' }]);
  t.true(health.mayPlace(worker(1)));
  t.is(health.nextDeadline(), undefined);
});

test('a failure on probation means a quarantine twice as long', (t) => {
  const health = healthOf(30);
  fail(health, 1, ['a', 'b']);
  health.endQuarantines(at(QUARANTINE_MILLIS));
  fail(health, 1, ['c'], QUARANTINE_MILLIS);
  t.deepEqual(health.endQuarantines(at(QUARANTINE_MILLIS * 3 - 1)), []);
  t.is(health.endQuarantines(at(QUARANTINE_MILLIS * 3)).length, 1);
});

test('bad queues do not quarantine the fleet', (t) => {
  const health = healthOf(30);
  for (let number = 0; number < 30; number += 1) {
    fail(health, number, ['bad']);
  }
  for (let number = 0; number < 30; number += 1) {
    fail(health, number, ['worse']);
  }
  t.is(quarantinedAmong(health, 30), 0);
});

test('at most a tenth of the shard is quarantined, whatever fails', (t) => {
  const health = healthOf(30);
  for (let number = 0; number < 30; number += 1) {
    fail(health, number, [`a${number}`, `b${number}`]);
  }
  t.is(quarantinedAmong(health, 30), 3);
  health.forget(worker(0));
  fail(health, 9, ['a9']);
  t.is(quarantinedAmong(health, 30), 3);
});

test('a worker on which everything fails is quarantined even if there are only two queues', (t) => {
  const health = healthOf(30);
  for (let turn = 0; turn < 5; turn += 1) {
    health.recordSuccess(worker(2), queue('a'));
    health.recordSuccess(worker(3), queue('b'));
    fail(health, 1, ['a', 'b']);
  }
  t.is(kindOf(health, 1), 'quarantined');
  t.is(quarantinedAmong(health, 30), 1);
});

test('with one queue, a worker is quarantined when many work items fail on it and others succeed elsewhere', (t) => {
  const health = healthOf(30);
  failWorks(health, 1, 'a', ['w1', 'w2', 'w3']);
  health.recordSuccess(worker(2), queue('a'));
  t.is(kindOf(health, 1), 'healthy');
  failWorks(health, 1, 'a', ['w4']);
  t.is(kindOf(health, 1), 'quarantined');
});

test('one failing work item, or a queue without successes since, does not quarantine a worker', (t) => {
  const health = healthOf(30);
  health.recordSuccess(worker(2), queue('a'));
  failWorks(health, 1, 'a', ['w1', 'w2', 'w3', 'w4', 'w5']);
  t.is(kindOf(health, 1), 'healthy');
  failWorks(health, 3, 'a', ['bad', 'bad', 'bad', 'bad', 'bad']);
  health.recordSuccess(worker(2), queue('a'));
  failWorks(health, 3, 'a', ['bad']);
  t.is(kindOf(health, 3), 'healthy');
});

test('work that fails on several trusted workers is set aside until it is cleared', (t) => {
  const health = new JobHealth();
  const job = work('job');
  const answers = [1, 1, 2, 3, 4].map((number) => health.recordFailure(job, worker(number), true));
  t.deepEqual(answers, [false, false, false, true, false]);
  t.true(health.isSetAside(job));
  health.clearFailures(job);
  t.false(health.isSetAside(job));
});

test('failures on an untrusted worker do not count against the work', (t) => {
  const workers = healthOf(30);
  fail(workers, 0, ['other']);
  t.false(workers.isTrusted(worker(0), queue('a')));
  t.true(workers.isTrusted(worker(0), queue('other')));
  const jobs = new JobHealth();
  const job = work('job');
  for (let number = 0; number < MIN_FAILED_WORKERS + 2; number += 1) {
    jobs.recordFailure(job, worker(number), false);
  }
  t.false(jobs.isSetAside(job));
});
