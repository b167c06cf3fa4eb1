import test from 'ava';
import type { JobBatch } from '@bamboowell/jobs/messages';
import type { Term } from '@bamboowell/types/job';
import { brandAs } from '@bamboowell/types/ids';
import { AppendWindow, type Acknowledgement } from './append-window.js';
import type { ProducerSequence } from './store.js';

const TERM = brandAs<Term>(7);
const FILLER = { key: 'alive', value: '7' };

function batch(number: number, bytes = 1, writes = 1): JobBatch {
  const value = 'x'.repeat(bytes);
  return {
    number,
    writes: Array.from({ length: writes }, (_, index) => ({ key: `k${index}`, value })),
  };
}

/** Sends all appends that are due and returns their epochs and sequences in order. */
function sendDue(window: AppendWindow): number[][] {
  const numbers: number[][] = [];
  for (let append = window.next(); append !== undefined; append = window.next()) {
    const { condition } = append;
    numbers.push(condition.kind === 'producer' ? [condition.epoch, condition.sequence] : []);
  }
  return numbers;
}

function sequence(number: number): ProducerSequence {
  return brandAs<ProducerSequence>(number);
}

/** What is known once these batches are stored and no write was rejected. */
function stored(batches: number[]): Acknowledgement {
  return { batches, rejectedKeys: [] };
}

/** Creates a window with the given number of batches. */
function windowOf(batches: number): AppendWindow {
  const window = new AppendWindow(TERM, FILLER);
  for (let number = 1; number <= batches; number += 1) {
    window.addBatch(batch(number));
  }
  return window;
}

test('at most four appends are in flight, with the term as epoch and sequences without gaps', (t) => {
  const window = windowOf(5);
  t.deepEqual(sendDue(window), [
    [7, 1],
    [7, 2],
    [7, 3],
    [7, 4],
  ]);
  t.false(window.canSend);
  t.deepEqual(window.acknowledge(sequence(1)), stored([1]));
  t.deepEqual(sendDue(window), [[7, 5]]);
});

test('an unanswered append is retried unchanged, before any other', (t) => {
  const window = windowOf(1);
  const first = window.next();
  window.markFailed(sequence(1));
  window.addBatch(batch(2));
  t.deepEqual(window.next(), first);
  t.is(window.next(), undefined);
  t.deepEqual(window.acknowledge(sequence(1)), stored([1]));
  t.deepEqual(sendDue(window), [[7, 2]]);
});

test('appends after an unanswered one wait until that one is stored', (t) => {
  const window = windowOf(3);
  t.is(sendDue(window).length, 3);
  window.markFailed(sequence(2));
  window.markFailed(sequence(3));
  t.is(window.next(), undefined);
  window.markFailed(sequence(1));
  t.deepEqual(sendDue(window), [[7, 1]]);
  t.deepEqual(window.acknowledge(sequence(1)), stored([1]));
  t.deepEqual(sendDue(window), [
    [7, 2],
    [7, 3],
  ]);
});

test('the answer to an append also acknowledges those before it', (t) => {
  const window = windowOf(3);
  sendDue(window);
  window.markFailed(sequence(1));
  t.deepEqual(window.acknowledge(sequence(2)), stored([1, 2]));
  t.deepEqual(window.acknowledge(sequence(1)), stored([]));
  t.deepEqual(window.acknowledge(sequence(3)), stored([3]));
  t.true(window.isIdle);
});

test('a batch without writes is complete once the writes before it are stored', (t) => {
  const window = windowOf(1);
  sendDue(window);
  window.addBatch(batch(2, 1, 0));
  t.is(window.next(), undefined);
  t.deepEqual(window.acknowledge(sequence(1)), stored([1, 2]));
});

test('a large batch is split into several appends and complete after the last one', (t) => {
  const window = new AppendWindow(TERM, FILLER);
  window.addBatch(batch(1, 400_000, 5));
  const sizes: number[] = [];
  const completed: number[][] = [];
  for (let append = window.next(); append !== undefined; append = window.next()) {
    sizes.push(append.writes.length);
    completed.push(window.acknowledge(append.sequence).batches);
  }
  t.deepEqual(sizes, [2, 2, 1]);
  t.deepEqual(completed, [[], [], [1]]);
  t.true(window.isIdle);
});

test('values are written as JSON, and a deletion stays without a value', (t) => {
  const window = new AppendWindow(TERM, FILLER);
  window.addBatch({
    number: 1,
    writes: [
      { key: 'a', value: undefined },
      { key: 'b', value: { state: 'done' } },
    ],
  });
  t.deepEqual(window.next()?.writes, [
    { key: 'a', value: undefined },
    { key: 'b', value: '{"state":"done"}' },
  ]);
});

/** Which of its writes the store takes. */
type Taker = (key: string) => boolean;

/** Sends appends one after the other until all are stored, or `rounds` were rejected. */
function storeAll(window: AppendWindow, takes: Taker, rounds = 100) {
  const stored = new Map<string, string | undefined>();
  const batches: number[] = [];
  const rejectedKeys: string[] = [];
  for (let round = 0; round < rounds && !window.isIdle; round += 1) {
    const append = window.next();
    if (append === undefined) {
      break;
    }
    const at = sequence(Number('sequence' in append.condition ? append.condition.sequence : 0));
    if (append.writes.every(({ key }) => takes(key))) {
      append.writes.forEach(({ key, value }) => stored.set(key, value));
      const acknowledged = window.acknowledge(at);
      batches.push(...acknowledged.batches);
      rejectedKeys.push(...acknowledged.rejectedKeys);
    } else {
      window.reject(at);
    }
  }
  return { stored, batches, rejectedKeys };
}

// Guards against one record that the store never takes and that keeps all others from being stored (LOST).
test('a write that the store never takes is found, and all others are stored', (t) => {
  const window = new AppendWindow(TERM, FILLER);
  window.addBatch(batch(1, 1, 40));
  const { stored, batches, rejectedKeys } = storeAll(window, (key) => key !== 'k27');
  t.deepEqual(rejectedKeys, ['k27']);
  t.deepEqual(batches, [1]);
  t.is([...stored.keys()].filter((key) => key !== FILLER.key).length, 39);
  t.true(window.isIdle);
});

test('what is stored later for want of one write overwrites nothing newer', (t) => {
  const window = new AppendWindow(TERM, FILLER);
  window.addBatch(batch(1, 1, 8));
  window.next();
  const newer = { number: 2, writes: [{ key: 'k7', value: 'newer' }] };
  window.addBatch(newer);
  const { stored, batches } = storeAll(window, (key) => key !== 'k1');
  t.is(stored.get('k7'), JSON.stringify('newer'));
  t.deepEqual(
    batches.toSorted((left, right) => left - right),
    [1, 2],
  );
});

// Guards against jobs that are given up because the store takes nothing at all for a while (LOST).
test('a store that rejects everything has no write found at fault', (t) => {
  const window = new AppendWindow(TERM, FILLER);
  window.addBatch(batch(1, 1, 4));
  const during = storeAll(window, () => false, 20);
  t.deepEqual(during.rejectedKeys, []);
  t.false(window.isIdle);
});
