import test from 'ava';
import { cores, jobId } from '@bamboowell/jobs/plans.fixture';
import { emulatedCluster } from './emulated-cluster.fixture.js';
import { configurationOf, planOf, stepOf } from './plans.fixture.js';

const NAMES = ['m1', 'm2', 'm3'];
/** Outlives the lease, the election and the wait of a next owner. */
const TASK_MILLIS = 40_000;
/** Time in which a next owner starts what it takes for lost. */
const TAKEOVER_MILLIS = 14_000;

/** What the owner can't reach while it is suspended and after that. */
type Cut = 'nothing' | 'store' | 'store_and_members';

interface Suspension {
  readonly millis: number;
  /** Time from the submission of the job to the suspension: a poll may be in any phase then. */
  readonly afterMillis: number;
  readonly cut: Cut;
}

/**
 * Suspends an owner that alone reaches the workers that have work, and no others; returns what was violated.
 */
async function suspendOwner({ millis, afterMillis, cut }: Suspension): Promise<string[]> {
  const workers = ['w1', 'w2', 'w3', 'w4'].map((name) => ({ name, capacity: cores(4) }));
  const cluster = emulatedCluster({ workers, configuration: configurationOf() });
  await Promise.all(NAMES.map((name) => cluster.launch(name)));
  await cluster.run(800);
  const name = cluster.ownerName() ?? '';
  const owner = cluster.members.get(name);
  const steps = [stepOf({ count: 2, estimateMillis: TASK_MILLIS })];
  void cluster.request(name, 'submit', jobId(1), planOf(1, steps));
  await cluster.run(afterMillis);
  const all = [...cluster.workers.values()];
  const held = all.filter((worker) => worker.running().length > 0);
  if (owner === undefined || held.length === 0) {
    throw new Error('no owner has started the job');
  }
  for (const member of cluster.members.values()) {
    const isHeldReached = member === owner;
    all
      .filter((worker) => held.includes(worker) !== isHeldReached)
      .forEach(({ id }) => member.workerFaults.unreachable.add(id));
  }
  owner.storeFaults.mode = cut === 'nothing' ? 'up' : 'silent';
  const partition = cluster.partition([name]);
  ['store', ...cluster.workers.keys()].forEach((end) => {
    cluster.join(partition, name, end);
  });
  cluster.freeze(name, Number.MAX_SAFE_INTEGER);
  await cluster.run(millis);
  cluster.thaw(name);
  if (cut !== 'store_and_members') {
    cluster.cuts.remove(partition);
  }
  await cluster.run(TAKEOVER_MILLIS - millis);
  return cluster.jobs.violations.map(
    (text) => `suspended for ${millis} ms, ${afterMillis} ms after the submission: ${text}`,
  );
}

const CASES: [Cut, string][] = [
  ['nothing', 'reaches the store'],
  ['store', "doesn't reach the store any more"],
  ['store_and_members', "doesn't reach the store and the members any more"],
];

for (const [cut, title] of CASES) {
  // Guards against renewals by an owner that doesn't know that it has been silent: they keep runs alive that
  // the next owner takes for lost.
  test(`an owner that was suspended and ${title} keeps no run alive that the next owner starts again`, async (t) => {
    const violations: string[] = [];
    for (let millis = 1000; millis <= 12_000; millis += millis < 4500 ? 500 : 2500) {
      for (let afterMillis = 300; afterMillis < 1800; afterMillis += 300) {
        violations.push(...(await suspendOwner({ millis, afterMillis, cut })));
      }
    }
    t.deepEqual(violations, []);
  });
}

// Guards against an earlier owner that no member tells of the next one: it has greeted nobody, so that the next
// owner doesn't know where it accepts connections, and whom it tells of its own claim don't answer.
test('an earlier owner that reaches the members again, but not the store, hands requests to the next owner', async (t) => {
  const cluster = emulatedCluster({
    workers: [{ name: 'w1', capacity: cores(4) }],
    configuration: configurationOf(),
  });
  await Promise.all(NAMES.map((name) => cluster.launch(name)));
  await cluster.run(800);
  const earlier = cluster.ownerName() ?? '';
  const member = cluster.members.get(earlier);
  if (member === undefined) {
    throw new Error('no owner');
  }
  member.storeFaults.mode = 'silent';
  const partition = cluster.partition([earlier]);
  await cluster.run(5000);
  cluster.cuts.remove(partition);
  await cluster.run(3000);
  t.not(cluster.ownerName(), earlier);
  const reply = cluster.request(earlier, 'submit', jobId(1), planOf(1));
  await cluster.run(4000);
  t.like(await reply, { kind: 'accepted' });
});
