import test from 'ava';
import { DRAINING_CODE } from '@bamboowell/wire/tcp-connection';
import { brandAs, workIdFrom, type TeamId, type WorkId } from '@bamboowell/types/ids';
import { done, refusalOf, refused, type Reason, type Result } from '@bamboowell/types/verdict';
import type { Work } from '@bamboowell/types/work';
import type { WireAnswer } from '@bamboowell/wire/connection';
import type { ShardOperation } from './peer-messages.js';
import { order, OTHER, routingEntryOn, routerHarness, SHARD } from './router.fixture.js';

function work(): Work {
  const team = brandAs<TeamId>('holds');
  return { ...order(), id: workIdFrom(SHARD, team, 'u1'), team };
}

const SUBMIT: ShardOperation = { kind: 'submit', work: work() };
const CALL: ShardOperation = { kind: 'call', work: work() };
const GET: ShardOperation = { kind: 'get', work: brandAs<WorkId>('nairobi-1:holds:u1') };
const ON_OTHER = { owners: new Map([[SHARD, routingEntryOn(OTHER)]]) };
const ACCEPTED = done({ kind: 'accepted', work: work().id, repeated: false });

function answered(value: unknown): WireAnswer {
  return { kind: 'answered', value };
}

function verdictOf(result: Result<unknown>): string {
  return result.kind === 'done' ? 'done' : `${result.refusal.verdict} ${result.refusal.reason}`;
}

const RETRIED: readonly Reason[] = [
  'no_owner',
  'not_fresh',
  'owner_changed',
  'owner_unreachable',
  'shutting_down',
];

for (const reason of RETRIED) {
  test(`a request that was not run for ${reason} is tried again`, async (t) => {
    for (const question of [SUBMIT, CALL, GET]) {
      const {
        forwarder,
        settle: settled,
        deadline,
        delivered,
      } = routerHarness({
        local: [refused(reason, 'no'), refused(reason, 'no'), done('yes')],
      });
      const result = await settled(forwarder.forward(SHARD, question, deadline));
      t.deepEqual(result, done('yes'));
      t.is(delivered.length, 3);
    }
  });
}

test('other refusals reach the caller at once', async (t) => {
  for (const reason of ['queue_full', 'overloaded', 'no_worker_fits', 'log_unavailable'] as const) {
    const {
      forwarder,
      settle: settled,
      deadline,
      delivered,
    } = routerHarness({ local: [refused(reason, 'no')] });
    const result = await settled(forwarder.forward(SHARD, SUBMIT, deadline));
    t.is(verdictOf(result), `not_run ${reason}`);
    t.is(delivered.length, 1);
  }
});

test('tries end by the deadline, each retry counted', async (t) => {
  const {
    forwarder,
    settle: settled,
    deadline,
    clock,
    counters,
    delivered,
  } = routerHarness({
    local: [refused('no_owner', 'none')],
  });
  const result = await settled(forwarder.forward(SHARD, SUBMIT, deadline));
  t.is(verdictOf(result), 'not_run no_owner');
  t.true(delivered.length > 2);
  t.is(counters.count('retry.owner_unknown'), delivered.length - 1);
  t.true(clock.now() - deadline < 1_000);
});

test('the owner on another daemon is asked with what is left of the time', async (t) => {
  const {
    forwarder,
    settle: settled,
    deadline,
    sent,
  } = routerHarness({
    table: ON_OTHER,
    remote: [answered(ACCEPTED)],
  });
  const result = await settled(forwarder.forward(SHARD, SUBMIT, deadline));
  t.deepEqual(result, ACCEPTED);
  t.like(sent[0], { shard: SHARD, ask: { kind: 'submit' }, timeoutMillis: 10_000 });
});

