import test from 'ava';
import { runWithFaults } from './fault-injection.fixture.js';
import { OverloadFaults } from './overload-faults.fixture.js';

const FIRST_SEEDS = [1, 2, 3, 4];

for (const seed of FIRST_SEEDS) {
  test.serial(`the invariants hold with the overload and faults of seed ${seed}`, async (t) => {
    const { violations, accepted, submitted } = await runWithFaults(seed, new OverloadFaults());
    t.deepEqual(violations, []);
    // A cluster that refuses all promised work would violate no invariant.
    t.true(accepted > submitted / 2, `${accepted} of ${submitted} accepted`);
  });
}
