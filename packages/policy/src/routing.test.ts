import test from 'ava';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { brandAs, type RequestId, type ShardId, type TeamId } from '@bamboowell/types/ids';
import { shardForCall, shardForWork, type ShardLoad } from './routing.js';

const REQUESTS = 4000;

function shardsOf(...ids: string[]): ShardId[] {
  return ids.map((id) => brandAs<ShardId>(id));
}

function routes(shards: ShardId[]): (ShardId | undefined)[] {
  return Array.from({ length: REQUESTS }, (_, index) =>
    shardForWork(brandAs<TeamId>('team'), brandAs<RequestId>(`request-${index}`), shards),
  );
}

function countOf<Item>(items: readonly Item[], item: Item): number {
  return items.filter((other) => other === item).length;
}

function loadOf(id: string, load: number, reachable = true): ShardLoad {
  return { shard: brandAs<ShardId>(id), reachable, load };
}

function calls(shards: ShardLoad[], count: number): (string | undefined)[] {
  const random = xoroshiro128plus(1);
  return Array.from({ length: count }, () => shardForCall(shards, random));
}

test('a request reaches the same shard whatever the order of the list', (t) => {
  t.deepEqual(routes(shardsOf('a', 'b', 'c')), routes(shardsOf('c', 'a', 'b')));
  t.is(shardForWork(brandAs<TeamId>('t'), brandAs<RequestId>('r'), []), undefined);
});

test('requests spread evenly over shards', (t) => {
  const shards = shardsOf('nairobi-1', 'nairobi-2', 'mombasa-1');
  const found = routes(shards);
  for (const shard of shards) {
    t.true(Math.abs(countOf(found, shard) - REQUESTS / 3) < REQUESTS / 30);
  }
});

test('only the work of a removed shard moves', (t) => {
  const before = routes(shardsOf('a', 'b', 'c'));
  const after = routes(shardsOf('a', 'b'));
  const moved = before.filter((shard, index) => shard !== after[index]);
  t.is(moved.length, countOf(before, brandAs<ShardId>('c')));
});

test('the boundary between team and request id changes the hash', (t) => {
  const shards = Array.from({ length: 64 }, (_, index) => brandAs<ShardId>(`s${index}`));
  const left = shardForWork(brandAs<TeamId>('ab'), brandAs<RequestId>('c'), shards);
  const right = shardForWork(brandAs<TeamId>('a'), brandAs<RequestId>('bc'), shards);
  t.not(left, right);
});

test('a quick call goes to the less loaded of two reachable shards', (t) => {
  t.deepEqual(new Set(calls([loadOf('a', 0.9), loadOf('b', 0.1)], 50)), new Set(['b']));
  t.deepEqual(new Set(calls([loadOf('a', 0.9), loadOf('b', 0.1, false)], 50)), new Set(['a']));
  t.deepEqual(calls([loadOf('a', 0, false)], 1), [undefined]);
  t.deepEqual(calls([], 1), [undefined]);
});

test('the most loaded of three shards gets none, the others share', (t) => {
  const found = calls([loadOf('a', 0.1), loadOf('b', 0.5), loadOf('c', 0.9)], 3000);
  t.is(countOf<string | undefined>(found, 'c'), 0);
  t.true(countOf<string | undefined>(found, 'b') > 800);
});
