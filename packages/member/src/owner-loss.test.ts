import test from 'ava';
import { cores } from '@bamboowell/jobs/plans.fixture';
import { emulatedCluster } from './emulated-cluster.fixture.js';
import { configurationOf } from './plans.fixture.js';

async function idleCluster() {
  const workers = ['w1', 'w2'].map((name) => ({ name, capacity: cores(4) }));
  const cluster = emulatedCluster({ workers, configuration: configurationOf() });
  await Promise.all(['m1', 'm2', 'm3', 'm4', 'm5'].map((name) => cluster.launch(name)));
  await cluster.run(3000);
  const owner = cluster.ownerName() ?? '';
  const claims = (): number =>
    cluster.log.filter((line) => line.includes('event=owner.claiming')).length;
  return { cluster, owner, claims };
}

// Guards against work that is without an owner for longer than needed after its machine was lost.
test('another member serves within 1.3 s of the last sign of an owner whose machine is lost', async (t) => {
  const { cluster, owner } = await idleCluster();
  const lostAt = cluster.now();
  cluster.partition([owner]);
  while (cluster.ownerName() === owner && cluster.now() - lostAt < 5000) {
    await cluster.run(10);
  }
  const millis = cluster.now() - lostAt;
  t.log(`${millis} ms from the last sign of the owner to the next one`);
  t.true(millis < 1300, `${millis} ms`);
  t.not(cluster.ownerName(), owner);
  t.deepEqual(cluster.jobs.violations, []);
});

// Guards against a claim beside an owner that stands still for a while.
test('an owner that stands still for 800 ms again and again stays the owner', async (t) => {
  const { cluster, owner, claims } = await idleCluster();
  const before = claims();
  for (const pause of [1000, 450, 300, 777, 200, 613]) {
    cluster.freeze(owner);
    await cluster.run(800);
    cluster.thaw(owner);
    await cluster.run(pause);
  }
  await cluster.run(2000);
  t.is(cluster.ownerName(), owner);
  t.is(claims(), before);
});
