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
  order,
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
  { backend, settle: settled, deadline }: RouterHarness,
  changes: Parameters<typeof order>[0] = {},
) {
  return settled(backend.submit(HOLDS, order({ dataCentre: HERE, ...changes }), deadline));
}

test('a submission is brought to its shard under a new work id', async (t) => {
  const accepted = { kind: 'accepted', work: 'nairobi-1:holds:u1', repeated: false } as const;
  const made = routerHarness({ local: [done(accepted)] });
  t.like(await submit(made), { kind: 'done', value: { work: 'nairobi-1:holds:u1' } });
  t.like(made.delivered[0], {
    shard: 'nairobi-1',
    message: { kind: 'request', request: { kind: 'submit', work: { team: 'holds' } } },
  });
});

test('a repeat reaches the same shard', async (t) => {
  const made = routerHarness({ local: [done({ kind: 'accepted', work: WORK, repeated: true })] });
  for (const expectedMillis of [1, 2, 3]) {
    await submit(made, { dataCentre: null, expectedMillis });
  }
  t.is(made.delivered.length, 3);
  t.is(new Set(made.delivered.map(({ shard }) => shard)).size, 1);
});

test('a quick call goes to the shard that has less to do', async (t) => {
  const busy = { ...routingEntryOn(OTHER), waiting: 50 };
  const owners = new Map([
    [SHARD, busy],
    [OTHER_SHARD, routingEntryOn(OTHER)],
  ]);
  const called = done({ kind: 'called', answer: 'yes', worker: 'w', attempt: 'a' });
  const made = routerHarness({ table: { owners }, remote: [{ kind: 'answered', value: called }] });
  const asked = order({ shape: { kind: 'quick_call' } });
  const result = await made.settle(made.backend.call(HOLDS, asked, made.deadline));
  t.like(result, { kind: 'done', value: { answer: 'yes' } });
  t.is(made.sent[0]?.shard, OTHER_SHARD);
});

test('a refusal by the shard is counted once, under its reason', async (t) => {
  const made = routerHarness({ local: [refused('queue_full', 'full')] });
  t.like(refusal(await submit(made)), { verdict: 'not_run', reason: 'queue_full' });
  t.is(made.counters.count('refusal.queue_full'), 1);
});

test('what never left this daemon is refused with the reason', async (t) => {
  const made = routerHarness();
  const reasonFor = async (changes: Parameters<typeof order>[0]) =>
    refusal(await submit(made, changes))?.reason;
  t.is(await reasonFor({ queue: brandAs<QueueId>('nowhere') }), 'unknown_queue');
  t.is(await reasonFor({ dataCentre: brandAs<DataCentreId>('mars-1') }), 'malformed');
  t.is(made.delivered.length, 0);
});

test('an outcome that is not known names the work', async (t) => {
  const made = routerHarness({
    local: [{ kind: 'refused', refusal: refusalOf('may_have_run', 'log_unavailable', 'x') }],
  });
  t.like(refusal(await submit(made)), {
    verdict: 'may_have_run',
    reason: 'log_unavailable',
    work: 'nairobi-1:holds:u1',
  });
});

test('an answer of another kind may have run', async (t) => {
  const made = routerHarness({ local: [done({ kind: 'cancelled', outcomes: [] })] });
  t.like(refusal(await submit(made)), { verdict: 'may_have_run', reason: 'internal' });
});

test("other teams' work is hidden, an operator sees it, and nothing is asked", async (t) => {
  const made = routerHarness({ local: [done('view')] });
  const { backend, deadline, settle: settled } = made;
  const others = credentials('k-spares');
  for (const result of [
    await settled(backend.get(others, WORK, deadline)),
    await settled(backend.explain(others, WORK, deadline)),
    await settled(backend.cancel(others, [WORK], deadline)),
  ]) {
    t.like(refusal(result), { verdict: 'not_run', reason: 'unknown_work', field: 'workId' });
  }
  t.like(refusal(await settled(backend.get(null, WORK, deadline))), { reason: 'key_missing' });
  t.is(made.delivered.length, 0);
  t.deepEqual(await settled(backend.get(HOLDS, WORK, deadline)), done('view') as never);
  t.is((await settled(backend.get(credentials('k-root'), WORK, deadline))).kind, 'done');
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

test('a cancellation asks each shard once', async (t) => {
  const works = ['nairobi-1:holds:a', 'nairobi-2:holds:b', 'nairobi-1:holds:c'].map((id) =>
    brandAs<WorkId>(id),
  );
  const outcome = { work: WORK, verdict: 'not_run', reason: null };
  const made = routerHarness({ local: [done({ kind: 'cancelled', outcomes: [outcome] })] });
  const result = await made.settle(made.backend.cancel(HOLDS, works, made.deadline));
  t.is(result.kind === 'done' ? result.value.length : 0, 2);
  const groups = made.delivered.map(({ shard, message }) =>
    message.kind === 'request' && message.request.kind === 'cancel'
      ? [shard, ...message.request.works]
      : [],
  );
  t.deepEqual(groups as string[][], [
    ['nairobi-1', 'nairobi-1:holds:a', 'nairobi-1:holds:c'],
    ['nairobi-2', 'nairobi-2:holds:b'],
  ]);
});

test('a shard that refuses a cancellation leaves its works open, with the reason', async (t) => {
  const made = routerHarness({ local: [refused('queue_full', 'x')] });
  t.deepEqual(await made.settle(made.backend.cancel(HOLDS, [WORK], made.deadline)), {
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
  const made = routerHarness({ local: [refused('queue_full', 'it is asleep')] });
  const table = await made.settle(made.backend.status(credentials('k-root'), made.deadline));
  t.like(table.kind === 'done' ? table.value.shards[0] : undefined, {
    shard: 'nairobi-1',
    owner: '',
    error: 'it is asleep',
  });
});

test('a stale configuration takes no work from keys', async (t) => {
  const made = routerHarness({ table: { freshUntil: brandAs<Deadline>(0) } });
  t.like(refusal(await submit(made)), { verdict: 'not_run', reason: 'configuration_stale' });
});

test('work of an open queue is shown to whoever knows its id, other work of its team is not', async (t) => {
  const work = brandAs<WorkId>('nairobi-1:guests:w1');
  const asked = async (queue: string) => {
    const made = routerHarness({ local: [done({ queue })] });
    return made.settle(made.backend.get(null, work, made.deadline));
  };
  t.like(await asked('open'), { kind: 'done', value: { queue: 'open' } });
  t.like(refusal(await asked('nightly')), { verdict: 'not_run', reason: 'key_missing' });
});
