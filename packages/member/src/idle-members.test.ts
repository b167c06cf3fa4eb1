import test from 'ava';
import { cores } from '@bamboowell/jobs/plans.fixture';
import { emulatedCluster } from './emulated-cluster.fixture.js';
import { configurationOf } from './plans.fixture.js';

/**
 * A wake-up costs up to a millisecond of a slow core, and a member that only waits may take a hundredth
 * of a core.
 */
const MAX_WAKE_UPS_PER_SECOND = 10;

async function quietCluster() {
  const workers = ['w1', 'w2'].map((name) => ({ name, capacity: cores(4) }));
  const cluster = emulatedCluster({ workers, configuration: configurationOf() });
  const names = ['m1', 'm2', 'm3', 'm4'];
  await Promise.all(names.map((name) => cluster.launch(name)));
  await cluster.run(3000);
  const followers = [...cluster.members.values()].filter(
    ({ name }) => name !== cluster.ownerName(),
  );
  return { cluster, followers };
}

// Guards against a large fleet that spends more processor time on waiting than on work: timers that
// run although nothing is due cost each of a hundred members as much as a busy one.
test('a member that has nothing to do is woken by few timers', async (t) => {
  const { cluster, followers } = await quietCluster();
  const before = followers.map(({ clock }) => clock.wakeUps);
  const seconds = 5;
  await cluster.run(seconds * 1000);
  followers.forEach(({ name, clock }, index) => {
    const wakeUps = (clock.wakeUps - (before[index] ?? 0)) / seconds;
    t.true(wakeUps <= MAX_WAKE_UPS_PER_SECOND, `${name}: ${wakeUps} wake-ups a second`);
  });
});
