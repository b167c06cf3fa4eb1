import test from 'ava';
import fc from 'fast-check';
import { done, refused } from '@bamboowell/types/verdict';
import { parseResult, parseForwardedRequest } from './peer-messages.js';
import { workRequest, SHARD } from './router.fixture.js';

function forwardedRequest(ask: unknown, changes: object = {}): unknown {
  return { shard: SHARD, timeoutMillis: 5, ask, ...changes };
}

function work(changes: object = {}): object {
  return { ...workRequest(), id: 'nairobi-1:holds:u1', team: 'holds', ...changes };
}

test('every kind of request is parsed', (t) => {
  const asks = [
    { kind: 'submit', work: work() },
    { kind: 'call', work: work({ shape: { kind: 'quick_call' } }) },
    { kind: 'cancel', works: ['a:b:c'] },
    { kind: 'get', work: 'a:b:c' },
    { kind: 'explain', work: 'a:b:c' },
    { kind: 'status' },
  ];
  for (const ask of asks) {
    t.like(parseForwardedRequest(forwardedRequest(ask)), { shard: SHARD, ask: { kind: ask.kind } });
  }
});

test('malformed requests are not parsed', (t) => {
  const malformed = [
    undefined,
    null,
    [],
    {},
    forwardedRequest({ kind: 'fly' }),
    forwardedRequest({ kind: 'status' }, { shard: '' }),
    forwardedRequest({ kind: 'status' }, { timeoutMillis: -1 }),
    forwardedRequest({ kind: 'get' }),
    forwardedRequest({ kind: 'cancel', works: [1] }),
    forwardedRequest({ kind: 'submit', work: work({ demand: { slots: 1 } }) }),
    forwardedRequest({ kind: 'submit', work: work({ shape: { kind: 'batch', tasks: -1 } }) }),
    forwardedRequest({ kind: 'submit', work: work({ urgency: 'now' }) }),
  ];
  for (const params of malformed) {
    t.is(parseForwardedRequest(params), undefined, JSON.stringify(params));
  }
});

test('results are parsed, malformed ones are not', (t) => {
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

test('parsing arbitrary JSON never throws', (t) => {
  fc.assert(
    fc.property(fc.jsonValue(), (json) => {
      parseForwardedRequest(json);
      parseResult(json);
    }),
    { numRuns: 500, seed: 3 },
  );
  t.pass();
});
