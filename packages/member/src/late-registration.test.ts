import test from 'ava';
import { brandAs, type Offset, type WorkerId } from '@bamboowell/types/ids';
import type { WorkerRegistration } from '@bamboowell/types/job';
import { cores, jobId } from '@bamboowell/jobs/plans.fixture';
import { planOf, stepOf } from './plans.fixture.js';
import { clusterWithLongTasks, type RunningCluster } from './partitions.fixture.js';

const DOWN_MILLIS = 300;
/** For the lost task to run again, and for another member to take the work over. */
const SETTLE_MILLIS = 4000;
/** Until a report has listed a run. */
const LISTED_MILLIS = 2500;
const TASK_MILLIS = 20_000;
const TASKS_END_MILLIS = 34_000;

function register({ store }: RunningCluster, registration: WorkerRegistration): void {
  const end = brandAs<Offset>(store.topic('workers').records.length);
  const write = { key: registration.id, value: JSON.stringify(registration) };
  store.append('workers', [write], { kind: 'end_is', end });
}

for (const [address, isRestored] of [
  ['w1:80', false],
  ['elsewhere:80', false],
  ['elsewhere:80', true],
] as const) {
  const runs = isRestored ? 'restored runs' : 'runs';
  // Guards against tasks that run twice because the store takes in a report of their worker's earlier process late,
  // which only an owner before the present one has seen end (TWICE).
  test(`${runs} go on when the store lists an earlier process of their worker at ${address}`, async (t) => {
    const cluster = await clusterWithLongTasks();
    const worker = cluster.workers.get(brandAs<WorkerId>('w1'));
    if (worker === undefined) {
      throw new Error('no worker w1');
    }
    const late = { ...worker.registration(), address };
    worker.crash();
    await cluster.run(DOWN_MILLIS);
    worker.restart();
    cluster.list(worker);
    await cluster.run(SETTLE_MILLIS);
    const submit = async (): Promise<void> => {
      // Only the restarted worker has room for it.
      const step = stepOf({ count: 1, demand: cores(4, 50), estimateMillis: TASK_MILLIS });
      void cluster.request(cluster.companion, 'submit', jobId(2), planOf(2, [step]));
      await cluster.run(LISTED_MILLIS);
      t.deepEqual(worker.running().map(String), [`${jobId(2)}.0.0.0`]);
    };
    if (isRestored) {
      await submit();
    }
    cluster.kill(cluster.owner);
    await cluster.run(SETTLE_MILLIS);
    if (!isRestored) {
      await submit();
    }
    const { starts } = cluster.jobs;
    register(cluster, late);
    await cluster.run(SETTLE_MILLIS);
    cluster.list(worker);
    await cluster.run(TASKS_END_MILLIS);
    t.is(cluster.jobs.starts, starts);
    t.deepEqual(cluster.jobs.violations, []);
    t.is(await cluster.jobStateAt(cluster.companion), 'completed');
  });
}
