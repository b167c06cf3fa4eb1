/** A seed's worth of trouble on an emulated cluster: what goes wrong, who asks, what must hold after. */

import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { cores, jobId } from '@bamboowell/jobs/plans.fixture';
import { brandAs } from '@bamboowell/types/ids';
import type { JobId, StepPlan } from '@bamboowell/types/job';
import { emulatedCluster } from './emulated-cluster.fixture.js';
import { configurationOf, planOf, stepOf } from './plans.fixture.js';

const MEMBERS = ['m1', 'm2', 'm3', 'm4'];
const WORKERS = ['w1', 'w2', 'w3', 'w4', 'w5', 'w6'];
/** Memory of a worker, MiB: the processor time is what binds. */
const WORKER_MIB = 1000;
/** Troubles come and jobs are sent for so long, milliseconds. */
const TROUBLED_MILLIS = 14_000;
/** All is calm for so long after, milliseconds. */
const CALM_MILLIS = 30_000;
const JOB_EVERY_MILLIS = 300;
const TROUBLE_EVERY_MILLIS = 1100;
const TRIES = 6;

interface Submitted {
  readonly id: JobId;
  /** Some member said that the store has it. */
  isAccepted: boolean;
  /** Some try got no answer that decides it. */
  isUndecided: boolean;
  /** The caller asked for it to be cancelled; the answer may have been lost. */
  mayBeCancelled: boolean;
}

export interface FaultRun {
  readonly broken: readonly string[];
  readonly accepted: number;
  readonly submitted: number;
  readonly log: readonly string[];
}

/** Plays one seed and tells what was broken. */
export async function runWithFaults(seed: number): Promise<FaultRun> {
  const generator = xoroshiro128plus(seed);
  const draw = (least: number, most: number): number => uniformInt(generator, least, most);
  const random = (): number => draw(0, 999_999) / 1_000_000;
  const pick = <Value>(values: readonly Value[]): Value =>
    values[draw(0, values.length - 1)] as Value;
  const workers = WORKERS.map((name) => ({
    name,
    capacity: { ...cores(4), memoryMib: WORKER_MIB },
  }));
  const cluster = emulatedCluster({ workers, configuration: configurationOf(), random });
  const { jobs } = cluster;
  const submitted: Submitted[] = [];
  const pending: Promise<void>[] = [];
  const story: string[] = [];
  await Promise.all(MEMBERS.map((name) => cluster.launch(name)));
  await cluster.run(600);

  const drawSteps = (): StepPlan[] => {
    const first = stepOf({
      count: draw(1, 4),
      demand: cores(draw(1, 2)),
      estimateMillis: draw(100, 2500),
      isGang: random() < 0.3,
      savesProgress: random() < 0.3,
    });
    return random() < 0.3 ? [first, stepOf({ count: draw(1, 3), after: [0] })] : [first];
  };

  const submit = async (number: number): Promise<void> => {
    const job = {
      id: jobId(number),
      isAccepted: false,
      isUndecided: false,
      mayBeCancelled: false,
    };
    submitted.push(job);
    const plan = planOf(number, drawSteps());
    if (random() < 0.04) {
      jobs.failingJobs.add(job.id);
    }
    for (let attempt = 0; attempt < TRIES && !job.isAccepted; attempt += 1) {
      const reply = await cluster.request(pick(MEMBERS), 'submit', job.id, plan);
      job.isAccepted = reply?.kind === 'accepted';
      job.isUndecided ||= reply === undefined || reply.kind === 'undecided';
      await cluster.clock.sleepUntil(brandAs(cluster.now() + 300));
    }
    if (job.isAccepted && random() < 0.1) {
      job.mayBeCancelled = true;
      const reply = await cluster.request(pick(MEMBERS), 'cancel', job.id);
      if (reply?.kind === 'cancelled') {
        jobs.cancelledAt.set(job.id, cluster.now());
      }
    }
  };

  const later = (millis: number, act: () => void): void => {
    cluster.clock.wakeAt(brandAs(cluster.now() + millis), act);
  };
  const startAgain = (name: string, millis: number): void => {
    later(millis, () => void cluster.launch(name));
  };
  const troubles: Record<string, () => void> = {
    kill: () => {
      const name = pick(MEMBERS);
      if (cluster.members.has(name)) {
        cluster.kill(name);
        startAgain(name, draw(100, 3000));
      }
    },
    killOwner: () => {
      const name = cluster.ownerName() ?? '';
      if (cluster.members.has(name)) {
        cluster.kill(name);
        startAgain(name, draw(100, 3000));
      }
    },
    killAll: () => {
      for (const name of [...cluster.members.keys()]) {
        cluster.kill(name);
        startAgain(name, draw(300, 900));
      }
    },
    freezeOwner: () => {
      const name = cluster.ownerName() ?? '';
      const member = cluster.members.get(name);
      if (member?.clock.state === 'running') {
        cluster.freeze(name);
        later(draw(300, 4500), () => {
          if (cluster.members.get(name) === member) {
            cluster.thaw(name);
          }
        });
      }
    },
    storeAway: () => {
      const mode = random() < 0.5 ? ('silent' as const) : ('refusing' as const);
      const hit = [...cluster.members.values()].filter(() => random() < 0.6);
      hit.forEach(({ store }) => {
        store.mode = mode;
      });
      later(draw(500, 5000), () => {
        hit.forEach(({ store }) => {
          store.mode = 'up';
        });
      });
    },
    storeSlow: () => {
      const hit = [...cluster.members.values()];
      hit.forEach(({ store }) => {
        store.latencyMillis = 240;
      });
      later(draw(500, 4000), () => {
        hit.forEach(({ store }) => {
          store.latencyMillis = 4;
        });
      });
    },
    answersLost: () => {
      const hit = [...cluster.members.values()];
      hit.forEach(({ store }) => {
        store.lostAnswers = 0.3;
        store.lateAppends = 0.1;
      });
      later(draw(500, 4000), () => {
        hit.forEach(({ store }) => {
          store.lostAnswers = 0;
          store.lateAppends = 0;
        });
      });
    },
    ordersLate: () => {
      const hit = [...cluster.members.values()];
      hit.forEach((member) => {
        member.workers.lateOrders = 0.3;
      });
      later(draw(500, 4000), () => {
        hit.forEach((member) => {
          member.workers.lateOrders = 0;
        });
      });
    },
    workersCut: () => {
      const hit = [...cluster.workers.keys()].filter(() => random() < 0.4);
      const cut = [...cluster.members.values()].filter(() => random() < 0.7);
      cut.forEach((member) => {
        hit.forEach((id) => member.workers.cut.add(id));
      });
      later(draw(500, 7000), () => {
        cut.forEach((member) => {
          hit.forEach((id) => member.workers.cut.delete(id));
        });
      });
    },
    workerCrash: () => {
      const worker = pick([...cluster.workers.values()]);
      if (worker.isUp) {
        worker.crash();
        later(1500, () => {
          cluster.unlist(worker);
        });
        later(draw(1600, 5000), () => {
          worker.restart();
          cluster.list(worker);
        });
      }
    },
    workerGrey: () => {
      const worker = pick([...cluster.workers.values()]);
      worker.isGrey = true;
      later(draw(500, 4000), () => {
        worker.isGrey = false;
      });
    },
    workerDrains: () => {
      const worker = pick([...cluster.workers.values()]);
      worker.isDraining = true;
      cluster.list(worker);
      later(3000, () => {
        worker.isDraining = false;
        cluster.list(worker);
      });
    },
    retire: () => {
      const name = pick(MEMBERS);
      if (cluster.members.get(name)?.clock.state === 'running') {
        void cluster.shutDown(name).then(() => {
          startAgain(name, draw(100, 1000));
        });
      }
    },
  };
  const names = Object.keys(troubles);

  let number = 0;
  let nextTrouble = cluster.now() + draw(100, TROUBLE_EVERY_MILLIS);
  const until = cluster.now() + TROUBLED_MILLIS;
  while (cluster.now() < until) {
    number += 1;
    pending.push(submit(number));
    if (cluster.now() >= nextTrouble) {
      nextTrouble += draw(100, 2 * TROUBLE_EVERY_MILLIS);
      const name = pick(names);
      story.push(`${Math.round(cluster.now())} trouble ${name}`);
      cluster.log.push(`${Math.round(cluster.now())} trouble ${name}`);
      troubles[name]?.();
    }
    await cluster.run(JOB_EVERY_MILLIS);
  }
  await cluster.run(CALM_MILLIS);
  await settle(cluster, pending);
  const broken = [...jobs.broken, ...(await checkJobs(cluster, submitted))];
  const accepted = submitted.filter(({ isAccepted }) => isAccepted).length;
  return { broken, accepted, submitted: submitted.length, log: cluster.log };
}

