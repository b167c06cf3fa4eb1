import test from 'ava';
import type { JobReply } from './gateway-messages.js';
import { cores, jobId, jobPlan } from '@bamboowell/jobs/plans.fixture';
import { emulatedCluster } from './emulated-cluster.fixture.js';
import { configurationOf, stepOf } from './plans.fixture.js';
import type { Machine } from './settings.js';

const WEAK: Machine = { cores: 0.324, memoryMib: 250, linkMbps: 10 };
const STRONG: Machine = { cores: 0.675, memoryMib: 602, linkMbps: 200 };
const PAYLOAD_CHARACTERS = 4000;
const REQUESTS_PER_SECOND = 20;

const OTHERS = ['m2', 'm3', 'm4', 'm5', 'm6'];

interface MixedCluster {
  readonly strong: readonly string[];
  readonly weakMbps: number;
  /** Jobs in the store when the owner is lost; their payloads take a weak link a few seconds. */
  readonly openJobs: number;
}

/** Starts six members, the named ones on strong machines, and submits jobs that stay open. */
async function mixedCluster({ strong, weakMbps, openJobs }: MixedCluster) {
  const cluster = emulatedCluster({
    workers: ['w1', 'w2'].map((name) => ({ name, capacity: cores(4) })),
    configuration: configurationOf(),
    machineOf: (name) => (strong.includes(name) ? STRONG : { ...WEAK, linkMbps: weakMbps }),
  });
  await cluster.launch('m1');
  await cluster.run(800);
  for (const name of OTHERS) {
    await cluster.launch(name);
  }
  await cluster.run(800);
  const replies = Array.from({ length: openJobs }, (_, number) =>
    cluster.request('m1', 'submit', jobId(number), largePlan(number)),
  );
  await cluster.run(3000);
  await Promise.all(replies);
  return cluster;
}

function largePlan(number: number) {
  const payload = 'x'.repeat(PAYLOAD_CHARACTERS);
  return jobPlan(number, {
    payload,
    steps: [stepOf({ estimateMillis: 60_000, demand: cores(4) })],
  });
}

type Cluster = Awaited<ReturnType<typeof mixedCluster>>;

/** Kills the owner, sends requests to the others and returns the milliseconds until one is accepted. */
async function acceptedAfter(cluster: Cluster, timeoutMillis: number) {
  cluster.kill(cluster.ownerName() ?? '');
  const killedAt = cluster.now();
  let acceptedAt: number | undefined;
  const note = (reply: JobReply | undefined): void => {
    if (reply?.kind === 'accepted') {
      acceptedAt ??= cluster.now();
    }
  };
  for (let number = 1000; acceptedAt === undefined; number += 1) {
    const member = OTHERS[number % OTHERS.length] ?? '';
    void cluster.request(member, 'submit', jobId(number), largePlan(number)).then(note);
    await cluster.run(1000 / REQUESTS_PER_SECOND);
    if (cluster.now() - killedAt > timeoutMillis) {
      break;
    }
  }
  return acceptedAt === undefined ? Number.POSITIVE_INFINITY : acceptedAt - killedAt;
}

// Guards against members with slow links that keep taking the work from each other, so that none
// serves (incident SHORT).
test('after the owner is lost the only remaining member on a strong machine serves within two seconds', async (t) => {
  for (const strong of OTHERS) {
    const cluster = await mixedCluster({ strong: ['m1', strong], weakMbps: 7, openJobs: 600 });
    const millis = await acceptedAfter(cluster, 20_000);
    t.is(cluster.ownerName(), strong);
    t.true(millis < 2000, `accepted after ${millis} ms`);
  }
});

// Guards against members that take the work over and lose it again before they are ready (incident
// SHORT).
test('if all remaining members are on weak machines, one of them serves within 15 seconds', async (t) => {
  const cluster = await mixedCluster({ strong: ['m1'], weakMbps: 2, openJobs: 150 });
  const millis = await acceptedAfter(cluster, 40_000);
  t.true(millis < 15_000, `accepted after ${millis} ms`);
});
