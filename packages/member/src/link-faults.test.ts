import test from 'ava';
import { runWithLinkFaults } from './link-faults.fixture.js';

const FIRST_SEEDS = [1, 2, 3, 4];
/** Seeds that once ran a task twice: leases were renewed whose lapse the owner counted. */
const FOUND_SEEDS = [11, 37];

for (const seed of [...FIRST_SEEDS, ...FOUND_SEEDS]) {
  test.serial(
    `no task runs twice or is forgotten with the link faults of seed ${seed}`,
    async (t) => {
      const { violations, stuck, starts } = await runWithLinkFaults(seed);
      t.deepEqual(violations, []);
      t.deepEqual(stuck, []);
      t.true(starts > 0);
    },
  );
}
