import test from 'ava';
import { cores, jobId } from '@bamboowell/jobs/plans.fixture';
import { emulatedCluster } from './emulated-cluster.fixture.js';
import { configurationOf, planOf, stepOf } from './plans.fixture.js';

const NAMES = ['m1', 'm2', 'm3'];
/** Outlives the lease, the election and the wait of the next owner. */
const TASK_MILLIS = 40_000;

// Guards against a wait that counts from the claim: the store takes the appends of the earlier owner, and so
// confirms its ownership, until the next owner's first append has fenced it.
test('a next owner whose first append is late waits for leases that the earlier owner granted until then', async (t) => {
  const workers = ['w1', 'w2'].map((name) => ({ name, capacity: cores(4) }));
  const cluster = emulatedCluster({ workers, configuration: configurationOf() });
  await Promise.all(NAMES.map((name) => cluster.launch(name)));
  await cluster.run(800);
  const earlier = cluster.members.get(cluster.ownerName() ?? '');
  if (earlier === undefined) {
    throw new Error('no owner');
  }
  const steps = [stepOf({ estimateMillis: TASK_MILLIS })];
  void cluster.request(earlier.name, 'submit', jobId(1), planOf(1, steps));
  await cluster.run(500);
  const held = [...cluster.workers.values()].find((worker) => worker.running().length > 0);
  if (held === undefined) {
    throw new Error('nothing runs');
  }
  const others = [...cluster.members.values()].filter((member) => member !== earlier);
  for (const { workerFaults } of others) {
    workerFaults.unreachable.add(held.id);
  }
  cluster.workers.forEach(({ id }) => {
    if (id !== held.id) {
      earlier.workerFaults.unreachable.add(id);
    }
  });

  const partition = cluster.partition([earlier.name]);
  ['store', ...cluster.workers.keys()].forEach((end) => {
    cluster.join(partition, earlier.name, end);
  });
  earlier.storeFaults.mode = 'silent';
  const isElected = (): boolean =>
    cluster.log.some((line) => line.includes('event=owner.elected term=2'));
  while (!isElected()) {
    others.forEach(({ storeFaults }) => {
      const isClaimed = cluster.store.topic('ownership').records.length > 1;
      storeFaults.silentTopic = isClaimed ? 'work' : undefined;
    });
    await cluster.run(2);
  }
  earlier.storeFaults.mode = 'up';
  earlier.storeFaults.silentTopic = 'ownership';
  await cluster.run(3000);
  others.forEach(({ storeFaults }) => {
    storeFaults.silentTopic = undefined;
  });
  await cluster.run(9000);
  t.deepEqual(cluster.jobs.violations, []);
});
