import test from 'ava';
import { playTroubles } from './troubles.fixture.js';

/** Seeds of every run; one that ever failed stays here. */
const SEEDS = Array.from({ length: 8 }, (_, index) => index + 1);

for (const seed of SEEDS) {
  test.serial(`promises hold through the troubles of seed ${seed}`, async (t) => {
    const { broken, accepted, submitted } = await playTroubles(seed);
    t.deepEqual(broken, []);
    // A cluster that refuses all would break nothing.
    t.true(accepted > submitted / 2, `${accepted} of ${submitted} accepted`);
  });
}
