import test from 'ava';
import { BestFit } from '@bamboowell/policy/best-fit';
import { BURST_RETRIES } from '@bamboowell/policy/retry';
import type { AttemptId } from '@bamboowell/types/ids';
import { multiply } from '@bamboowell/types/resources';
import { NEVER } from '@bamboowell/types/time';
import {
  CAPACITY,
  commandsOf,
  owningHarness,
  OwnerHarness,
  refusalsOf,
  requestNamed,
  responsesOf,
  SLOT,
  SMALL,
  startedAttempts,
  TEAM,
  WORKER,
  workerNamed,
  workOf,
} from './owner.fixture.js';
import { MAX_ANSWER_CHARACTERS } from './outcomes.js';
import { DEFAULT_OWNER_SETTINGS, withMaxClockDrift } from './settings.js';

const { leaseMillis, renewMillis, startTimeoutMillis: startMillis } = DEFAULT_OWNER_SETTINGS;

function firstStart(outputs: Parameters<typeof startedAttempts>[0]): AttemptId {
  const [attempt] = startedAttempts(outputs);
  if (attempt === undefined) {
    throw new Error('no start was sent');
  }
  return attempt;
}

test('work is accepted, placed with a record, started, ended with a record, and forgotten', (t) => {
  const harness = owningHarness();
  const outputs = harness.submit(workOf());
  t.is(responsesOf(outputs)[0]?.kind, 'accepted');
  const attempt = firstStart(outputs);
  harness.report({ kind: 'started', worker: WORKER, attempt });
  const ended = harness.report({
    kind: 'ended',
    worker: WORKER,
    attempt,
    outcome: { kind: 'succeeded', answer: 'ok' },
  });
  t.is(commandsOf(ended, 'forget').length, 1);
  t.is(harness.owner.fold.get(workOf().id)?.tasks[0]?.state.kind, 'ended');
  t.deepEqual(harness.owner.runningOf(TEAM), multiply(SMALL, 0));
});

test('no start is sent before the placement record was read back', (t) => {
  const harness = owningHarness();
  harness.isLogUp = false;
  t.deepEqual(startedAttempts(harness.submit(workOf())), []);
  harness.isLogUp = true;
  t.is(startedAttempts(harness.readBack()).length, 1);
});

test('a repeat of a request gets the first answer', (t) => {
  const harness = owningHarness();
  harness.submit(workOf());
  const [response] = responsesOf(
    harness.submit(workOf({ id: workOf({ requestId: requestNamed('other') }).id })),
  );
  t.deepEqual(response, { kind: 'accepted', work: workOf().id, repeated: true });
});

test('a submission withdrawn before it was sent did not run; one that was sent may have run', (t) => {
  const harness = owningHarness();
  harness.isLogUp = false;
  harness.submit(workOf(), 1_000);
  const withdraw = harness.advance(1_000).find((output) => output.kind === 'withdraw');
  if (withdraw?.kind !== 'withdraw') {
    t.fail('nothing was withdrawn');
    return;
  }
  const sent = harness.step({ kind: 'withdrawn', sequence: withdraw.sequence, state: 'sent' });
  t.like(refusalsOf(sent)[0], {
    verdict: 'may_have_run',
    reason: 'outcome_unknown',
    work: workOf().id,
  });

  const other = owningHarness();
  other.isLogUp = false;
  other.submit(workOf(), 1_000);
  other.advance(1_000);
  const unsent = other.step({ kind: 'withdrawn', sequence: withdraw.sequence, state: 'withdrawn' });
  t.like(refusalsOf(unsent)[0], { verdict: 'not_run', reason: 'log_unavailable' });
});

test('an owner that is not fresh refuses work as not run', (t) => {
  const harness = owningHarness();
  harness.step({ kind: 'authority', authority: { freshUntil: 0 as never, mayRenew: false } });
  t.like(refusalsOf(harness.submit(workOf()))[0], { verdict: 'not_run', reason: 'not_fresh' });
});

test('work that exceeds every worker or the team limit is refused as impossible', (t) => {
  const harness = owningHarness(multiply(CAPACITY, 4));
  const tooLarge = workOf({ demand: { ...SMALL, millicores: CAPACITY.millicores + 1 } });
  t.like(refusalsOf(harness.submit(tooLarge))[0], {
    verdict: 'not_run',
    reason: 'impossible_size',
  });
  const tooMany = workOf({ shape: { kind: 'gang', tasks: 33 } });
  t.like(refusalsOf(harness.submit(tooMany))[0], { verdict: 'not_run', reason: 'impossible_size' });
});