test('a call of which nothing is known is not repeated', async (t) => {
  const silence: readonly WireAnswer[][] = [[{ kind: 'unknown' }], [answered('junk')], []];
  for (const remote of silence) {
    const {
      forwarder,
      settle: settled,
      deadline,
      sent,
    } = routerHarness({ table: ON_OTHER, remote });
    const result = await settled(forwarder.forward(SHARD, CALL, deadline));
    t.is(verdictOf(result), 'may_have_run owner_unreachable');
    t.is(sent.length, 1);
  }
});

test('a call that was not sent is repeated', async (t) => {
  const {
    forwarder,
    settle: settled,
    deadline,
    sent,
  } = routerHarness({
    table: ON_OTHER,
    remote: [{ kind: 'not_sent' }, answered(done('called'))],
  });
  t.deepEqual(await settled(forwarder.forward(SHARD, CALL, deadline)), done('called'));
  t.is(sent.length, 2);
});

test('a submission of which nothing is known is repeated under its request id', async (t) => {
  const {
    forwarder,
    settle: settled,
    deadline,
    sent,
    counters,
  } = routerHarness({
    table: ON_OTHER,
    remote: [{ kind: 'unknown' }, answered(ACCEPTED)],
  });
  t.deepEqual(await settled(forwarder.forward(SHARD, SUBMIT, deadline)), ACCEPTED);
  t.deepEqual(sent[1]?.ask, sent[0]?.ask);
  t.like(sent[1]?.ask, { kind: 'submit', work: { requestId: 'r-1' } });
  t.is(counters.count('retry.peer_unreachable'), 1);
});

test('once it may have run, no later refusal turns that into not run', async (t) => {
  for (const later of ['no_owner', 'queue_full', 'key_unknown'] as const) {
    const {
      forwarder,
      settle: settled,
      deadline,
    } = routerHarness({
      table: ON_OTHER,
      remote: [{ kind: 'unknown' }, answered(refused(later, 'no'))],
    });
    const result = await settled(forwarder.forward(SHARD, SUBMIT, deadline));
    t.is(verdictOf(result), 'may_have_run owner_unreachable');
  }
});

test('a daemon that failed may have run the request', async (t) => {
  const {
    forwarder,
    settle: settled,
    deadline,
    sent,
  } = routerHarness({
    table: ON_OTHER,
    remote: [{ kind: 'failed', code: 1, message: 'broken' }],
  });
  const result = await settled(forwarder.forward(SHARD, SUBMIT, deadline));
  t.is(verdictOf(result), 'may_have_run internal');
  t.is(sent.length, 1);
});

test("a shard's task that stays silent leaves the outcome open, a question aside", async (t) => {
  const ask = async (question: ShardOperation) => {
    const { forwarder, settle: settled, deadline } = routerHarness();
    return verdictOf(await settled(forwarder.forward(SHARD, question, deadline)));
  };
  t.is(await ask(SUBMIT), 'may_have_run outcome_unknown');
  t.is(await ask(CALL), 'may_have_run outcome_unknown');
  t.is(await ask(GET), 'not_run outcome_unknown');
});

test('a truthful refusal of the owner keeps its verdict', async (t) => {
  const refusal = refusalOf('ran', 'worker_failed', 'it failed');
  const {
    forwarder,
    settle: settled,
    deadline,
  } = routerHarness({ local: [{ kind: 'refused', refusal }] });
  const result = await settled(forwarder.forward(SHARD, CALL, deadline));
  t.is(verdictOf(result), 'ran worker_failed');
});

test('a daemon that is shutting down has not run the request, and another try is made', async (t) => {
  const drained = { kind: 'failed' as const, code: DRAINING_CODE, message: 'draining' };
  const answered = { kind: 'answered' as const, value: done('taken') };
  const made = routerHarness({
    table: { owners: new Map([[SHARD, routingEntryOn(OTHER)]]) },
    remote: [drained, answered],
  });
  const result = await made.settle(
    made.forwarder.forward(SHARD, { kind: 'status' }, made.deadline),
  );
  t.deepEqual(result, done('taken'));
  t.is(made.sent.length, 2);
});
