import test from 'ava';
import { cores, jobId } from '@bamboowell/jobs/plans.fixture';
import { emulatedCluster } from './emulated-cluster.fixture.js';
import { configurationOf, planOf, stepOf } from './plans.fixture.js';

const MEMBERS = ['m1', 'm2', 'm3'];
/** So many that one record with a row for each would be larger than the store takes. */
const MANY_TASKS = 4000;

const LONG_NAME = 'worker-0123456789abcdef.second-hall.data-centre-west';

/** A cluster with one large worker, whose first owner serves. */
async function runningCluster() {
  const workers = [{ name: LONG_NAME, capacity: cores(2 * MANY_TASKS, 1_000_000) }];
  const cluster = emulatedCluster({ workers, configuration: configurationOf() });
  await Promise.all(MEMBERS.map((name) => cluster.launch(name)));
  await cluster.run(800);
  const member = MEMBERS.find((name) => name !== cluster.ownerName()) ?? '';
  /** Sends a request and runs the cluster until it is answered. */
  const request = async (verb: 'submit' | 'query', job: number, steps = [stepOf()]) => {
    const pending = cluster.request(
      member,
      verb,
      jobId(job),
      verb === 'submit' ? planOf(job, steps) : undefined,
    );
    const state = { isSettled: false };
    void pending.then(() => {
      state.isSettled = true;
    });
    for (let waited = 0; !state.isSettled && waited < 6000; waited += 20) {
      await cluster.run(20);
    }
    return pending;
  };
  return { cluster, request };
}

// Guards against a job with thousands of tasks whose record stops all jobs of the cluster (LOST).
test('a job with thousands of tasks keeps no other job from being done', async (t) => {
  const { cluster, request } = await runningCluster();
  const wide = stepOf({ count: MANY_TASKS, demand: cores(1, 1), estimateMillis: 100_000 });
  t.like(await request('submit', 1, [wide]), { kind: 'accepted' });
  await cluster.run(3000);
  t.true(cluster.jobs.starts > 0.9 * MANY_TASKS, `${cluster.jobs.starts} starts`);
  t.like(await request('submit', 2), { kind: 'accepted' });
  await cluster.run(3000);
  t.deepEqual(await request('query', 2), { kind: 'state', state: 'completed' });
  t.deepEqual(await request('query', 1), { kind: 'state', state: 'running' });
  t.deepEqual(cluster.jobs.violations, []);
});

// Guards against a refusal that never changes and is retried for ever, while nothing is stored for any job
// (LOST).
test('a job of which the store rejects a record is given up, and all others are done', async (t) => {
  const { cluster, request } = await runningCluster();
  cluster.store.rejectedKeys.add(`progress/${jobId(2)}`);
  const owner = cluster.ownerName();
  for (const job of [1, 2, 3]) {
    t.like(await request('submit', job), { kind: 'accepted' });
  }
  await cluster.run(3000);
  for (const job of [1, 3]) {
    t.deepEqual(await request('query', job), { kind: 'state', state: 'completed' });
  }
  t.deepEqual(await request('query', 2), { kind: 'state', state: 'failed' });
  t.is(cluster.ownerName(), owner);
  t.true(cluster.log.some((line) => line.includes('event=record.rejected')));
});

test('a job whose plan the store rejects is refused', async (t) => {
  const { cluster, request } = await runningCluster();
  cluster.store.rejectedKeys.add(`spec/${jobId(2)}`);
  t.like(await request('submit', 1), { kind: 'accepted' });
  const reply = await request('submit', 2);
  t.is(reply?.kind, 'refused');
  cluster.store.rejectedKeys.clear();
  t.like(await request('submit', 2), { kind: 'accepted' });
});
