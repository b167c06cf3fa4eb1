import test from 'ava';
import { onTimeOf, runUneven, unevenArrivals } from './run-times.js';

const SEED = 20_261_206;

// Guards against learned run times, or copies of slow runs, that cost more jobs than they save.
test('with learned run times more jobs are on time where declared times are wrong and some runs are slow', (t) => {
  const arrivals = unevenArrivals(0.7, 15_000, SEED, true);
  const [declared, learned] = (['declared', 'learned'] as const).map((runTimes) =>
    onTimeOf(arrivals, runUneven(arrivals, runTimes)),
  );
  t.true((learned ?? 0) > (declared ?? 1));
});
