import test from 'ava';
import { cores, jobId } from '@bamboowell/jobs/plans.fixture';
import { emulatedCluster } from './emulated-cluster.fixture.js';
import { configurationOf, planOf, stepOf } from './plans.fixture.js';

const NAMES = ['m1', 'm2', 'm3'];
/** Outlives the lease, the election and the wait of the next owner. */
const TASK_MILLIS = 40_000;

/**
 * Starts a job of one step on a worker that leaves starts unanswered and carries them out late. The owner
 * goes on repeating them.
 */
async function clusterWithUnansweredStarts() {
  const workers = ['w1', 'w2'].map((name) => ({ name, capacity: cores(4, 1000) }));
  const cluster = emulatedCluster({ workers, configuration: configurationOf() });
  const [held, spare] = [...cluster.workers.values()];
  if (held === undefined || spare === undefined) {
    throw new Error('no workers');
  }
  held.shedsStarts = true;
  spare.isDraining = true;
  cluster.list(spare);
  await Promise.all(NAMES.map((name) => cluster.launch(name)));
  await cluster.run(800);
  const owner = cluster.members.get(cluster.ownerName() ?? '');
  if (owner === undefined) {
    throw new Error('no owner');
  }
  const steps = [stepOf({ count: 4, estimateMillis: TASK_MILLIS })];
  void cluster.request(owner.name, 'submit', jobId(1), planOf(1, steps));
  await cluster.run(500);
  spare.isDraining = false;
  cluster.list(spare);
  return { cluster, owner, held };
}

// Guards against an owner that may not renew leases any more and extends them by repeating starts.
test('an owner that is cut off from the store and the members keeps no run alive by repeating its start', async (t) => {
  const { cluster, owner, held } = await clusterWithUnansweredStarts();
  cluster.partition([owner.name, held.id]);
  for (const member of cluster.members.values()) {
    if (member !== owner) {
      member.workerFaults.unreachable.add(held.id);
    }
  }
  await cluster.run(3000);
  t.is(held.running().length, 4);
  await cluster.run(9000);
  t.deepEqual(cluster.jobs.violations, []);
});
