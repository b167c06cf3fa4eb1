import test, { type ExecutionContext } from 'ava';
import { clusterWithLongTasks, type RunningCluster } from './partitions.fixture.js';

const TASKS = 4;
/** Until all leases that an earlier owner can have granted before a cut have ended. */
const LEASES_END_MILLIS = 9000;
/** The same for an owner that the next one was never connected to, and that may rely on other members. */
const UNKNOWN_LEASES_END_MILLIS = 18_000;
/** Until tasks that were started again have ended. */
const TASKS_END_MILLIS = 34_000;

/**
 * Runs on until the work of the cut-off workers has been taken over, heals all cuts, and checks that no
 * task has run twice at a time and that the job completes.
 */
async function checkTakenOver(
  t: ExecutionContext,
  cluster: RunningCluster,
  heal: () => void,
  leasesEndMillis = LEASES_END_MILLIS,
): Promise<void> {
  await cluster.run(leasesEndMillis);
  t.true(cluster.jobs.starts > TASKS, 'the work of the cut-off workers was started again');
  heal();
  await cluster.run(TASKS_END_MILLIS);
  t.is(await cluster.jobStateAt(cluster.third), 'completed');
  t.deepEqual(cluster.jobs.violations, []);
}

test('with all members on one side of a cut but without the store, running work goes on for 8 s', async (t) => {
  const cluster = await clusterWithLongTasks();
  const cut = cluster.partition(['store']);
  await cluster.run(8000);
  cluster.cuts.remove(cut);
  await cluster.run(TASKS_END_MILLIS);
  t.is(await cluster.jobStateAt(cluster.third), 'completed');
  t.deepEqual(cluster.jobs.violations, []);
  t.is(cluster.jobs.starts, TASKS);
  t.is(cluster.countOf('run.lost'), 0);
});

test('with all members on one side of a cut but without the store, running work goes on for 5 s', async (t) => {
  const cluster = await clusterWithLongTasks();
  const cut = cluster.partition(['store']);
  await cluster.run(5000);
  cluster.cuts.remove(cut);
  await cluster.run(TASKS_END_MILLIS);
  t.is(await cluster.jobStateAt(cluster.third), 'completed');
  t.deepEqual(cluster.jobs.violations, []);
  t.is(cluster.jobs.starts, TASKS);
  t.is(cluster.countOf('run.lost'), 0);
});

test('no run starts elsewhere while it works with an owner that is cut off alone', async (t) => {
  const cluster = await clusterWithLongTasks();
  const cut = cluster.partition([cluster.owner, 'w1', 'w2']);
  await checkTakenOver(t, cluster, () => {
    cluster.cuts.remove(cut);
  });
});

// Guards against an owner without the store that renews leases because a member is connected to it.
test('no run starts elsewhere while it works with an owner and a companion that are cut off from the store', async (t) => {
  const cluster = await clusterWithLongTasks();
  const cut = cluster.partition([cluster.owner, cluster.companion, 'w1', 'w2']);
  await checkTakenOver(t, cluster, () => {
    cluster.cuts.remove(cut);
  });
});

// Guards against an owner that knows of no member which could claim, while one starts at the store's side.
test('no run starts elsewhere while it works with an owner whose only rival started during the cut', async (t) => {
  const cluster = await clusterWithLongTasks();
  const { owner, companion, third, fourth, fifth } = cluster;
  const cut = cluster.partition([owner, companion, third, fourth, fifth, 'w1', 'w2']);
  await cluster.run(1500);
  await cluster.launch('m6');
  const heal = (): void => {
    cluster.cuts.remove(cut);
  };
  await checkTakenOver(t, cluster, heal, UNKNOWN_LEASES_END_MILLIS);
});

// Guards against an owner that relies on what a member said before that member's process was replaced.
test('no run starts elsewhere while it works with an owner whose only rival restarted during the cut', async (t) => {
  const cluster = await clusterWithLongTasks();
  const { owner, companion, third, fourth, fifth } = cluster;
  const cut = cluster.partition([owner, companion, third, fourth, 'w1', 'w2']);
  cluster.kill(fifth);
  await cluster.run(300);
  await cluster.launch(fifth);
  const heal = (): void => {
    cluster.cuts.remove(cut);
  };
  await checkTakenOver(t, cluster, heal, UNKNOWN_LEASES_END_MILLIS);
});

// Guards against a claim that an owner learns of only after the new one has waited for its leases.
test('no run starts elsewhere while it works with an owner whose companion reaches the store again', async (t) => {
  const cluster = await clusterWithLongTasks();
  const { owner, companion } = cluster;
  const cut = cluster.partition([owner, companion, 'w1', 'w2']);
  await cluster.run(5000);
  cluster.join(cut, companion, 'store');
  await checkTakenOver(t, cluster, () => {
    cluster.cuts.remove(cut);
  });
});

