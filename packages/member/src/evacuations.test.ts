import test from 'ava';
import { cores, jobId } from '@bamboowell/jobs/plans.fixture';
import { emulatedCluster } from './emulated-cluster.fixture.js';
import { configurationOf, planOf, stepOf } from './plans.fixture.js';

const NAMES = ['m1', 'm2', 'm3'];
const BOUND_MILLIS = 5000;
const FOLLOWED = { evacuationBoundMillis: BOUND_MILLIS };
const KEY = 'evacuate/west';
/** Many more short tasks than fit at a time, so that some start all the time. */
const BACKLOG = [stepOf({ count: 600, demand: cores(1, 50), estimateMillis: 400 })];

/** A cluster of two data centres whose workers always have work to start. */
async function busyCluster(settings: { readonly evacuationBoundMillis?: number } = FOLLOWED) {
  const zones = ['west', 'west', 'east', 'east'];
  const workers = zones.map((zone, index) => ({ name: `w${index}`, capacity: cores(4), zone }));
  const cluster = emulatedCluster({
    workers,
    configuration: configurationOf(),
    ...settings,
  });
  await Promise.all(NAMES.map((name) => cluster.launch(name)));
  await cluster.run(1000);
  void cluster.request('m1', 'submit', jobId(1), planOf(1, BACKLOG));
  await cluster.run(1000);
  return {
    ...cluster,
    /** Number of runs that began in the data centre from then on. */
    startsIn: (zone: string, since: number): number =>
      [...cluster.workers.values()]
        .filter((worker) => worker.zone === zone)
        .flatMap(({ startedRunsAt }) => startedRunsAt)
        .filter((at) => at >= since).length,
    count: (event: string): number =>
      cluster.log.filter((line) => line.includes(`event=${event} `)).length,
    setSilent: (isSilent: boolean): void => {
      cluster.members.forEach(({ storeFaults }) => {
        storeFaults.silentTopic = isSilent ? 'operator' : undefined;
      });
    },
  };
}

test('work moves out of an evacuated data centre at once, and back when the record is deleted', async (t) => {
  const cluster = await busyCluster();
  t.true(cluster.startsIn('west', 0) > 0);
  cluster.declareOther(KEY, '{}');
  await cluster.run(200);
  const since = cluster.now();
  await cluster.run(3000);
  t.is(cluster.startsIn('west', since), 0);
  t.true(cluster.startsIn('east', since) > 0);
  cluster.declareOther(KEY, undefined);
  await cluster.run(1000);
  t.true(cluster.startsIn('west', since) > 0);
  t.is(cluster.count('evacuation.began'), 1);
  t.is(cluster.count('evacuation.ended'), 1);
  t.deepEqual(cluster.jobs.violations, []);
});

// Guards against a new owner that starts tasks before it knows of the evacuations.
test('a new owner starts nothing in a data centre that was evacuated before its term', async (t) => {
  const cluster = await busyCluster();
  cluster.declareOther(KEY, 'unreadable');
  await cluster.run(200);
  const since = cluster.now();
  const owner = cluster.ownerName() ?? '';
  cluster.kill(owner);
  cluster.setSilent(true);
  await cluster.run(2000);
  cluster.setSilent(false);
  await cluster.run(6000);
  t.not(cluster.ownerName(), owner);
  t.is(cluster.startsIn('west', since), 0);
  t.true(cluster.startsIn('east', cluster.now() - 2000) > 0);
  t.is(cluster.count('evacuation.began'), 2);
  cluster.declareOther(KEY, undefined);
  await cluster.run(1000);
  t.true(cluster.startsIn('west', since) > 0);
  t.deepEqual(cluster.jobs.violations, []);
});

// Guards against starts in a data centre whose evacuation the owner could not read.
test('nothing is started while the operator topic is unreadable, and soon after it is back', async (t) => {
  const cluster = await busyCluster();
  cluster.setSilent(true);
  cluster.declareOther(KEY, '{}');
  const writtenAt = cluster.now();
  await cluster.run(BOUND_MILLIS / 2 + 500);
  t.is(cluster.count('evacuations.outdated'), 1);
  const since = cluster.now();
  await cluster.run(6000);
  t.is(cluster.startsIn('west', since) + cluster.startsIn('east', since), 0);
  cluster.setSilent(false);
  await cluster.run(1000);
  t.is(cluster.startsIn('west', writtenAt + BOUND_MILLIS), 0);
  t.true(cluster.startsIn('east', since) > 0);
  t.deepEqual(cluster.jobs.violations, []);
});

// Guards against an owner without a scheduler, whose workers would end their runs when their leases lapse.
test('a new owner that can not read the operator topic keeps the runs, and starts nothing', async (t) => {
  const cluster = await busyCluster();
  cluster.setSilent(true);
  cluster.kill(cluster.ownerName() ?? '');
  await cluster.run(6000);
  t.true(cluster.count('owner.ready') >= 2);
  const since = cluster.now();
  await cluster.run(3000);
  t.is(cluster.startsIn('west', since) + cluster.startsIn('east', since), 0);
  cluster.setSilent(false);
  await cluster.run(1000);
  t.true(cluster.startsIn('west', since) > 0);
  t.deepEqual(cluster.jobs.violations, []);
});

// Guards against starts that were recorded before an outage of the store, and are sent when it ends.
test('an evacuation during an outage of the store is in force when the store is back, and work goes on', async (t) => {
  const cluster = await busyCluster();
  const setMode = (mode: 'up' | 'silent'): void => {
    cluster.members.forEach(({ storeFaults }) => {
      storeFaults.mode = mode;
    });
  };
  setMode('silent');
  await cluster.run(500);
  cluster.declareOther(KEY, '{}');
  await cluster.run(3700);
  const since = cluster.now();
  setMode('up');
  await cluster.run(2500);
  t.is(cluster.startsIn('west', since), 0);
  t.true(cluster.startsIn('east', since) > 0);
  t.deepEqual(cluster.jobs.violations, []);
});

test('the records are not followed where the deployment does not call for it', async (t) => {
  const cluster = await busyCluster({});
  cluster.declareOther(KEY, '{}');
  const since = cluster.now();
  await cluster.run(3000);
  t.true(cluster.startsIn('west', since + 2000) > 0);
});
