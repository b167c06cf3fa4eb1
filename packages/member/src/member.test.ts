import test from 'ava';
import { brandAs } from '@bamboowell/types/ids';
import { emulatedCluster, type ClusterOptions } from './emulated-cluster.fixture.js';
import { cores, jobId } from '@bamboowell/jobs/plans.fixture';
import { configurationOf, planOf, stepOf } from './plans.fixture.js';

const NAMES = ['m1', 'm2', 'm3'];

/** Starts three members and four workers and waits until an owner serves. */
async function runningCluster(options: Partial<ClusterOptions> = {}) {
  const workers = ['w1', 'w2', 'w3', 'w4'].map((name) => ({ name, capacity: cores(4) }));
  const cluster = emulatedCluster({ workers, configuration: configurationOf(), ...options });
  await Promise.all(NAMES.map((name) => cluster.launch(name)));
  await cluster.run(800);
  return cluster;
}

type Cluster = Awaited<ReturnType<typeof runningCluster>>;

/** Runs the cluster until the promise is settled. */
async function runUntilSettled<Value>(cluster: Cluster, pending: Promise<Value>): Promise<Value> {
  const state = { isSettled: false };
  void pending.then(() => {
    state.isSettled = true;
  });
  for (let waited = 0; !state.isSettled && waited < 6000; waited += 20) {
    await cluster.run(20);
  }
  return pending;
}

function follower(cluster: Cluster): string {
  return NAMES.find((name) => name !== cluster.ownerName()) ?? '';
}

async function stateAt(cluster: Cluster, member: string, job: number) {
  return runUntilSettled(cluster, cluster.request(member, 'query', jobId(job)));
}

test('a job submitted to a member that is not the owner runs, and every member reports it as completed', async (t) => {
  const cluster = await runningCluster();
  const reply = await runUntilSettled(
    cluster,
    cluster.request(follower(cluster), 'submit', jobId(1), planOf(1)),
  );
  t.deepEqual(reply, { kind: 'accepted', repeated: false });
  await cluster.run(1500);
  for (const name of NAMES) {
    t.deepEqual(await stateAt(cluster, name, 1), { kind: 'state', state: 'completed' });
  }
  t.deepEqual(cluster.jobs.violations, []);
});

test('after the owner is killed another member serves within two seconds and takes the running tasks over', async (t) => {
  const cluster = await runningCluster();
  const steps = [stepOf({ count: 6, estimateMillis: 3000 })];
  await runUntilSettled(
    cluster,
    cluster.request(follower(cluster), 'submit', jobId(1), planOf(1, steps)),
  );
  await cluster.run(500);
  const owner = cluster.ownerName() ?? '';
  const killedAt = cluster.now();
  cluster.kill(owner);
  const reply = await runUntilSettled(
    cluster,
    cluster.request(follower(cluster), 'submit', jobId(2), planOf(2)),
  );
  t.like(reply, { kind: 'accepted' });
  t.true(cluster.now() - killedAt < 2000, `served after ${cluster.now() - killedAt} ms`);
  await cluster.run(6000);
  t.deepEqual(await stateAt(cluster, cluster.ownerName() ?? '', 1), {
    kind: 'state',
    state: 'completed',
  });
  t.deepEqual(cluster.jobs.violations, []);
  t.true(cluster.jobs.starts <= 8, 'running tasks were taken over, not restarted');
});

test('an owner whose process has ended is replaced within 300 ms, because its machine refuses connections', async (t) => {
  const cluster = await runningCluster();
  cluster.kill(cluster.ownerName() ?? '');
  const killedAt = cluster.now();
  await runUntilSettled(cluster, cluster.request(follower(cluster), 'submit', jobId(1), planOf(1)));
  t.true(cluster.now() - killedAt <= 300, `served after ${cluster.now() - killedAt} ms`);
});

// Guards against members that give up on a busy owner and redial it for as long as it is busy.
test('members wait for a busy new owner to answer the hello, and a job is accepted within 2.5 seconds', async (t) => {
  const cluster = await runningCluster();
  cluster.kill(cluster.ownerName() ?? '');
  cluster.members.forEach(({ peers }) => {
    if (peers !== undefined) {
      peers.lagMillis = 300;
    }
  });
  const killedAt = cluster.now();
  await cluster.run(400);
  const member = [...cluster.members.keys()].find((name) => name !== cluster.ownerName()) ?? '';
  const reply = await runUntilSettled(
    cluster,
    cluster.request(member, 'submit', jobId(1), planOf(1)),
  );
  t.like(reply, { kind: 'accepted' });
  t.true(cluster.now() - killedAt < 2500, `served after ${cluster.now() - killedAt} ms`);
  t.deepEqual(
    cluster.log.filter((line) => line.includes('detail=not_owner')),
    [],
  );
});

