import test from 'ava';
import { jobId } from '@bamboowell/jobs/plans.fixture';
import { emulatedCluster } from './emulated-cluster.fixture.js';
import { configurationOf, planOf } from './plans.fixture.js';

const NAMES = ['m1', 'm2', 'm3'];
/** Longer than a configuration counts as the latest one. */
const SUSPENSION_MILLIS = 6000;

// Guards against an age of the configuration that doesn't count the time for which the machine was suspended.
test('a member that was suspended refuses no job for want of a queue that was added meanwhile', async (t) => {
  const cluster = emulatedCluster({ configuration: { ...configurationOf(1), queues: [] } });
  await Promise.all(NAMES.map((name) => cluster.launch(name)));
  await cluster.run(1500);
  const name = NAMES.find((each) => each !== cluster.ownerName()) ?? '';
  const partition = cluster.partition([name]);
  cluster.join(partition, name, 'store');
  cluster.freeze(name, Number.MAX_SAFE_INTEGER);
  await cluster.run(100);
  cluster.declare(configurationOf(2));
  await cluster.run(SUSPENSION_MILLIS);
  cluster.thaw(name);
  cluster.cuts.remove(partition);
  const reply = cluster.request(name, 'submit', jobId(1), planOf(1));
  await cluster.run(4000);
  t.not((await reply)?.kind, 'unknown_queue');
});
