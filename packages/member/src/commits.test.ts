import test from 'ava';
import type { JobBatch } from '@bamboowell/jobs/messages';
import type { Term } from '@bamboowell/types/job';
import { brandAs } from '@bamboowell/types/ids';
import { Commits } from './commits.js';

const TERM = brandAs<Term>(7);

function batch(number: number, bytes = 1, writes = 1): JobBatch {
  const value = 'x'.repeat(bytes);
  return {
    number,
    writes: Array.from({ length: writes }, (_, index) => ({ key: `k${index}`, value })),
  };
}

/** Epoch and sequence of the append that is due. */
function sequenceOf(commits: Commits): number[] | undefined {
  const condition = commits.next()?.condition;
  return condition?.kind === 'producer' ? [condition.epoch, condition.sequence] : undefined;
}

test('one append is on its way at a time, with the term as epoch and sequences without gaps', (t) => {
  const commits = new Commits(TERM);
  commits.addBatch(batch(1));
  commits.addBatch(batch(2));
  t.deepEqual(sequenceOf(commits), [7, 1]);
  t.is(commits.next(), undefined);
  t.is(commits.appended(), 1);
  t.deepEqual(sequenceOf(commits), [7, 2]);
});

test('an append without an answer is sent again as it was', (t) => {
  const commits = new Commits(TERM);
  commits.addBatch(batch(1));
  const first = commits.next();
  commits.unanswered();
  commits.addBatch(batch(2));
  t.deepEqual(commits.next(), first);
});

test('a large batch goes in several appends and is complete with the last one', (t) => {
  const commits = new Commits(TERM);
  commits.addBatch(batch(1, 400_000, 5));
  const sizes: number[] = [];
  const completed: (number | undefined)[] = [];
  for (let append = commits.next(); append !== undefined; append = commits.next()) {
    sizes.push(append.writes.length);
    completed.push(commits.appended());
  }
  t.deepEqual(sizes, [2, 2, 1]);
  t.deepEqual(completed, [undefined, undefined, 1]);
  t.true(commits.isIdle);
});

test('a value that is dropped stays without one, and others are written as JSON', (t) => {
  const commits = new Commits(TERM);
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