test('a frozen owner is replaced within 2.5 seconds, and does not report an accepted job as unknown once it is thawed', async (t) => {
  const cluster = await runningCluster();
  const owner = cluster.ownerName() ?? '';
  cluster.freeze(owner);
  const frozenAt = cluster.now();
  const reply = await runUntilSettled(
    cluster,
    cluster.request(follower(cluster), 'submit', jobId(1), planOf(1)),
  );
  t.like(reply, { kind: 'accepted' });
  t.true(cluster.now() - frozenAt < 2500, `served after ${cluster.now() - frozenAt} ms`);
  cluster.thaw(owner);
  // The earlier owner doesn't know the job, but must not report it as unknown.
  const state = await stateAt(cluster, owner, 1);
  t.not(state?.kind, 'unknown_job');
  await cluster.run(2000);
  t.deepEqual(await stateAt(cluster, owner, 1), { kind: 'state', state: 'completed' });
  t.deepEqual(cluster.jobs.violations, []);
});

test('accepted jobs are resumed after all members lose power at once', async (t) => {
  const cluster = await runningCluster();
  const steps = [stepOf({ count: 3, estimateMillis: 2000 }), stepOf({ after: [0] })];
  await runUntilSettled(cluster, cluster.request('m1', 'submit', jobId(1), planOf(1, steps)));
  await cluster.run(300);
  NAMES.forEach((name) => {
    cluster.kill(name);
  });
  await cluster.run(7000);
  await Promise.all(NAMES.map((name) => cluster.launch(name)));
  await cluster.run(6000);
  t.deepEqual(await stateAt(cluster, 'm2', 1), { kind: 'state', state: 'completed' });
  t.deepEqual(cluster.jobs.violations, []);
});

test('an owner refused by the store is replaced by a member that can reach the store', async (t) => {
  const cluster = await runningCluster();
  const owner = cluster.ownerName() ?? '';
  const faults = cluster.members.get(owner)?.storeFaults;
  if (faults !== undefined) {
    faults.mode = 'refusing';
  }
  const refusedAt = cluster.now();
  const reply = await runUntilSettled(
    cluster,
    cluster.request(follower(cluster), 'submit', jobId(1), planOf(1)),
  );
  t.like(reply, { kind: 'accepted' });
  t.not(cluster.ownerName(), owner);
  // Guards against callers that wait while an owner goes on asking a store that has refused it.
  const waitedMillis = cluster.now() - refusedAt;
  t.true(waitedMillis < 1000, `accepted after ${waitedMillis} ms`);
  // The member refused by the store forwards requests to the new owner.
  t.like(await runUntilSettled(cluster, cluster.request(owner, 'submit', jobId(2), planOf(2))), {
    kind: 'accepted',
  });
  await cluster.run(2000);
  t.deepEqual(cluster.jobs.violations, []);
});

test('while the store is silent running work continues, and a submission is answered as undecided in time', async (t) => {
  const cluster = await runningCluster();
  const steps = [stepOf({ count: 2, estimateMillis: 9000 })];
  await runUntilSettled(cluster, cluster.request('m1', 'submit', jobId(1), planOf(1, steps)));
  await cluster.run(300);
  cluster.members.forEach(({ storeFaults }) => {
    storeFaults.mode = 'silent';
  });
  const reply = await runUntilSettled(
    cluster,
    cluster.request('m1', 'submit', jobId(2), planOf(2)),
  );
  t.is(reply?.kind, 'undecided');
  await cluster.run(5000);
  const running = [...cluster.workers.values()].flatMap((worker) => worker.running());
  t.is(running.length, 2);
  cluster.members.forEach(({ storeFaults }) => {
    storeFaults.mode = 'up';
  });
  await cluster.run(9000);
  t.deepEqual(await stateAt(cluster, 'm1', 1), { kind: 'state', state: 'completed' });
  // The job was submitted and never refused, so it ran.
  t.deepEqual(await stateAt(cluster, 'm1', 2), { kind: 'state', state: 'completed' });
  t.deepEqual(cluster.jobs.violations, []);
});

test('an owner that shuts down answers its pending request and hands the work over', async (t) => {
  const cluster = await runningCluster();
  const owner = cluster.ownerName() ?? '';
  const pending = cluster.request(owner, 'submit', jobId(1), planOf(1));
  const stopped = cluster.shutDown(owner);
  t.like(await runUntilSettled(cluster, pending), { kind: 'accepted' });
  const reply = await runUntilSettled(
    cluster,
    cluster.request(follower(cluster), 'submit', jobId(2), planOf(2)),
  );
  t.like(reply, { kind: 'accepted' });
  await runUntilSettled(cluster, stopped);
  t.not(cluster.ownerName(), owner);
  await cluster.run(1500);
  t.deepEqual(await stateAt(cluster, cluster.ownerName() ?? '', 1), {
    kind: 'state',
    state: 'completed',
  });
  t.deepEqual(cluster.jobs.violations, []);
});

