import test from 'ava';
import {
  brandAs,
  type DataCentreId,
  type QueueId,
  type Version,
  type WorkId,
} from '@bamboowell/types/ids';
import type { Deadline } from '@bamboowell/types/time';
import { done, refusalOf, refused, type Result } from '@bamboowell/types/verdict';
import {
  credentials,
  workRequest,
  OTHER,
  OTHER_SHARD,
  routingEntryOn,
  routerHarness,
  SHARD,
  type RouterHarness,
} from './router.fixture.js';

const HOLDS = credentials('k-holds');
const WORK = brandAs<WorkId>('nairobi-1:holds:w1');
const HERE = brandAs<DataCentreId>('nairobi-1');

function refusal(result: Result<unknown>) {
  return result.kind === 'refused' ? result.refusal : undefined;
}

function submit(
  { backend, settle, deadline }: RouterHarness,
  changes: Parameters<typeof workRequest>[0] = {},
) {
  return settle(backend.submit(HOLDS, workRequest({ dataCentre: HERE, ...changes }), deadline));
}

test('a submission is forwarded to its shard under a new work id', async (t) => {
  const accepted = { kind: 'accepted', work: 'nairobi-1:holds:u1', repeated: false } as const;
  const harness = routerHarness({ local: [done(accepted)] });
  t.like(await submit(harness), { kind: 'done', value: { work: 'nairobi-1:holds:u1' } });
  t.like(harness.delivered[0], {
    shard: 'nairobi-1',
    message: { kind: 'request', request: { kind: 'submit', work: { team: 'holds' } } },
  });
});

test('a repeated submission reaches the same shard', async (t) => {
  const harness = routerHarness({
    local: [done({ kind: 'accepted', work: WORK, repeated: true })],
  });
  for (const expectedMillis of [1, 2, 3]) {
    await submit(harness, { dataCentre: null, expectedMillis });
  }
  t.is(harness.delivered.length, 3);
  t.is(new Set(harness.delivered.map(({ shard }) => shard)).size, 1);
});

test('a quick call goes to the less loaded shard', async (t) => {
  const busy = { ...routingEntryOn(OTHER), waiting: 50 };
  const owners = new Map([
    [SHARD, busy],
    [OTHER_SHARD, routingEntryOn(OTHER)],
  ]);
  const called = done({ kind: 'called', answer: 'yes', worker: 'w', attempt: 'a' });
  const harness = routerHarness({
    table: { owners },
    remote: [{ kind: 'answered', value: called }],
  });
  const request = workRequest({ shape: { kind: 'quick_call' } });
  const result = await harness.settle(harness.backend.call(HOLDS, request, harness.deadline));
  t.like(result, { kind: 'done', value: { answer: 'yes' } });
  t.is(harness.sent[0]?.shard, OTHER_SHARD);
});

test('a refusal by the shard is counted once, under its reason', async (t) => {
  const harness = routerHarness({ local: [refused('queue_full', 'full')] });
  t.like(refusal(await submit(harness)), { verdict: 'not_run', reason: 'queue_full' });
  t.is(harness.counters.count('refusal.queue_full'), 1);
});

test('an invalid submission is refused with the reason and reaches no shard', async (t) => {
  const harness = routerHarness();
  const reasonFor = async (changes: Parameters<typeof workRequest>[0]) =>
    refusal(await submit(harness, changes))?.reason;
  t.is(await reasonFor({ queue: brandAs<QueueId>('nowhere') }), 'unknown_queue');
  t.is(await reasonFor({ dataCentre: brandAs<DataCentreId>('mars-1') }), 'malformed');
  t.is(harness.delivered.length, 0);
});

test('a refusal of a submission that may have run includes the work id', async (t) => {
  const harness = routerHarness({
    local: [{ kind: 'refused', refusal: refusalOf('may_have_run', 'log_unavailable', 'x') }],
  });
  t.like(refusal(await submit(harness)), {
    verdict: 'may_have_run',
    reason: 'log_unavailable',
    work: 'nairobi-1:holds:u1',
  });
});

test('a request with an unexpected answer may have run', async (t) => {
  const harness = routerHarness({ local: [done({ kind: 'cancelled', outcomes: [] })] });
  t.like(refusal(await submit(harness)), { verdict: 'may_have_run', reason: 'internal' });
});

