import test from 'ava';
import { clusterWithLongTasks } from './partitions.fixture.js';

const TASKS = 4;
/** Shorter than an owner renews leases without the store. */
const OUTAGE_MILLIS = 8000;
/** Until an owner has noticed that a member is gone, and the store has confirmed it since. */
const DEPARTURE_MILLIS = 5000;
const TASKS_END_MILLIS = 34_000;

type RunningCluster = Awaited<ReturnType<typeof clusterWithLongTasks>>;

/** Takes the store away from all for a while; returns how many tasks were started again. */
async function restartsAfterOutage(cluster: RunningCluster): Promise<number> {
  const cut = cluster.partition(['store']);
  await cluster.run(OUTAGE_MILLIS);
  cluster.cuts.remove(cut);
  await cluster.run(TASKS_END_MILLIS);
  return cluster.jobs.starts - TASKS;
}

// Guards against running work that is given up in an outage for want of an attestation of a member that has stopped.
test('running work outlives an outage of the store that follows the shutdown of a member', async (t) => {
  const cluster = await clusterWithLongTasks();
  const stopped = cluster.shutDown(cluster.fifth);
  await cluster.run(DEPARTURE_MILLIS);
  await stopped;
  t.is(await restartsAfterOutage(cluster), 0);
});

test('running work outlives an outage of the store that follows the loss of a member', async (t) => {
  const cluster = await clusterWithLongTasks();
  cluster.kill(cluster.fifth);
  await cluster.run(DEPARTURE_MILLIS);
  t.is(await restartsAfterOutage(cluster), 0);
});

test('running work outlives an outage of the store that follows the restart of a member', async (t) => {
  const cluster = await clusterWithLongTasks();
  cluster.kill(cluster.fifth);
  await cluster.run(500);
  await cluster.launch(cluster.fifth);
  await cluster.run(DEPARTURE_MILLIS);
  t.is(await restartsAfterOutage(cluster), 0);
});

// The earlier process may have claimed the work, and the store can't tell.
test('no task runs twice when a member restarts in an outage of the store', async (t) => {
  const cluster = await clusterWithLongTasks();
  const cut = cluster.partition(['store']);
  await cluster.run(1000);
  cluster.kill(cluster.fifth);
  await cluster.run(300);
  await cluster.launch(cluster.fifth);
  await cluster.run(OUTAGE_MILLIS - 1300);
  cluster.cuts.remove(cut);
  await cluster.run(TASKS_END_MILLIS);
  t.deepEqual(cluster.jobs.violations, []);
  t.is(await cluster.jobStateAt(cluster.third), 'completed');
});
