import test from 'ava';
import { brandAs, type WorkerId } from '@bamboowell/types/ids';
import { clusterWithLongTasks } from './partitions.fixture.js';

const TASKS = 4;
const DOWN_MILLIS = 1000;
/** A task whose worker is lost may wait for 6 s, and for 3 s after that. */
const LONGEST_WAIT_MILLIS = 9000;
const LONGEST_LEASE_MILLIS = 6000;

// Guards against the work of a lost worker that waits for the longest time that the lost owner could have gone on
// without the store, though the members that it would have needed for that are lost as well (LOST).
test('the tasks of a worker that is lost with all members start elsewhere once its lease has ended', async (t) => {
  const cluster = await clusterWithLongTasks();
  await cluster.run(1000);
  const lost = brandAs<WorkerId>('w1');
  const members = [cluster.owner, cluster.companion, cluster.third, cluster.fourth, cluster.fifth];
  cluster.workers.get(lost)?.crash();
  members.forEach((name) => {
    cluster.kill(name);
  });
  const lostAt = cluster.now();
  await cluster.run(DOWN_MILLIS);
  await Promise.all(
    members.filter((name) => name !== cluster.owner).map((name) => cluster.launch(name)),
  );
  while (cluster.jobs.starts === TASKS && cluster.now() - lostAt < 3 * LONGEST_WAIT_MILLIS) {
    await cluster.run(100);
  }
  const waited = cluster.now() - lostAt;
  t.true(waited < LONGEST_WAIT_MILLIS, `after ${waited} ms`);
  t.true(waited > LONGEST_LEASE_MILLIS, `after ${waited} ms`);
  await cluster.run(34_000);
  t.deepEqual(cluster.jobs.violations, []);
});
