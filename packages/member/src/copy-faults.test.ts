import test from 'ava';
import { CopyFaults } from './copy-faults.fixture.js';
import { runWithFaults } from './fault-injection.fixture.js';

const SEEDS = [1, 2, 3, 4, 24, 28];

// Guards against copies of tasks that don't allow them, third runs of those that do, and jobs that are lost
// because one of two runs was.
for (const seed of SEEDS) {
  test.serial(
    `copies of slow runs keep the invariants with the faults of seed ${seed}`,
    async (t) => {
      const { violations, accepted, submitted, log } = await runWithFaults(seed, new CopyFaults());
      t.deepEqual(violations, []);
      t.true(accepted > submitted / 2);
      t.true(log.some((line) => line.includes('event=run.copied')));
    },
  );
}
