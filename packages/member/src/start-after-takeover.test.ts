import test from 'ava';
import { cores, jobId } from '@bamboowell/jobs/plans.fixture';
import { brandAs, type WorkerId } from '@bamboowell/types/ids';
import { emulatedCluster } from './emulated-cluster.fixture.js';
import { configurationOf, planOf, stepOf } from './plans.fixture.js';

const NAMES = ['m1', 'm2', 'm3'];
const WORKERS = ['w1', 'w2', 'w3', 'w4'];
const TASK_MILLIS = 40_000;
const TAKEOVER_MILLIS = 4000;
const RESTART_MILLIS = 60;
/** Until the next owner has started what it takes for lost. */
const LEASES_END_MILLIS = 8000;

/**
 * Suspends an owner around the first starts of a job, and resumes it when the next owner has taken the work over
 * and only one worker is on its side of a cut, whose process is replaced then; returns what was violated.
 */
async function resumeEarlierOwner(afterMillis: number): Promise<readonly string[]> {
  const workers = WORKERS.map((name) => ({ name, capacity: cores(4) }));
  const cluster = emulatedCluster({ workers, configuration: configurationOf() });
  await Promise.all(NAMES.map((name) => cluster.launch(name)));
  await cluster.run(800);
  const owner = cluster.ownerName() ?? '';
  const steps = [stepOf({ count: 4, demand: cores(2, 50), estimateMillis: TASK_MILLIS })];
  void cluster.request(owner, 'submit', jobId(1), planOf(1, steps));
  await cluster.run(afterMillis);
  const isolation = cluster.partition([owner]);
  WORKERS.forEach((worker) => {
    cluster.join(isolation, owner, worker);
  });
  cluster.freeze(owner, Number.MAX_SAFE_INTEGER);
  await cluster.run(TAKEOVER_MILLIS);
  cluster.thaw(owner);
  await cluster.run(500);
  cluster.partition([owner, 'w1']);
  const worker = cluster.workers.get(brandAs<WorkerId>('w1'));
  worker?.crash();
  await cluster.run(RESTART_MILLIS);
  worker?.restart();
  await cluster.run(LEASES_END_MILLIS);
  return cluster.jobs.violations.map((text) => `${afterMillis} ms after the submission: ${text}`);
}

// Guards against an earlier owner whose refused starts go on until the next process of a worker takes one.
test('no start of an owner that has no proof of its ownership reaches the next process of a worker', async (t) => {
  const violations: string[] = [];
  for (let afterMillis = 30; afterMillis <= 60; afterMillis += 2) {
    violations.push(...(await resumeEarlierOwner(afterMillis)));
  }
  t.deepEqual(violations, []);
});