type Cluster = ReturnType<typeof emulatedCluster>;

async function settle(cluster: Cluster, pending: readonly Promise<void>[]): Promise<void> {
  const state = { isDone: false };
  void Promise.all(pending).then(() => {
    state.isDone = true;
  });
  for (let waited = 0; !state.isDone && waited < 30_000; waited += 500) {
    await cluster.run(500);
  }
}

/** Asks for each job at each member. */
async function checkJobs(cluster: Cluster, submitted: readonly Submitted[]): Promise<string[]> {
  const broken: string[] = [];
  if (cluster.members.size < MEMBERS.length) {
    broken.push(`only ${[...cluster.members.keys()].join(' ')} came back`);
  }
  for (const name of cluster.members.keys()) {
    const asked = submitted.map(async (job) => {
      const reply = await cluster.request(name, 'query', job.id);
      const state = reply?.kind === 'state' ? reply.state : reply?.kind;
      const problem = problemOf(cluster, job, state);
      if (problem !== undefined) {
        broken.push(`${job.id} at ${name}: ${problem}`);
      }
    });
    await settle(cluster, asked);
  }
  return broken;
}

function problemOf(
  { jobs }: Cluster,
  { id, isAccepted, isUndecided, mayBeCancelled }: Submitted,
  state: string | undefined,
): string | undefined {
  if (!isAccepted && !isUndecided) {
    return state === 'unknown_job' ? undefined : `refused by all, but is ${state ?? 'silent'}`;
  }
  if (!isAccepted && state === 'unknown_job') {
    return undefined;
  }
  switch (state) {
    case 'completed':
      return jobs.isDone(id) ? undefined : 'shown as completed, and is not';
    case 'failed':
      return jobs.failuresOf(id) >= 3 ? undefined : `shown as failed after ${jobs.failuresOf(id)}`;
    case 'cancelled':
      return mayBeCancelled ? undefined : 'shown as cancelled, and was not';
    default:
      return `is ${state ?? 'silent'} long after the end`;
  }
}
