import test from 'ava';
import { brandAs, type TeamId } from '@bamboowell/types/ids';
import { ExcessByAcceptance } from './excess-ordering.js';
import { orderingContext, waitingStep } from './ordering.fixture.js';
import { SmallestFirst } from './ordering.js';

const OTHER = brandAs<TeamId>('other');
const ordering = new ExcessByAcceptance(new SmallestFirst());

// Guards against accepted work that waits for ever behind later and smaller jobs.
test('excess is served by priority and acceptance, behind promised work', (t) => {
  const newest = waitingStep(100);
  const oldest = waitingStep(900, { plan: { count: 50 } });
  const urgent = waitingStep(50, { priority: 0 });
  const promised = waitingStep(0, { isExcess: false, priority: 2 });
  const sorted = ordering.sorted([newest, oldest, urgent, promised], orderingContext());
  t.deepEqual(sorted, [promised, urgent, oldest, newest]);
});

test('what is too late goes before newer excess of its team, and behind promised work', (t) => {
  const promised = waitingStep(0, { isExcess: false });
  const other = waitingStep(950, { team: OTHER });
  const newer = waitingStep(500, { priority: 2 });
  const late = waitingStep(9000);
  const lateOfOther = waitingStep(8000, { team: OTHER, isExcess: false });
  const sorted = ordering.sorted([newer, late, other, lateOfOther, promised], orderingContext());
  t.deepEqual(sorted, [promised, lateOfOther, other, late, newer]);
});

test('work without an objective stays last', (t) => {
  const none = waitingStep(9000, { objectiveMillis: 0 });
  const excess = waitingStep(100);
  t.deepEqual(ordering.sorted([none, excess], orderingContext()), [excess, none]);
});
