import test from 'ava';
import fc from 'fast-check';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { brandAs, type TeamId } from '@bamboowell/types/ids';
import type { Deadline, Instant } from '@bamboowell/types/time';
import {
  BURST_RETRIES,
  BASE_DELAY_MILLIS,
  FullJitter,
  MAX_DELAY_MILLIS,
  REFILL_MILLIS,
  RetryBudgets,
} from './retry.js';

const TEAM = brandAs<TeamId>('team');

function at(millis: number): Instant {
  return brandAs<Instant>(millis);
}

/** Number of retries that are granted when `asked` are requested at once. */
function spendMany(budgets: RetryBudgets, asked: number, now: number, team = TEAM): number {
  const answers = Array.from({ length: asked }, () => budgets.spend(team, at(now)));
  return answers.filter(Boolean).length;
}

function delaysOf(seed: number, failures: number, count: number): number[] {
  const backoff = new FullJitter(xoroshiro128plus(seed));
  return Array.from({ length: count }, () => backoff.retryAt(failures, at(1000)) - 1000);
}

test('a team has a burst of retries, then one per refill interval', (t) => {
  const budgets = new RetryBudgets();
  t.is(spendMany(budgets, 100, 0), BURST_RETRIES);
  t.is(spendMany(budgets, 100, REFILL_MILLIS - 1), 0);
  t.is(budgets.nextAt(TEAM, at(REFILL_MILLIS - 1)), brandAs<Deadline>(REFILL_MILLIS));
  t.is(spendMany(budgets, 100, REFILL_MILLIS * 3), 3);
  t.is(spendMany(budgets, 100, 0, brandAs<TeamId>('other')), BURST_RETRIES);
});

test('no sequence of requests gets more retries than the burst and the refills since', (t) => {
  const pauses = fc.array(fc.nat(REFILL_MILLIS * 2), { maxLength: 300 });
  const property = fc.property(pauses, (steps) => {
    const budgets = new RetryBudgets();
    let now = 0;
    let granted = 0;
    return steps.every((step) => {
      now += step;
      granted += budgets.spend(TEAM, at(now)) ? 1 : 0;
      return granted <= BURST_RETRIES + now / REFILL_MILLIS;
    });
  });
  t.notThrows(() => {
    fc.assert(property, { seed: 3, numRuns: 300 });
  });
});

test('full budgets are not stored after a sweep', (t) => {
  const budgets = new RetryBudgets();
  spendMany(budgets, 2, 0);
  budgets.sweep(at(2 * REFILL_MILLIS - 1));
  t.is(budgets.size, 1);
  budgets.sweep(at(2 * REFILL_MILLIS));
  t.is(budgets.size, 0);
});

test('delays are spread from zero to a bound that doubles with each failure, up to the maximum', (t) => {
  for (const failures of [1, 3, 9, 40]) {
    const bound = Math.min(MAX_DELAY_MILLIS, BASE_DELAY_MILLIS * 2 ** (failures - 1));
    const delays = delaysOf(5, failures, 400);
    t.true(delays.every((delay) => delay >= 0 && delay <= bound));
    t.true(delays.some((delay) => delay < bound / 4));
    t.true(delays.some((delay) => delay > (bound * 3) / 4));
  }
  t.deepEqual(delaysOf(5, 4, 10), delaysOf(5, 4, 10));
});
