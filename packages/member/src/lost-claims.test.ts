import test from 'ava';
import { cores, jobId } from '@bamboowell/jobs/plans.fixture';
import { emulatedCluster } from './emulated-cluster.fixture.js';
import { configurationOf, planOf, stepOf } from './plans.fixture.js';

const NAMES = ['m1', 'm2', 'm3'];
const TASKS = 4;
const TASK_MILLIS = 20_000;
/** The owner asks to be replaced, and the claim of a member has had no answer. */
const STALL_MILLIS = 3200;
/** Far longer than a call to the store may be carried out late. */
const CALM_MILLIS = 60_000;
/** Shorter than an owner renews leases without the store. */
const OUTAGE_MILLIS = 8000;
const TASKS_END_MILLIS = 34_000;

// Guards against a member that cannot attest for as long as its lost claim could have taken effect in theory.
test('running work outlives an outage of the store long after a claim was lost', async (t) => {
  const workers = ['w1', 'w2', 'w3', 'w4'].map((name) => ({ name, capacity: cores(4) }));
  const cluster = emulatedCluster({ workers, configuration: configurationOf() });
  await Promise.all(NAMES.map((name) => cluster.launch(name)));
  await cluster.run(800);
  const owner = cluster.ownerName() ?? '';
  for (const { name, storeFaults } of cluster.members.values()) {
    if (name === owner) {
      storeFaults.mode = 'silent';
    } else {
      storeFaults.silentTopic = 'ownership';
    }
  }
  await cluster.run(STALL_MILLIS);
  t.true(cluster.log.some((line) => line.includes('event=owner.claimed outcome=unavailable')));
  for (const { storeFaults } of cluster.members.values()) {
    storeFaults.mode = 'up';
    storeFaults.silentTopic = undefined;
  }
  await cluster.run(CALM_MILLIS);
  t.is(cluster.ownerName(), owner);
  const steps = [stepOf({ count: TASKS, demand: cores(2, 50), estimateMillis: TASK_MILLIS })];
  void cluster.request(owner, 'submit', jobId(1), planOf(1, steps));
  await cluster.run(500);
  const cut = cluster.partition(['store']);
  await cluster.run(OUTAGE_MILLIS);
  cluster.cuts.remove(cut);
  await cluster.run(TASKS_END_MILLIS);
  t.is(cluster.jobs.starts, TASKS);
});
