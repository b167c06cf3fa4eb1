import test from 'ava';
import { retryAfterSeconds } from './retry-spread.js';

const IDS = Array.from({ length: 900 }, (_, index) => `job-${index}`);

// Guards against callers that are refused together and return together.
test('those refused together return over the whole window', (t) => {
  for (const [patienceMillis, width] of [
    [3000, 2],
    [10_000, 3],
  ] as const) {
    const counts = new Map<number, number>();
    for (const id of IDS) {
      const seconds = retryAfterSeconds(id, 1500, patienceMillis);
      counts.set(seconds, (counts.get(seconds) ?? 0) + 1);
    }
    t.is(counts.size, width);
    t.true([...counts.values()].every((count) => count > (0.8 * IDS.length) / width));
  }
});

test('nobody is sent away for longer than it waits in all, or for a part of a second', (t) => {
  for (const waitMillis of [0, 700, 4000, 60_000, Number.MAX_SAFE_INTEGER]) {
    for (const id of IDS.slice(0, 50)) {
      t.true([1, 2].includes(retryAfterSeconds(id, waitMillis, 3000)));
      t.true([1, 2, 3, 4, 5].includes(retryAfterSeconds(id, waitMillis, 60_000)));
      t.is(retryAfterSeconds(id, waitMillis, 0), 1);
    }
  }
});

test('a caller gets the same answer again', (t) => {
  t.is(retryAfterSeconds('a', 2000, 9000), retryAfterSeconds('a', 2000, 9000));
});
