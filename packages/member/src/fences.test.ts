import test from 'ava';
import { brandAs } from '@bamboowell/types/ids';
import type { Term } from '@bamboowell/types/job';
import { FENCES_PER_TERM, Fences } from './fences.js';

function fencesOf(term: number): Fences {
  return new Fences(brandAs<Term>(term));
}

test('each fence of a term is higher than the one before it', (t) => {
  const fences = fencesOf(3);
  const [first, second] = [fences.next(), fences.next()];
  t.true(second > first);
});

// Guards against two owners that use the same fence, however often the first one took a new one.
test('the fences of a term are higher than all of the term before it', (t) => {
  const earlier = fencesOf(3);
  let last = earlier.next();
  for (let count = 0; count < FENCES_PER_TERM; count += 1) {
    last = earlier.next();
  }
  t.true(fencesOf(4).next() > last);
});