test('an owner that shuts down while the store is slow leaves no caller unanswered', async (t) => {
  const cluster = await runningCluster();
  cluster.members.forEach(({ storeFaults }) => {
    storeFaults.latencyMillis = 450;
  });
  const owner = cluster.ownerName() ?? '';
  const others = NAMES.filter((name) => name !== owner);
  const replies = Array.from({ length: 30 }, async (_, number) => {
    const member = others[number % others.length] ?? '';
    await cluster.clock.sleepUntil(brandAs(cluster.now() + 100 * number));
    return cluster.request(member, 'submit', jobId(number + 1), planOf(number + 1));
  });
  await cluster.run(500);
  void cluster.shutDown(owner);
  await cluster.run(3500);
  cluster.members.forEach(({ storeFaults }) => {
    storeFaults.latencyMillis = 4;
  });
  const kinds = await runUntilSettled(
    cluster,
    Promise.all(replies.map(async (reply) => (await reply)?.kind)),
  );
  t.deepEqual(new Set(kinds), new Set(['accepted']));
});

test('a member that cannot reach the store gets a newer configuration through the owner', async (t) => {
  const cluster = await runningCluster();
  const member = follower(cluster);
  const faults = cluster.members.get(member)?.storeFaults;
  if (faults !== undefined) {
    faults.mode = 'silent';
  }
  cluster.declare({ ...configurationOf(2), queues: [] });
  await cluster.run(1000);
  const reply = await runUntilSettled(
    cluster,
    cluster.request(member, 'submit', jobId(1), planOf(1)),
  );
  t.deepEqual(reply, { kind: 'unknown_queue' });
});

test('tasks of a worker that only the owner cannot reach are completed elsewhere after the lease, and never run in two places at once', async (t) => {
  const cluster = await runningCluster();
  const steps = [stepOf({ count: 1, estimateMillis: 1500 })];
  await runUntilSettled(cluster, cluster.request('m1', 'submit', jobId(1), planOf(1, steps)));
  await cluster.run(100);
  const worker = [...cluster.workers.values()].find((each) => each.running().length > 0);
  const owner = cluster.members.get(cluster.ownerName() ?? '');
  t.truthy(worker);
  if (worker !== undefined) {
    owner?.workerFaults.unreachable.add(worker.id);
  }
  await cluster.run(10_000);
  t.deepEqual(await stateAt(cluster, 'm1', 1), { kind: 'state', state: 'completed' });
  t.deepEqual(cluster.jobs.violations, []);
});

test('a member that shuts down refuses requests before callers give up, even while nobody owns the work', async (t) => {
  const cluster = await runningCluster();
  const name = follower(cluster);
  cluster.members.forEach(({ storeFaults }) => {
    storeFaults.mode = 'silent';
  });
  cluster.kill(cluster.ownerName() ?? '');
  const stopped = cluster.shutDown(name, 2500);
  await cluster.run(1000);
  const askedAt = cluster.now();
  const reply = await runUntilSettled(
    cluster,
    cluster.request(name, 'submit', jobId(1), planOf(1)),
  );
  t.like(reply, { kind: 'refused', reason: 'no_owner' });
  t.true(cluster.now() - askedAt < 2500, 'answered before the caller gave up');
  await runUntilSettled(cluster, stopped);
});

// Guards against an owner that spends its processor on work that it can't start, for as long as the
// store is away (incident SHORT).
test('an owner asks for no advice while the store has been away for a second, and goes on once it is back', async (t) => {
  const cluster = await runningCluster();
  const owner = cluster.ownerName() ?? '';
  const steps = [stepOf({ count: 2, estimateMillis: 700 })];
  for (let number = 1; number <= 40; number += 1) {
    void cluster.request(owner, 'submit', jobId(number), planOf(number, steps));
  }
  await cluster.run(500);
  cluster.members.forEach(({ storeFaults }) => {
    storeFaults.mode = 'refusing';
  });
  await cluster.run(1000);
  const calls = (): number =>
    cluster.log.filter((line) => line.includes('event=advice.taken')).length;
  const before = calls();
  await cluster.run(3500);
  t.is(calls(), before);
  cluster.members.forEach(({ storeFaults }) => {
    storeFaults.mode = 'up';
  });
  await cluster.run(500);
  t.true(calls() > before);
  t.deepEqual(cluster.jobs.violations, []);
});

// Guards against members that wait for the greeting of a new owner that stands still as long as for that of
// one that is busy.
test('a member that freezes right after it has claimed the work is replaced within three seconds', async (t) => {
  const cluster = await runningCluster();
  const elected = (): number =>
    cluster.log.filter((line) => line.includes('event=owner.elected')).length;
  const earlier = elected();
  cluster.kill(cluster.ownerName() ?? '');
  for (let waited = 0; elected() === earlier && waited < 5000; waited += 2) {
    await cluster.run(2);
  }
  const frozen = cluster.log
    .findLast((line) => line.includes('event=owner.elected'))
    ?.split(' ')
    .at(1);
  cluster.freeze(frozen ?? '', 10_000);
  await cluster.run(3000);
  t.not(cluster.ownerName(), frozen);
  t.like(
    await runUntilSettled(
      cluster,
      cluster.request(cluster.ownerName() ?? '', 'submit', jobId(1), planOf(1)),
    ),
    {
      kind: 'accepted',
    },
  );
});
