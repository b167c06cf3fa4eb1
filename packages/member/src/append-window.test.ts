import test from 'ava';
import type { JobBatch } from '@bamboowell/jobs/messages';
import type { Term } from '@bamboowell/types/job';
import { brandAs } from '@bamboowell/types/ids';
import { AppendWindow } from './append-window.js';
import type { ProducerSequence } from './store.js';

const TERM = brandAs<Term>(7);

function batch(number: number, bytes = 1, writes = 1): JobBatch {
  const value = 'x'.repeat(bytes);
  return {
    number,
    writes: Array.from({ length: writes }, (_, index) => ({ key: `k${index}`, value })),
  };
}

/** Sends all appends that are due and returns their epochs and sequences in order. */
function sendDue(commits: AppendWindow): number[][] {
  const numbers: number[][] = [];
  for (let append = commits.next(); append !== undefined; append = commits.next()) {
    const { condition } = append;
    numbers.push(condition.kind === 'producer' ? [condition.epoch, condition.sequence] : []);
  }
  return numbers;
}

function sequence(number: number): ProducerSequence {
  return brandAs<ProducerSequence>(number);
}

/** Creates a queue with the given number of batches. */
function commitsOf(batches: number): AppendWindow {
  const commits = new AppendWindow(TERM);
  for (let number = 1; number <= batches; number += 1) {
    commits.addBatch(batch(number));
  }
  return commits;
}

test('at most four appends are in flight, with the term as epoch and sequences without gaps', (t) => {
  const commits = commitsOf(5);
  t.deepEqual(sendDue(commits), [
    [7, 1],
    [7, 2],
    [7, 3],
    [7, 4],
  ]);
  t.false(commits.canSend);
  t.deepEqual(commits.acknowledge(sequence(1)), [1]);
  t.deepEqual(sendDue(commits), [[7, 5]]);
});

test('an unanswered append is retried unchanged, before any other', (t) => {
  const commits = commitsOf(1);
  const first = commits.next();
  commits.markFailed(sequence(1));
  commits.addBatch(batch(2));
  t.deepEqual(commits.next(), first);
  t.is(commits.next(), undefined);
  t.deepEqual(commits.acknowledge(sequence(1)), [1]);
  t.deepEqual(sendDue(commits), [[7, 2]]);
});

test('appends after an unanswered one wait until that one is stored', (t) => {
  const commits = commitsOf(3);
  t.is(sendDue(commits).length, 3);
  commits.markFailed(sequence(2));
  commits.markFailed(sequence(3));
  t.is(commits.next(), undefined);
  commits.markFailed(sequence(1));
  t.deepEqual(sendDue(commits), [[7, 1]]);
  t.deepEqual(commits.acknowledge(sequence(1)), [1]);
  t.deepEqual(sendDue(commits), [
    [7, 2],
    [7, 3],
  ]);
});

test('the answer to an append also acknowledges those before it', (t) => {
  const commits = commitsOf(3);
  sendDue(commits);
  commits.markFailed(sequence(1));
  t.deepEqual(commits.acknowledge(sequence(2)), [1, 2]);
  t.deepEqual(commits.acknowledge(sequence(1)), []);
  t.deepEqual(commits.acknowledge(sequence(3)), [3]);
  t.true(commits.isIdle);
});

test('a batch without writes is complete once the writes before it are stored', (t) => {
  const commits = commitsOf(1);
  sendDue(commits);
  commits.addBatch(batch(2, 1, 0));
  t.is(commits.next(), undefined);
  t.deepEqual(commits.acknowledge(sequence(1)), [1, 2]);
});

test('a large batch is split into several appends and complete after the last one', (t) => {
  const commits = new AppendWindow(TERM);
  commits.addBatch(batch(1, 400_000, 5));
  const sizes: number[] = [];
  const completed: number[][] = [];
  for (let append = commits.next(); append !== undefined; append = commits.next()) {
    sizes.push(append.writes.length);
    completed.push(commits.acknowledge(append.sequence));
  }
  t.deepEqual(sizes, [2, 2, 1]);
  t.deepEqual(completed, [[], [], [1]]);
  t.true(commits.isIdle);
});

test('values are written as JSON, and a deletion stays without a value', (t) => {
  const commits = new AppendWindow(TERM);
  commits.addBatch({
    number: 1,
    writes: [
      { key: 'a', value: undefined },
      { key: 'b', value: { state: 'done' } },
    ],
  });
  t.deepEqual(commits.next()?.writes, [
    { key: 'a', value: undefined },
    { key: 'b', value: '{"state":"done"}' },
  ]);
});
