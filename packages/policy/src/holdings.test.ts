import test from 'ava';
import fc from 'fast-check';
import { brandAs, type ShardId, type TeamId } from '@bamboowell/types/ids';
import {
  add,
  fits,
  isZero,
  NO_RESOURCES,
  positivePart,
  subtract,
  type Resources,
} from '@bamboowell/types/resources';
import type { Instant } from '@bamboowell/types/time';
import {
  reductionsPerShard,
  amountToAcquire,
  CHUNKS_PER_LIMIT,
  IDLE_WINDOW_MILLIS,
  IdleHoldings,
  type TeamHolding,
} from './holdings.js';

const TEAM = brandAs<TeamId>('team');

function at(millis: number): Instant {
  return brandAs<Instant>(millis);
}

function amountOf(millicores: number, memoryMib = 0): Resources {
  return { millicores, memoryMib, accelerators: 0, slots: 0 };
}

function holdingOf(held: number, inUse: number): TeamHolding {
  return { team: TEAM, held: amountOf(held), inUse: amountOf(inUse) };
}

function anyAmount(most: number): fc.Arbitrary<Resources> {
  const amount = fc.nat(most);
  return fc.record({ millicores: amount, memoryMib: amount, accelerators: amount, slots: amount });
}

function anyHoldings(): fc.Arbitrary<Map<ShardId, Resources>> {
  const entry = fc.tuple(fc.constantFrom('s1', 's2', 's3', 's4'), anyAmount(100));
  return fc
    .array(entry, { maxLength: 4 })
    .map((entries) => new Map(entries.map(([id, held]) => [brandAs<ShardId>(id), held])));
}

function totalOf(holdings: Iterable<Resources>): Resources {
  return [...holdings].reduce(add, NO_RESOURCES);
}

test('acquires the missing amount and one chunk more', (t) => {
  const limit = amountOf(CHUNKS_PER_LIMIT * 10, 100);
  const state = { limit, heldByAll: amountOf(50), heldHere: amountOf(20) };
  t.deepEqual(amountToAcquire(state, amountOf(15), amountOf(8)), amountOf(13));
  t.deepEqual(amountToAcquire(state, amountOf(15), amountOf(5)), NO_RESOURCES);
});

test('acquires less than a chunk more near the limit, and nothing that would exceed it', (t) => {
  const limit = amountOf(CHUNKS_PER_LIMIT * 10);
  const state = { limit, heldByAll: amountOf(315), heldHere: amountOf(20) };
  t.deepEqual(amountToAcquire(state, amountOf(20), amountOf(4)), amountOf(5));
  t.is(amountToAcquire(state, amountOf(20), amountOf(6)), undefined);
});

test('acquires nothing while a lowered limit is exceeded in another dimension', (t) => {
  const state = { limit: amountOf(100, 10), heldByAll: amountOf(0, 11), heldHere: amountOf(0, 11) };
  t.is(amountToAcquire(state, NO_RESOURCES, amountOf(1)), undefined);
});

test('an acquired amount never exceeds the limit and always covers the missing amount', (t) => {
  const property = fc.property(
    anyAmount(200),
    anyHoldings(),
    anyAmount(100),
    anyAmount(100),
    (limit, holdings, inUse, needed) => {
      const heldHere = holdings.get(brandAs<ShardId>('s1')) ?? NO_RESOURCES;
      const heldByAll = totalOf(holdings.values());
      const amount = amountToAcquire({ limit, heldByAll, heldHere }, inUse, needed);
      const missing = positivePart(subtract(add(inUse, needed), heldHere));
      if (amount === undefined) {
        return !fits(add(heldByAll, missing), limit);
      }
      const covers = fits(add(inUse, needed), add(heldHere, amount));
      return covers && (isZero(amount) || fits(add(heldByAll, amount), limit));
    },
  );
  t.notThrows(() => {
    fc.assert(property, { seed: 17, numRuns: 500 });
  });
});

test('gives back only what was idle for the whole window', (t) => {
  const idle = new IdleHoldings();
  t.deepEqual(idle.collectIdle([holdingOf(100, 10)], at(0)), []);
  t.is<number | undefined, number>(idle.nextDeadline(), IDLE_WINDOW_MILLIS);
  idle.recordUse(holdingOf(100, 60), at(1000));
  t.deepEqual(idle.collectIdle([holdingOf(100, 10)], at(IDLE_WINDOW_MILLIS - 1)), []);
  t.deepEqual(idle.collectIdle([holdingOf(100, 10)], at(IDLE_WINDOW_MILLIS)), [
    { team: TEAM, amount: amountOf(40) },
  ]);
  t.deepEqual(idle.collectIdle([holdingOf(60, 10)], at(IDLE_WINDOW_MILLIS * 2)), [
    { team: TEAM, amount: amountOf(50) },
  ]);
});

test('shards give up amounts in proportion to their holdings, down to the lowered limit', (t) => {
  const holdings = new Map([
    [brandAs<ShardId>('s2'), amountOf(30, 5)],
    [brandAs<ShardId>('s1'), amountOf(60, 5)],
    [brandAs<ShardId>('s3'), amountOf(0, 1)],
  ]);
  const reductions = reductionsPerShard(amountOf(45, 11), holdings);
  t.deepEqual(
    [...reductions],
    [
      [brandAs<ShardId>('s1'), amountOf(30)],
      [brandAs<ShardId>('s2'), amountOf(15)],
    ],
  );
});

test('after the reductions exactly the limit is held where it was exceeded, in any order of the shards', (t) => {
  const property = fc.property(anyAmount(300), anyHoldings(), (limit, holdings) => {
    const reductions = reductionsPerShard(limit, holdings);
    const reversed = reductionsPerShard(limit, new Map([...holdings].reverse()));
    const held = totalOf(holdings.values());
    const left = subtract(held, totalOf(reductions.values()));
    const isExact = (Object.keys(limit) as (keyof Resources)[]).every(
      (dimension) => left[dimension] === Math.min(held[dimension], limit[dimension]),
    );
    const isHeld = [...reductions].every(([shard, amount]) =>
      fits(amount, holdings.get(shard) ?? NO_RESOURCES),
    );
    const isSame = JSON.stringify([...reductions]) === JSON.stringify([...reversed]);
    return isExact && isHeld && isSame;
  });
  t.notThrows(() => {
    fc.assert(property, { seed: 19, numRuns: 500 });
  });
});