// Guards against an owner that takes a connection from the other side for a proof of its ownership.
test('no run starts elsewhere while it works with an owner that members on the other side reach again', async (t) => {
  const cluster = await clusterWithLongTasks();
  const { owner, third, fourth, fifth } = cluster;
  const cut = cluster.partition([owner, 'w1', 'w2']);
  await cluster.run(700);
  cluster.join(cut, owner, third);
  await cluster.run(1300);
  cluster.join(cut, owner, fourth);
  cluster.join(cut, owner, fifth);
  await checkTakenOver(t, cluster, () => {
    cluster.cuts.remove(cut);
  });
});

test('runs on workers that the new owner reaches in time go on', async (t) => {
  const cluster = await clusterWithLongTasks();
  const { owner, companion, third, fourth, fifth } = cluster;
  const cut = cluster.partition([owner, companion, 'w1', 'w2']);
  await cluster.run(3000);
  for (const member of [third, fourth, fifth]) {
    cluster.join(cut, member, 'w1');
    cluster.join(cut, member, 'w2');
  }
  await cluster.run(LEASES_END_MILLIS);
  cluster.cuts.remove(cut);
  await cluster.run(TASKS_END_MILLIS);
  t.is(await cluster.jobStateAt(third), 'completed');
  t.deepEqual(cluster.jobs.violations, []);
  t.is(cluster.jobs.starts, TASKS);
});

test('no run starts elsewhere while it works with an owner that its companion does not hear', async (t) => {
  const cluster = await clusterWithLongTasks();
  const { owner, companion } = cluster;
  const cut = cluster.partition([owner, companion, 'w1', 'w2']);
  const oneWay = cluster.cutOneWay([owner], [companion]);
  await checkTakenOver(t, cluster, () => {
    cluster.cuts.remove(cut);
    cluster.cuts.remove(oneWay);
  });
});

test('no run starts elsewhere while it works with an owner that does not hear its companion', async (t) => {
  const cluster = await clusterWithLongTasks();
  const { owner, companion } = cluster;
  const cut = cluster.partition([owner, companion, 'w1', 'w2']);
  const oneWay = cluster.cutOneWay([companion], [owner]);
  await checkTakenOver(t, cluster, () => {
    cluster.cuts.remove(cut);
    cluster.cuts.remove(oneWay);
  });
});

// Guards against renewals whose answers are lost: they extend leases all the same.
test('no run starts elsewhere while it works on a worker whose answers do not arrive', async (t) => {
  const cluster = await clusterWithLongTasks();
  const { owner, companion, third, fourth, fifth } = cluster;
  const cut = cluster.cutOneWay(['w1', 'w2'], [owner, companion, third, fourth, fifth]);
  await checkTakenOver(t, cluster, () => {
    cluster.cuts.remove(cut);
  });
});

// Guards against an owner that takes appends for refused whose answers alone are lost.
test('no run starts elsewhere while it works with an owner that hears neither the store nor its rivals', async (t) => {
  const cluster = await clusterWithLongTasks();
  const { owner, companion, third, fourth, fifth } = cluster;
  const cut = cluster.cutOneWay(['store', third, fourth, fifth], [owner, companion, 'w1', 'w2']);
  await checkTakenOver(t, cluster, () => {
    cluster.cuts.remove(cut);
  });
});

// Guards against a confirmation of ownership whose age leaves out the time that the owner stood still.
test('no run starts elsewhere while it works with an owner that stood still and wakes up alone', async (t) => {
  const cluster = await clusterWithLongTasks();
  cluster.freeze(cluster.owner);
  await cluster.run(1500);
  const cut = cluster.partition([cluster.owner, 'w1', 'w2']);
  await cluster.run(900);
  cluster.thaw(cluster.owner);
  await checkTakenOver(t, cluster, () => {
    cluster.cuts.remove(cut);
  });
});

test('no run starts elsewhere while it works with an owner that stood still and wakes up with a companion', async (t) => {
  const cluster = await clusterWithLongTasks();
  cluster.freeze(cluster.owner);
  await cluster.run(1000);
  const cut = cluster.partition([cluster.owner, cluster.companion, 'w1', 'w2']);
  await cluster.run(1400);
  cluster.thaw(cluster.owner);
  await checkTakenOver(t, cluster, () => {
    cluster.cuts.remove(cut);
  });
});

// Guards against a renewal that was due while the owner stood still and is sent before it looks around.
test('no run starts elsewhere while it works with an owner that stood still for longer than its leases', async (t) => {
  const cluster = await clusterWithLongTasks();
  cluster.freeze(cluster.owner);
  await cluster.run(500);
  const cut = cluster.partition([cluster.owner, cluster.companion, 'w1', 'w2']);
  await cluster.run(3400);
  cluster.thaw(cluster.owner);
  await checkTakenOver(t, cluster, () => {
    cluster.cuts.remove(cut);
  });
});
