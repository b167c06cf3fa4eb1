import test from 'ava';
import { runWithFaults } from './fault-injection.fixture.js';
import { OverloadFaults } from './overload-faults.fixture.js';

const FIRST_SEEDS = [1, 2, 3, 4];

/**
 * Seeds in which the emulation lost ends: a poll acknowledged, when it was answered, ends of the next process of the
 * worker that had come after it.
 */
const FOUND_SEEDS = [6, 24];

for (const seed of [...FIRST_SEEDS, ...FOUND_SEEDS]) {
  test.serial(`the invariants hold with the overload and faults of seed ${seed}`, async (t) => {
    const { violations, accepted, submitted } = await runWithFaults(seed, new OverloadFaults());
    t.deepEqual(violations, []);
    // A cluster that refuses all promised work would violate no invariant.
    t.true(accepted > submitted / 2, `${accepted} of ${submitted} accepted`);
  });
}
