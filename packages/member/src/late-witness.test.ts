import test from 'ava';
import { cores, jobId } from '@bamboowell/jobs/plans.fixture';
import { emulatedCluster } from './emulated-cluster.fixture.js';
import { configurationOf, planOf, stepOf } from './plans.fixture.js';

const NAMES = ['m1', 'm2', 'm3'];
const WORKERS = ['w1', 'w2', 'w3', 'w4'];
/** Outlives the lease, the election and the wait of a next owner. */
const TASK_MILLIS = 40_000;
/** Longer than an owner asks a member for an attestation that has lost its connection. */
const DISMISSAL_MILLIS = 21_500;
/** Time in which a next owner starts what it takes for lost. */
const TAKEOVER_MILLIS = 20_000;

/**
 * Suspends a member, which the owner takes for lost meanwhile, and cuts the owner and its companion off from
 * the store once the owner no longer asks that member for an attestation; returns what was violated.
 */
async function succeedAfterSuspension(suspensionMillis: number): Promise<readonly string[]> {
  const workers = WORKERS.map((name) => ({ name, capacity: cores(4) }));
  const cluster = emulatedCluster({ workers, configuration: configurationOf() });
  await Promise.all(NAMES.map((name) => cluster.launch(name)));
  await cluster.run(800);
  const owner = cluster.ownerName() ?? '';
  const [companion = '', suspended = ''] = NAMES.filter((name) => name !== owner);
  const isolation = cluster.partition([suspended]);
  ['store', ...WORKERS].forEach((end) => {
    cluster.join(isolation, suspended, end);
  });
  cluster.freeze(suspended, Number.MAX_SAFE_INTEGER);
  await cluster.run(suspensionMillis);
  cluster.thaw(suspended);
  await cluster.run(DISMISSAL_MILLIS - suspensionMillis);
  const step = stepOf({
    count: WORKERS.length,
    demand: cores(2, 50),
    estimateMillis: TASK_MILLIS,
  });
  void cluster.request(owner, 'submit', jobId(1), planOf(1, [step]));
  await cluster.run(500);
  cluster.partition([owner, companion, 'w1', 'w2']);
  await cluster.run(TAKEOVER_MILLIS);
  return cluster.jobs.violations;
}

for (const suspensionMillis of [8000, 14_000, DISMISSAL_MILLIS]) {
  // Guards against a successor that notices the loss of its connection late, so that it still counts as a
  // witness of an owner that no longer asks it for an attestation.
  test(`no run starts elsewhere while it works with an owner that took its successor for lost while that was suspended for ${suspensionMillis} ms`, async (t) => {
    t.deepEqual(await succeedAfterSuspension(suspensionMillis), []);
  });
}
