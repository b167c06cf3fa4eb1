import test from 'ava';
import { DRAINING_CODE } from '@bamboowell/wire/tcp-connection';
import { brandAs, workIdFrom, type TeamId, type WorkId } from '@bamboowell/types/ids';
import { done, refusalOf, refused, type Reason, type Result } from '@bamboowell/types/verdict';
import type { Work } from '@bamboowell/types/work';
import type { WireAnswer } from '@bamboowell/wire/connection';
import type { ShardOperation } from './peer-messages.js';
import { workRequest, OTHER, routingEntryOn, routerHarness, SHARD } from './router.fixture.js';

function work(): Work {
  const team = brandAs<TeamId>('holds');
  return { ...workRequest(), id: workIdFrom(SHARD, team, 'u1'), team };
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
  test(`a request that was not run because of ${reason} is retried`, async (t) => {
    for (const operation of [SUBMIT, CALL, GET]) {
      const { forwarder, settle, deadline, delivered } = routerHarness({
        local: [refused(reason, 'no'), refused(reason, 'no'), done('yes')],
      });
      const result = await settle(forwarder.forward(SHARD, operation, deadline));
      t.deepEqual(result, done('yes'));
      t.is(delivered.length, 3);
    }
  });
}

test('other refusals are returned to the caller without a retry', async (t) => {
  for (const reason of ['queue_full', 'overloaded', 'no_worker_fits', 'log_unavailable'] as const) {
    const { forwarder, settle, deadline, delivered } = routerHarness({
      local: [refused(reason, 'no')],
    });
    const result = await settle(forwarder.forward(SHARD, SUBMIT, deadline));
    t.is(verdictOf(result), `not_run ${reason}`);
    t.is(delivered.length, 1);
  }
});

test('retries end by the deadline, and each is counted', async (t) => {
  const { forwarder, settle, deadline, clock, counters, delivered } = routerHarness({
    local: [refused('no_owner', 'none')],
  });
  const result = await settle(forwarder.forward(SHARD, SUBMIT, deadline));
  t.is(verdictOf(result), 'not_run no_owner');
  t.true(delivered.length > 2);
  t.is(counters.count('retry.owner_unknown'), delivered.length - 1);
  t.true(clock.now() - deadline < 1_000);
});

test('a request to an owner on another daemon carries the remaining time', async (t) => {
  const { forwarder, settle, deadline, sent } = routerHarness({
    table: ON_OTHER,
    remote: [answered(ACCEPTED)],
  });
  const result = await settle(forwarder.forward(SHARD, SUBMIT, deadline));
  t.deepEqual(result, ACCEPTED);
  t.like(sent[0], { shard: SHARD, ask: { kind: 'submit' }, timeoutMillis: 10_000 });
});

test('a call with an unknown outcome is not repeated', async (t) => {
  const unknownOutcomes: readonly WireAnswer[][] = [[{ kind: 'unknown' }], [answered('junk')], []];
  for (const remote of unknownOutcomes) {
    const { forwarder, settle, deadline, sent } = routerHarness({ table: ON_OTHER, remote });
    const result = await settle(forwarder.forward(SHARD, CALL, deadline));
    t.is(verdictOf(result), 'may_have_run owner_unreachable');
    t.is(sent.length, 1);
  }
});

test('a call that was not sent is repeated', async (t) => {
  const { forwarder, settle, deadline, sent } = routerHarness({
    table: ON_OTHER,
    remote: [{ kind: 'not_sent' }, answered(done('called'))],
  });
  t.deepEqual(await settle(forwarder.forward(SHARD, CALL, deadline)), done('called'));
  t.is(sent.length, 2);
});

test('a submission with an unknown outcome is repeated under its request id', async (t) => {
  const { forwarder, settle, deadline, sent, counters } = routerHarness({
    table: ON_OTHER,
    remote: [{ kind: 'unknown' }, answered(ACCEPTED)],
  });
  t.deepEqual(await settle(forwarder.forward(SHARD, SUBMIT, deadline)), ACCEPTED);
  t.deepEqual(sent[1]?.ask, sent[0]?.ask);
  t.like(sent[1]?.ask, { kind: 'submit', work: { requestId: 'r-1' } });
  t.is(counters.count('retry.peer_unreachable'), 1);
});

test('once a request may have run, no later refusal reports it as not run', async (t) => {
  for (const later of ['no_owner', 'queue_full', 'key_unknown'] as const) {
    const { forwarder, settle, deadline } = routerHarness({
      table: ON_OTHER,
      remote: [{ kind: 'unknown' }, answered(refused(later, 'no'))],
    });
    const result = await settle(forwarder.forward(SHARD, SUBMIT, deadline));
    t.is(verdictOf(result), 'may_have_run owner_unreachable');
  }
});

test('a request that fails on another daemon may have run', async (t) => {
  const { forwarder, settle, deadline, sent } = routerHarness({
    table: ON_OTHER,
    remote: [{ kind: 'failed', code: 1, message: 'broken' }],
  });
  const result = await settle(forwarder.forward(SHARD, SUBMIT, deadline));
  t.is(verdictOf(result), 'may_have_run internal');
  t.is(sent.length, 1);
});

test("a request that the shard's task does not answer has an unknown outcome, a query has not run", async (t) => {
  const verdictWithoutAnswer = async (operation: ShardOperation) => {
    const { forwarder, settle, deadline } = routerHarness();
    return verdictOf(await settle(forwarder.forward(SHARD, operation, deadline)));
  };
  t.is(await verdictWithoutAnswer(SUBMIT), 'may_have_run outcome_unknown');
  t.is(await verdictWithoutAnswer(CALL), 'may_have_run outcome_unknown');
  t.is(await verdictWithoutAnswer(GET), 'not_run outcome_unknown');
});

test('a refusal by the owner keeps its verdict', async (t) => {
  const refusal = refusalOf('ran', 'worker_failed', 'it failed');
  const { forwarder, settle, deadline } = routerHarness({ local: [{ kind: 'refused', refusal }] });
  const result = await settle(forwarder.forward(SHARD, CALL, deadline));
  t.is(verdictOf(result), 'ran worker_failed');
});

test('a daemon that is shutting down has not run the request, and it is retried', async (t) => {
  const drained = { kind: 'failed' as const, code: DRAINING_CODE, message: 'draining' };
  const answered = { kind: 'answered' as const, value: done('taken') };
  const harness = routerHarness({
    table: { owners: new Map([[SHARD, routingEntryOn(OTHER)]]) },
    remote: [drained, answered],
  });
  const result = await harness.settle(
    harness.forwarder.forward(SHARD, { kind: 'status' }, harness.deadline),
  );
  t.deepEqual(result, done('taken'));
  t.is(harness.sent.length, 2);
});