test('a team runs no more than the shard holds of its limit', (t) => {
  const harness = owningHarness(multiply(SMALL, 2));
  const outputs = harness.submit(workOf({ shape: { kind: 'batch', tasks: 5 } }));
  t.is(startedAttempts(outputs).length, 2);
});

test('after a lost connection, a start that never arrived is sent again with the same attempt id', (t) => {
  const harness = owningHarness();
  const attempt = firstStart(harness.submit(workOf()));
  harness.report({ kind: 'detached', worker: WORKER });
  t.deepEqual(startedAttempts(harness.attach([])), [attempt]);
});

test('a start not reported by its deadline never ran, and the task gets a new attempt', (t) => {
  const harness = owningHarness();
  const attempt = firstStart(harness.submit(workOf()));
  harness.advance(startMillis + 1);
  t.is(commandsOf(harness.heartbeat(), 'attach').length, 1);
  const again = startedAttempts(harness.attach([]));
  t.is(again.length, 1);
  t.not(again[0], attempt);
});

test('an attempt on a worker that restarted may have run, so only idempotent work runs again', (t) => {
  const harness = owningHarness();
  harness.submit(workOf());
  harness.attach([], 'w1-2');
  t.like(harness.owner.fold.get(workOf().id)?.tasks[0]?.state, {
    kind: 'ended',
    outcome: { kind: 'lost' },
  });

  const other = owningHarness();
  other.submit(workOf({ idempotent: true }));
  t.is(startedAttempts(other.attach([], 'w1-2')).length, 1);
});

test('work stays placed on a detached worker until every lease has lapsed', (t) => {
  const harness = owningHarness();
  const work = workOf({ idempotent: true });
  harness.report({ kind: 'started', worker: WORKER, attempt: firstStart(harness.submit(work)) });
  harness.report({ kind: 'detached', worker: WORKER });
  harness.advance(leaseMillis);
  t.is(harness.owner.fold.get(work.id)?.tasks[0]?.state.kind, 'placed');
  harness.advance(withMaxClockDrift(leaseMillis) - leaseMillis);
  t.is(harness.owner.fold.get(work.id)?.tasks[0]?.state.kind, 'waiting');
});

test('a new owner counts attempts of an earlier one, and attaches the worker before it starts work', (t) => {
  const earlier = owningHarness();
  earlier.submit(workOf());
  const snapshot = earlier.owner.fold.snapshot();
  const harness = new OwnerHarness('e2/1/1');
  harness.step({ kind: 'restored', snapshot });
  harness.step({
    kind: 'authority',
    authority: { freshUntil: Number.MAX_SAFE_INTEGER as never, mayRenew: true },
  });
  harness.step({ kind: 'workers', vms: [harness.listedWorker()] });
  const outputs = harness.step({ kind: 'claim', epoch: 2 as never, votes: [] });
  t.is(harness.owner.ownedEpoch, 2 as never);
  t.is(commandsOf(outputs, 'attach').length, 1);
  t.deepEqual(startedAttempts(outputs), []);
  t.deepEqual(harness.owner.runningOf(TEAM), SMALL);
});

test('a quick call is answered once, on the same request, and leaves no record', (t) => {
  const harness = owningHarness();
  const call = workOf({ shape: { kind: 'quick_call' }, demand: SLOT });
  const outputs = harness.call(call);
  const attempt = firstStart(outputs);
  t.is(outputs.filter((output) => output.kind === 'append').length, 0);
  const answered = harness.report({
    kind: 'ended',
    worker: WORKER,
    attempt,
    outcome: { kind: 'succeeded', answer: 'held' },
  });
  t.like(responsesOf(answered)[0], { kind: 'called', answer: 'held', attempt });
  t.deepEqual(
    responsesOf(
      harness.report({
        kind: 'ended',
        worker: WORKER,
        attempt,
        outcome: { kind: 'succeeded', answer: 'late' },
      }),
    ),
    [],
  );
});

test('a lost quick call is retried only if it is idempotent', (t) => {
  const lose = (idempotent: boolean) => {
    const harness = owningHarness();
    harness.call(workOf({ shape: { kind: 'quick_call' }, demand: SLOT, idempotent }));
    return harness.attach([], 'w1-2');
  };
  t.like(refusalsOf(lose(false))[0], { verdict: 'may_have_run', reason: 'worker_lost' });
  t.is(startedAttempts(lose(true)).length, 1);
});

test('a lowered limit stops the attempts that exceed it', (t) => {
  const harness = owningHarness();
  const work = workOf({ shape: { kind: 'batch', tasks: 4 }, idempotent: true });
  harness.submit(work);
  const stops = commandsOf(harness.setHolding(CAPACITY, multiply(SMALL, 1)), 'stop');
  t.is(stops.length, 3);
});