test("another team's work is hidden without a request to its shard, and an operator sees it", async (t) => {
  const harness = routerHarness({ local: [done('view')] });
  const { backend, deadline, settle } = harness;
  const others = credentials('k-spares');
  for (const result of [
    await settle(backend.get(others, WORK, deadline)),
    await settle(backend.explain(others, WORK, deadline)),
    await settle(backend.cancel(others, [WORK], deadline)),
  ]) {
    t.like(refusal(result), { verdict: 'not_run', reason: 'unknown_work', field: 'workId' });
  }
  t.like(refusal(await settle(backend.get(null, WORK, deadline))), { reason: 'key_missing' });
  t.is(harness.delivered.length, 0);
  t.deepEqual(await settle(backend.get(HOLDS, WORK, deadline)), done('view') as never);
  t.is((await settle(backend.get(credentials('k-root'), WORK, deadline))).kind, 'done');
});

test('watching the work of another team yields one refusal', async (t) => {
  const { backend } = routerHarness();
  const seen = [];
  const signal = new AbortController().signal;
  for await (const view of backend.watch(credentials('k-spares'), WORK, signal)) {
    seen.push(refusal(view)?.reason);
  }
  t.deepEqual(seen, ['unknown_work']);
});

test('a cancellation sends one request to each shard', async (t) => {
  const works = ['nairobi-1:holds:a', 'nairobi-2:holds:b', 'nairobi-1:holds:c'].map((id) =>
    brandAs<WorkId>(id),
  );
  const outcome = { work: WORK, verdict: 'not_run', reason: null };
  const harness = routerHarness({ local: [done({ kind: 'cancelled', outcomes: [outcome] })] });
  const result = await harness.settle(harness.backend.cancel(HOLDS, works, harness.deadline));
  t.is(result.kind === 'done' ? result.value.length : 0, 2);
  const groups = harness.delivered.map(({ shard, message }) =>
    message.kind === 'request' && message.request.kind === 'cancel'
      ? [shard, ...message.request.works]
      : [],
  );
  t.deepEqual(groups as string[][], [
    ['nairobi-1', 'nairobi-1:holds:a', 'nairobi-1:holds:c'],
    ['nairobi-2', 'nairobi-2:holds:b'],
  ]);
});

test('a refused cancellation reports its works as may have run, with the reason', async (t) => {
  const harness = routerHarness({ local: [refused('queue_full', 'x')] });
  t.deepEqual(await harness.settle(harness.backend.cancel(HOLDS, [WORK], harness.deadline)), {
    kind: 'done',
    value: [{ work: WORK, verdict: 'may_have_run', reason: 'queue_full' }],
  });
});

test('only operators see and change the configuration', async (t) => {
  const { backend, deadline } = routerHarness();
  const root = credentials('k-root');
  const base = brandAs<Version>(3);
  for (const result of [
    await backend.configuration(HOLDS),
    await backend.apply(HOLDS, base, [], deadline),
    await backend.enforcement(HOLDS, base),
    await backend.status(HOLDS, deadline),
  ]) {
    t.like(refusal(result), { verdict: 'not_run', reason: 'not_operator' });
  }
  t.like(await backend.configuration(root), { kind: 'done', value: { fresh: true } });
  t.like(refusal(await backend.apply(root, base, [], deadline)), { reason: 'overloaded' });
});

test('the status shows a shard whose owner does not answer', async (t) => {
  const harness = routerHarness({ local: [refused('queue_full', 'it is asleep')] });
  const table = await harness.settle(
    harness.backend.status(credentials('k-root'), harness.deadline),
  );
  t.like(table.kind === 'done' ? table.value.shards[0] : undefined, {
    shard: 'nairobi-1',
    owner: '',
    error: 'it is asleep',
  });
});

test('a submission with a key is refused while the configuration is stale', async (t) => {
  const harness = routerHarness({ table: { freshUntil: brandAs<Deadline>(0) } });
  t.like(refusal(await submit(harness)), { verdict: 'not_run', reason: 'configuration_stale' });
});

test('work of an open queue is shown to anyone who knows its id, other work of its team is not', async (t) => {
  const work = brandAs<WorkId>('nairobi-1:guests:w1');
  const getWorkIn = async (queue: string) => {
    const harness = routerHarness({ local: [done({ queue })] });
    return harness.settle(harness.backend.get(null, work, harness.deadline));
  };
  t.like(await getWorkIn('open'), { kind: 'done', value: { queue: 'open' } });
  t.like(refusal(await getWorkIn('nightly')), { verdict: 'not_run', reason: 'key_missing' });
});
