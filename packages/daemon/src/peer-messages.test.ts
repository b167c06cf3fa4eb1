import test from 'ava';
import fc from 'fast-check';
import { done, refused } from '@bamboowell/types/verdict';
import { parseResult, parseForwardedRequest } from './peer-messages.js';
import { order, SHARD } from './router.fixture.js';

function shardAsk(ask: unknown, changes: object = {}): unknown {
  return { shard: SHARD, timeoutMillis: 5, ask, ...changes };
}

function work(changes: object = {}): object {
  return { ...order(), id: 'nairobi-1:holds:u1', team: 'holds', ...changes };
}

test('every kind of request is read', (t) => {
  const asks = [
    { kind: 'submit', work: work() },
    { kind: 'call', work: work({ shape: { kind: 'quick_call' } }) },
    { kind: 'cancel', works: ['a:b:c'] },
    { kind: 'get', work: 'a:b:c' },
    { kind: 'explain', work: 'a:b:c' },
    { kind: 'status' },
  ];
  for (const ask of asks) {
    t.like(parseForwardedRequest(shardAsk(ask)), { shard: SHARD, ask: { kind: ask.kind } });
  }
});

test('malformed requests are refused', (t) => {
  const malformed = [
    undefined,
    null,
    [],
    {},
    shardAsk({ kind: 'fly' }),
    shardAsk({ kind: 'status' }, { shard: '' }),
    shardAsk({ kind: 'status' }, { timeoutMillis: -1 }),
    shardAsk({ kind: 'get' }),
    shardAsk({ kind: 'cancel', works: [1] }),
    shardAsk({ kind: 'submit', work: work({ demand: { slots: 1 } }) }),
    shardAsk({ kind: 'submit', work: work({ shape: { kind: 'batch', tasks: -1 } }) }),
    shardAsk({ kind: 'submit', work: work({ urgency: 'now' }) }),
  ];
  for (const params of malformed) {
    t.is(parseForwardedRequest(params), undefined, JSON.stringify(params));
  }
});

test('results are read, malformed ones are refused', (t) => {
  t.deepEqual(parseResult(done(3)), done(3));
  t.deepEqual(parseResult(refused('no_owner', 'x', 'y')), refused('no_owner', 'x', 'y'));
  const unknownReason = { verdict: 'not_run', reason: 'bored', detail: 'x' };
  const unknownVerdict = { verdict: 'perhaps', reason: 'no_owner', detail: 'x' };
  const malformed = [
    null,
    { kind: 'odd' },
    { kind: 'refused' },
    { kind: 'refused', refusal: unknownReason },
    { kind: 'refused', refusal: unknownVerdict },
  ];
  for (const answer of malformed) {
    t.is(parseResult(answer), undefined, JSON.stringify(answer));
  }
});

test('junk never throws', (t) => {
  fc.assert(
    fc.property(fc.jsonValue(), (junk) => {
      parseForwardedRequest(junk);
      parseResult(junk);
    }),
    { numRuns: 500, seed: 3 },
  );
  t.pass();
});