test('a gang starts whole or not at all', (t) => {
  const harness = owningHarness(multiply(CAPACITY, 2));
  harness.submit(workOf({ shape: { kind: 'batch', tasks: 6 } }));
  const gang = workOf({ requestId: requestNamed('gang'), shape: { kind: 'gang', tasks: 3 } });
  t.deepEqual(startedAttempts(harness.submit(gang)), []);
  t.is(
    harness.owner.fold.get(gang.id)?.tasks.filter(({ state }) => state.kind === 'waiting').length,
    3,
  );
});

test('urgent work that fits nowhere preempts work that can continue later', (t) => {
  const harness = owningHarness(multiply(CAPACITY, 2));
  const preemptible = workOf({
    shape: { kind: 'batch', tasks: 8 },
    checkpointable: true,
    idempotent: true,
  });
  for (const attempt of startedAttempts(harness.submit(preemptible))) {
    harness.report({ kind: 'started', worker: WORKER, attempt });
  }
  const urgent = workOf({ requestId: requestNamed('urgent'), urgency: 'urgent' });
  const stops = commandsOf(harness.submit(urgent), 'stop');
  t.is(stops.length, 1);
  t.like(stops[0], { checkpoint: true });
});

// Guards against work that is accepted and can never start.
test('a gang that all listed workers together can not hold is refused as impossible', (t) => {
  const harness = owningHarness(multiply(CAPACITY, 4));
  const gang = workOf({ shape: { kind: 'gang', tasks: 9 } });
  t.like(refusalsOf(harness.submit(gang))[0], { verdict: 'not_run', reason: 'impossible_size' });
});

// Guards against running work that is stopped again and again for a gang that can't start.
test('an urgent gang that the workers that are there can not hold preempts nothing', (t) => {
  const harness = owningHarness(multiply(CAPACITY, 4));
  harness.step({ kind: 'workers', vms: [harness.listedWorker(), harness.listedWorker()] });
  const preemptible = workOf({ shape: { kind: 'batch', tasks: 8 }, idempotent: true });
  for (const attempt of startedAttempts(harness.submit(preemptible))) {
    harness.report({ kind: 'started', worker: WORKER, attempt });
  }
  const requestId = requestNamed('urgent');
  const urgent = workOf({ requestId, urgency: 'urgent', shape: { kind: 'gang', tasks: 9 } });
  const outputs = harness.submit(urgent);
  t.deepEqual(refusalsOf(outputs), []);
  t.deepEqual(commandsOf(outputs, 'stop'), []);
});

test('an attempt that uses more than its declared size is throttled, then stopped', (t) => {
  const harness = owningHarness();
  const attempt = firstStart(harness.submit(workOf({ idempotent: true })));
  harness.report({ kind: 'started', worker: WORKER, attempt });
  const overuse = () =>
    harness.report({
      kind: 'usage',
      worker: WORKER,
      workerNow: harness.workerNow(),
      attempts: [{ attempt, millicores: SMALL.millicores * 2, memoryMib: SMALL.memoryMib }],
      leaving: false,
    });
  t.is(commandsOf(overuse(), 'throttle').length, 1);
  t.is(commandsOf(overuse(), 'stop').length, 0);
  harness.advance(15_000);
  t.is(commandsOf(overuse(), 'stop').length, 1);
});

test('a draining owner refuses new work, answers pending calls, then releases the shard', (t) => {
  const harness = owningHarness();
  const attempt = firstStart(harness.call(workOf({ shape: { kind: 'quick_call' }, demand: SLOT })));
  t.is(harness.step({ kind: 'drain' }).filter((output) => output.kind === 'released').length, 0);
  t.like(refusalsOf(harness.submit(workOf()))[0], { verdict: 'not_run', reason: 'shutting_down' });
  const outputs = harness.report({
    kind: 'ended',
    worker: WORKER,
    attempt,
    outcome: { kind: 'succeeded', answer: 'held' },
  });
  t.is(responsesOf(outputs).length, 1);
  t.is(outputs.filter((output) => output.kind === 'released').length, 1);
  t.is(harness.owner.ownedEpoch, undefined);
});

test('a worker gets no work after it reported that it is leaving', (t) => {
  const harness = owningHarness();
  harness.report({
    kind: 'usage',
    worker: WORKER,
    workerNow: harness.workerNow(),
    attempts: [],
    leaving: true,
  });
  t.deepEqual(startedAttempts(harness.submit(workOf())), []);
});

