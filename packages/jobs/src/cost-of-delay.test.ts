import test from 'ava';
import { costOfDelay } from './cost-of-delay.js';
import { orderingContext, waitingStep } from './ordering.fixture.js';

const context = orderingContext();

function costOf(ageMillis: number, objectiveMillis: number, estimateMillis: number): number {
  return costOfDelay(
    waitingStep(ageMillis, { objectiveMillis, plan: { estimateMillis } }),
    context,
  );
}

// Guards against excess that is served in an order in which most of it is just late.
test('a step that is close to its objective loses more by waiting than one with time left', (t) => {
  t.true(costOf(1500, 3000, 1000) > costOf(0, 3000, 1000));
  t.true(costOf(0, 3000, 1000) > costOf(0, 12_000, 1000));
});

test('a step that can only be late loses less than one that can be on time, and a worthless one nothing', (t) => {
  t.true(costOf(2500, 3000, 1000) < costOf(0, 3000, 1000));
  t.is(costOf(8500, 3000, 1000), 0);
});

test('the number of alike tasks changes nothing', (t) => {
  const one = costOfDelay(waitingStep(0, { plan: { count: 1 } }), context);
  const many = costOfDelay(waitingStep(0, { plan: { count: 7 } }), context);
  t.true(Math.abs(one - many) < 1e-9);
});
