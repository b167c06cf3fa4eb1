import test from 'ava';
import fc from 'fast-check';
import { parseMessage } from './message.js';

const SEED = 20261204;

function kindOf(value: unknown): string {
  return parseMessage(Buffer.from(JSON.stringify(value))).kind;
}

test('arbitrary bytes and JSON values are malformed messages', (t) => {
  const bytes = fc.uint8Array().map((array) => Buffer.from(array));
  const texts = fc.jsonValue().map((value) => Buffer.from(JSON.stringify(value)));
  const property = fc.property(fc.oneof(bytes, texts), (frame) => {
    t.is(parseMessage(frame).kind, 'malformed');
  });
  fc.assert(property, { seed: SEED });
});

test('an answer has an id and either a result or a valid error', (t) => {
  const id = 1;
  const jsonrpc = '2.0';
  const error = { code: 1, message: 'why' };
  t.is(kindOf({ jsonrpc, id, result: null }), 'response');
  t.is(kindOf({ jsonrpc, id, error }), 'response');
  t.is(kindOf({ jsonrpc, id, error: 'why' }), 'malformed');
  t.is(kindOf({ jsonrpc, id, error: { code: 'one', message: 'why' } }), 'malformed');
  t.is(kindOf({ jsonrpc, id, error: null }), 'malformed');
  t.is(kindOf({ jsonrpc, id: {}, result: 1 }), 'malformed');
  t.is(kindOf({ jsonrpc, id }), 'malformed');
});

test('a request has a method and, if it expects an answer, an id', (t) => {
  const jsonrpc = '2.0';
  t.is(kindOf({ jsonrpc, method: 'news' }), 'request');
  t.is(kindOf({ jsonrpc, method: 'news', id: 'a' }), 'request');
  t.is(kindOf({ jsonrpc, method: 'news', id: [] }), 'malformed');
  t.is(kindOf({ jsonrpc: '1.0', method: 'news' }), 'malformed');
});
