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

test('work is accepted, placed by record, started, ended by record and forgotten', (t) => {
  const bench = owningHarness();
  const outputs = bench.submit(workOf());
  t.is(responsesOf(outputs)[0]?.kind, 'accepted');
  const attempt = firstStart(outputs);
  bench.report({ kind: 'started', worker: WORKER, attempt });
  const ended = bench.report({
    kind: 'ended',
    worker: WORKER,
    attempt,
    outcome: { kind: 'succeeded', answer: 'ok' },
  });
  t.is(commandsOf(ended, 'forget').length, 1);
  t.is(bench.owner.fold.get(workOf().id)?.tasks[0]?.state.kind, 'ended');
  t.deepEqual(bench.owner.runningOf(TEAM), multiply(SMALL, 0));
});

test('no start is sent before the record of the placement was read back', (t) => {
  const bench = owningHarness();
  bench.isLogUp = false;
  t.deepEqual(startedAttempts(bench.submit(workOf())), []);
  bench.isLogUp = true;
  t.is(startedAttempts(bench.readBack()).length, 1);
});

test('a repeat of a request gets the first answer', (t) => {
  const bench = owningHarness();
  bench.submit(workOf());
  const [response] = responsesOf(
    bench.submit(workOf({ id: workOf({ requestId: requestNamed('other') }).id })),
  );
  t.deepEqual(response, { kind: 'accepted', work: workOf().id, repeated: true });
});