test('a cancellation reports for each work item whether it had run', (t) => {
  const harness = owningHarness(multiply(SMALL, 1));
  const attempt = firstStart(harness.submit(workOf()));
  harness.report({ kind: 'started', worker: WORKER, attempt });
  const waiting = workOf({ requestId: requestNamed('waiting') });
  harness.submit(waiting);
  const works = [workOf().id, waiting.id, workOf({ requestId: requestNamed('absent') }).id];
  const cancel = { kind: 'cancel' as const, works, deadline: NEVER, token: 99 as never };
  const [response] = responsesOf(harness.step(cancel));
  const outcomes = response?.kind === 'cancelled' ? response.outcomes : [];
  t.deepEqual(
    outcomes.map(({ verdict, reason }) => [verdict, reason]),
    [
      ['ran', null],
      ['not_run', null],
      ['not_run', 'unknown_work'],
    ],
  );
});

test('a renewal that is due includes those due soon, but not later ones', (t) => {
  const harness = owningHarness();
  harness.advance(100);
  harness.attachAs('w2');
  harness.advance(400);
  harness.attachAs('w3');
  const outputs = harness.advance(renewMillis - 500);
  const renewed = outputs.flatMap((output) =>
    output.kind === 'command' && output.command.kind === 'renew' ? [output.worker] : [],
  );
  t.deepEqual(renewed, [WORKER, workerNamed('w2')]);
});

test('an outcome that the append queue rejected is appended again later', (t) => {
  const harness = owningHarness();
  const attempt = firstStart(harness.submit(workOf()));
  harness.isLogUp = false;
  harness.report({
    kind: 'ended',
    worker: WORKER,
    attempt,
    outcome: { kind: 'succeeded', answer: 'ok' },
  });
  const sequences = harness.unread.splice(0).map(({ sequence }) => sequence);
  harness.step({ kind: 'rejected', sequences });
  t.is(harness.unread.length, 0);
  harness.advance(1_000);
  t.is(harness.unread.length, 1);
  harness.isLogUp = true;
  t.is(commandsOf(harness.readBack(), 'forget').length, 1);
});

test('an answer that is too long to store is replaced by a failure, not truncated', (t) => {
  const harness = owningHarness();
  const attempt = firstStart(harness.submit(workOf()));
  const answer = 'x'.repeat(MAX_ANSWER_CHARACTERS + 1);
  harness.report({
    kind: 'ended',
    worker: WORKER,
    attempt,
    outcome: { kind: 'succeeded', answer },
  });
  const state = harness.owner.fold.get(workOf().id)?.tasks[0]?.state;
  t.like(state, { kind: 'ended', outcome: { kind: 'failed' } });
});

test('a team whose work fails repeatedly uses up its retry budget', (t) => {
  const harness = owningHarness(multiply(CAPACITY, 100));
  let retriedAtOnce = 0;
  for (let index = 0; index <= BURST_RETRIES; index += 1) {
    const work = workOf({ requestId: requestNamed(`r${index}`), idempotent: true });
    const attempt = firstStart(harness.submit(work));
    const failed = { kind: 'failed' as const, detail: 'no' };
    harness.report({ kind: 'ended', worker: WORKER, attempt, outcome: failed });
    const again = startedAttempts(harness.step({ kind: 'tick' }));
    retriedAtOnce += again.length;
    harness.step({ kind: 'cancel', works: [work.id], deadline: NEVER, token: 0 as never });
    for (const started of again) {
      harness.report({
        kind: 'ended',
        worker: WORKER,
        attempt: started,
        outcome: { kind: 'stopped' },
      });
    }
  }
  t.is(retriedAtOnce, BURST_RETRIES);
});

test('a worker with work of an earlier owner that is listed after the claim is attached, once', (t) => {
  const earlier = owningHarness();
  earlier.submit(workOf());
  const harness = new OwnerHarness('e2/1/1');
  harness.step({ kind: 'restored', snapshot: earlier.owner.fold.snapshot() });
  harness.step({ kind: 'authority', authority: { freshUntil: NEVER, mayRenew: true } });
  const claimed = harness.step({ kind: 'claim', epoch: 2 as never, votes: [] });
  t.is(commandsOf(claimed, 'attach').length, 0);
  const listed = harness.step({ kind: 'workers', vms: [harness.listedWorker()] });
  t.is(commandsOf(listed, 'attach').length, 1);
  const again = harness.step({ kind: 'workers', vms: [harness.listedWorker()] });
  t.is(commandsOf(again, 'attach').length, 0);
});

test('replicas of a service are spread over workers, even before their records are read back', (t) => {
  const harness = owningHarness(CAPACITY, new BestFit());
  harness.attachAs('w2');
  const outputs = harness.submit(workOf({ shape: { kind: 'service', replicas: 2 } }));
  const workers = outputs.flatMap((output) =>
    output.kind === 'command' && output.command.kind === 'start' ? [output.worker] : [],
  );
  t.is(new Set(workers).size, 2);
});