test('what was withdrawn unsent did not run; what was sent may have', (t) => {
  const bench = owningHarness();
  bench.isLogUp = false;
  bench.submit(workOf(), 1_000);
  const withdraw = bench.advance(1_000).find((output) => output.kind === 'withdraw');
  if (withdraw?.kind !== 'withdraw') {
    t.fail('nothing was withdrawn');
    return;
  }
  const sent = bench.step({ kind: 'withdrawn', sequence: withdraw.sequence, state: 'sent' });
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

test('an owner that is not fresh starts nothing and refuses truthfully', (t) => {
  const bench = owningHarness();
  bench.step({ kind: 'authority', authority: { freshUntil: 0 as never, mayRenew: false } });
  t.like(refusalsOf(bench.submit(workOf()))[0], { verdict: 'not_run', reason: 'not_fresh' });
});

test('work that no worker or limit could hold is refused as impossible', (t) => {
  const bench = owningHarness(multiply(CAPACITY, 4));
  const tooLarge = workOf({ demand: { ...SMALL, millicores: CAPACITY.millicores + 1 } });
  t.like(refusalsOf(bench.submit(tooLarge))[0], { verdict: 'not_run', reason: 'impossible_size' });
  const tooMany = workOf({ shape: { kind: 'gang', tasks: 33 } });
  t.like(refusalsOf(bench.submit(tooMany))[0], { verdict: 'not_run', reason: 'impossible_size' });
});

test('a team runs no more than its shard holds, and asks for more', (t) => {
  const bench = owningHarness(multiply(SMALL, 2));
  const outputs = bench.submit(workOf({ shape: { kind: 'batch', tasks: 5 } }));
  t.is(startedAttempts(outputs).length, 2);
});

test('after a lost connection a start that never arrived is sent again under the same id', (t) => {
  const bench = owningHarness();
  const attempt = firstStart(bench.submit(workOf()));
  bench.report({ kind: 'detached', worker: WORKER });
  t.deepEqual(startedAttempts(bench.attach([])), [attempt]);
});

test('a start whose time has passed unheard of never started, and the task goes on elsewhere', (t) => {
  const bench = owningHarness();
  const attempt = firstStart(bench.submit(workOf()));
  bench.advance(startMillis + 1);
  t.is(commandsOf(bench.heartbeat(), 'attach').length, 1);
  const again = startedAttempts(bench.attach([]));
  t.is(again.length, 1);
  t.not(again[0], attempt);
});

test('an attempt on a worker that has restarted may have run: only idempotent work runs again', (t) => {
  const bench = owningHarness();
  bench.submit(workOf());
  bench.attach([], 'w1-2');
  t.like(bench.owner.fold.get(workOf().id)?.tasks[0]?.state, {
    kind: 'ended',
    outcome: { kind: 'lost' },
  });

  const other = owningHarness();
  other.submit(workOf({ idempotent: true }));
  t.is(startedAttempts(other.attach([], 'w1-2')).length, 1);
});

test('a detached worker keeps its work until every lease has lapsed', (t) => {
  const bench = owningHarness();
  const work = workOf({ idempotent: true });
  bench.report({ kind: 'started', worker: WORKER, attempt: firstStart(bench.submit(work)) });
  bench.report({ kind: 'detached', worker: WORKER });
  bench.advance(leaseMillis);
  t.is(bench.owner.fold.get(work.id)?.tasks[0]?.state.kind, 'placed');
  bench.advance(withMaxClockDrift(leaseMillis) - leaseMillis);
  t.is(bench.owner.fold.get(work.id)?.tasks[0]?.state.kind, 'waiting');
});

test('a new owner counts what an earlier one placed, and asks the worker before anything else', (t) => {
  const earlier = owningHarness();
  earlier.submit(workOf());
  const snapshot = earlier.owner.fold.snapshot();
  const bench = new OwnerHarness('e2/1/1');
  bench.step({ kind: 'restored', snapshot });
  bench.step({
    kind: 'authority',
    authority: { freshUntil: Number.MAX_SAFE_INTEGER as never, mayRenew: true },
  });
  bench.step({ kind: 'workers', vms: [bench.listedWorker()] });
  const outputs = bench.step({ kind: 'claim', epoch: 2 as never, votes: [] });
  t.is(bench.owner.ownedEpoch, 2 as never);
  t.is(commandsOf(outputs, 'attach').length, 1);
  t.deepEqual(startedAttempts(outputs), []);
  t.deepEqual(bench.owner.runningOf(TEAM), SMALL);
});

test('a quick call is answered on the same call and leaves no record', (t) => {
  const bench = owningHarness();
  const call = workOf({ shape: { kind: 'quick_call' }, demand: SLOT });
  const outputs = bench.call(call);
  const attempt = firstStart(outputs);
  t.is(outputs.filter((output) => output.kind === 'append').length, 0);
  const answered = bench.report({
    kind: 'ended',
    worker: WORKER,
    attempt,
    outcome: { kind: 'succeeded', answer: 'held' },
  });
  t.like(responsesOf(answered)[0], { kind: 'called', answer: 'held', attempt });
  t.deepEqual(
    responsesOf(
      bench.report({
        kind: 'ended',
        worker: WORKER,
        attempt,
        outcome: { kind: 'succeeded', answer: 'late' },
      }),
    ),
    [],
  );
});

test('a lost quick call is tried again only if it is idempotent', (t) => {
  const lose = (idempotent: boolean) => {
    const bench = owningHarness();
    bench.call(workOf({ shape: { kind: 'quick_call' }, demand: SLOT, idempotent }));
    return bench.attach([], 'w1-2');
  };
  t.like(refusalsOf(lose(false))[0], { verdict: 'may_have_run', reason: 'worker_lost' });
  t.is(startedAttempts(lose(true)).length, 1);
});

test('a lowered limit stops what passes it, and what can run again waits', (t) => {
  const bench = owningHarness();
  const work = workOf({ shape: { kind: 'batch', tasks: 4 }, idempotent: true });
  bench.submit(work);
  const stops = commandsOf(bench.setHolding(CAPACITY, multiply(SMALL, 1)), 'stop');
  t.is(stops.length, 3);
});

test('a gang starts whole or not at all', (t) => {
  const bench = owningHarness(multiply(CAPACITY, 2));
  bench.submit(workOf({ shape: { kind: 'batch', tasks: 6 } }));
  const gang = workOf({ requestId: requestNamed('gang'), shape: { kind: 'gang', tasks: 3 } });
  t.deepEqual(startedAttempts(bench.submit(gang)), []);
  t.is(
    bench.owner.fold.get(gang.id)?.tasks.filter(({ state }) => state.kind === 'waiting').length,
    3,
  );
});

test('urgent work that fits nowhere makes work give way that can go on later', (t) => {
  const bench = owningHarness(multiply(CAPACITY, 2));
  const patient = workOf({
    shape: { kind: 'batch', tasks: 8 },
    checkpointable: true,
    idempotent: true,
  });
  for (const attempt of startedAttempts(bench.submit(patient))) {
    bench.report({ kind: 'started', worker: WORKER, attempt });
  }
  const urgent = workOf({ requestId: requestNamed('urgent'), urgency: 'urgent' });
  const stops = commandsOf(bench.submit(urgent), 'stop');
  t.is(stops.length, 1);
  t.like(stops[0], { checkpoint: true });
});

test('usage above the declared size is throttled, then stopped', (t) => {
  const bench = owningHarness();
  const attempt = firstStart(bench.submit(workOf({ idempotent: true })));
  bench.report({ kind: 'started', worker: WORKER, attempt });
  const overuse = () =>
    bench.report({
      kind: 'usage',
      worker: WORKER,
      workerNow: bench.workerNow(),
      attempts: [{ attempt, millicores: SMALL.millicores * 2, memoryMib: SMALL.memoryMib }],
      leaving: false,
    });
  t.is(commandsOf(overuse(), 'throttle').length, 1);
  t.is(commandsOf(overuse(), 'stop').length, 0);
  bench.advance(15_000);
  t.is(commandsOf(overuse(), 'stop').length, 1);
});

test('a draining owner refuses new work, answers calls in hand, then releases', (t) => {
  const bench = owningHarness();
  const attempt = firstStart(bench.call(workOf({ shape: { kind: 'quick_call' }, demand: SLOT })));
  t.is(bench.step({ kind: 'drain' }).filter((output) => output.kind === 'released').length, 0);
  t.like(refusalsOf(bench.submit(workOf()))[0], { verdict: 'not_run', reason: 'shutting_down' });
  const outputs = bench.report({
    kind: 'ended',
    worker: WORKER,
    attempt,
    outcome: { kind: 'succeeded', answer: 'held' },
  });
  t.is(responsesOf(outputs).length, 1);
  t.is(outputs.filter((output) => output.kind === 'released').length, 1);
  t.is(bench.owner.ownedEpoch, undefined);
});

test('a worker gets no work after it said that it leaves', (t) => {
  const bench = owningHarness();
  bench.report({
    kind: 'usage',
    worker: WORKER,
    workerNow: bench.workerNow(),
    attempts: [],
    leaving: true,
  });
  t.deepEqual(startedAttempts(bench.submit(workOf())), []);
});

test('a cancellation tells for each piece of work whether it had run', (t) => {
  const bench = owningHarness(multiply(SMALL, 1));
  const attempt = firstStart(bench.submit(workOf()));
  bench.report({ kind: 'started', worker: WORKER, attempt });
  const waiting = workOf({ requestId: requestNamed('waiting') });
  bench.submit(waiting);
  const works = [workOf().id, waiting.id, workOf({ requestId: requestNamed('absent') }).id];
  const cancel = { kind: 'cancel' as const, works, deadline: NEVER, token: 99 as never };
  const [response] = responsesOf(bench.step(cancel));
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

test('leases that are due soon are renewed with the one that is due, later ones are not', (t) => {
  const bench = owningHarness();
  bench.advance(100);
  bench.attachAs('w2');
  bench.advance(400);
  bench.attachAs('w3');
  const outputs = bench.advance(renewMillis - 500);
  const renewed = outputs.flatMap((output) =>
    output.kind === 'command' && output.command.kind === 'renew' ? [output.worker] : [],
  );
  t.deepEqual(renewed, [WORKER, workerNamed('w2')]);
});

test('an end that had no room on the way to the log is appended again, later', (t) => {
  const bench = owningHarness();
  const attempt = firstStart(bench.submit(workOf()));
  bench.isLogUp = false;
  bench.report({
    kind: 'ended',
    worker: WORKER,
    attempt,
    outcome: { kind: 'succeeded', answer: 'ok' },
  });
  const sequences = bench.unread.splice(0).map(({ sequence }) => sequence);
  bench.step({ kind: 'rejected', sequences });
  t.is(bench.unread.length, 0);
  bench.advance(1_000);
  t.is(bench.unread.length, 1);
  bench.isLogUp = true;
  t.is(commandsOf(bench.readBack(), 'forget').length, 1);
});

test('an answer that is too long to keep is not kept in part', (t) => {
  const bench = owningHarness();
  const attempt = firstStart(bench.submit(workOf()));
  const answer = 'x'.repeat(MAX_ANSWER_CHARACTERS + 1);
  bench.report({ kind: 'ended', worker: WORKER, attempt, outcome: { kind: 'succeeded', answer } });
  const state = bench.owner.fold.get(workOf().id)?.tasks[0]?.state;
  t.like(state, { kind: 'ended', outcome: { kind: 'failed' } });
});

test('a team whose work fails again and again uses up its retry budget', (t) => {
  const bench = owningHarness(multiply(CAPACITY, 100));
  let retriedAtOnce = 0;
  for (let index = 0; index <= BURST_RETRIES; index += 1) {
    const work = workOf({ requestId: requestNamed(`r${index}`), idempotent: true });
    const attempt = firstStart(bench.submit(work));
    const failed = { kind: 'failed' as const, detail: 'no' };
    bench.report({ kind: 'ended', worker: WORKER, attempt, outcome: failed });
    const again = startedAttempts(bench.step({ kind: 'tick' }));
    retriedAtOnce += again.length;
    bench.step({ kind: 'cancel', works: [work.id], deadline: NEVER, token: 0 as never });
    for (const started of again) {
      bench.report({
        kind: 'ended',
        worker: WORKER,
        attempt: started,
        outcome: { kind: 'stopped' },
      });
    }
  }
  t.is(retriedAtOnce, BURST_RETRIES);
});

test('a worker with work of an earlier owner is attached when it is listed after the claim', (t) => {
  const earlier = owningHarness();
  earlier.submit(workOf());
  const bench = new OwnerHarness('e2/1/1');
  bench.step({ kind: 'restored', snapshot: earlier.owner.fold.snapshot() });
  bench.step({ kind: 'authority', authority: { freshUntil: NEVER, mayRenew: true } });
  const claimed = bench.step({ kind: 'claim', epoch: 2 as never, votes: [] });
  t.is(commandsOf(claimed, 'attach').length, 0);
  const listed = bench.step({ kind: 'workers', vms: [bench.listedWorker()] });
  t.is(commandsOf(listed, 'attach').length, 1);
  const again = bench.step({ kind: 'workers', vms: [bench.listedWorker()] });
  t.is(commandsOf(again, 'attach').length, 0);
});

test('replicas of a service that are placed one after the other spread over workers', (t) => {
  const bench = owningHarness(CAPACITY, new BestFit());
  bench.attachAs('w2');
  const outputs = bench.submit(workOf({ shape: { kind: 'service', replicas: 2 } }));
  const workers = outputs.flatMap((output) =>
    output.kind === 'command' && output.command.kind === 'start' ? [output.worker] : [],
  );
  t.is(new Set(workers).size, 2);
});
