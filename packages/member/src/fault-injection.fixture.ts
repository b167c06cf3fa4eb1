/**
 * Runs an emulated cluster with random faults and requests drawn from a seed, then checks the
 * invariants.
 */

import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { cores, jobId } from '@bamboowell/jobs/plans.fixture';
import { brandAs } from '@bamboowell/types/ids';
import type { JobId, StepPlan } from '@bamboowell/types/job';
import { emulatedCluster } from './emulated-cluster.fixture.js';
import { configurationOf, planOf, stepOf } from './plans.fixture.js';

const MEMBERS = ['m1', 'm2', 'm3', 'm4'];
const WORKERS = ['w1', 'w2', 'w3', 'w4', 'w5', 'w6'];
/** Memory of a worker: plenty, so that cores are the scarce resource. */
const WORKER_MIB = 1000;
/** Duration of the phase with faults and job submissions. */
const FAULT_PHASE_MILLIS = 14_000;
/** Duration of the phase without faults that follows. */
const RECOVERY_MILLIS = 30_000;
const JOB_INTERVAL_MILLIS = 300;
const FAULT_INTERVAL_MILLIS = 1100;
const MAX_ATTEMPTS = 6;
/** A task may be given up once so many workers have crashed under it: the second time in isolation. */
const MIN_CRASHES = 2;

interface Submitted {
  readonly id: JobId;
  /** Whether a member has accepted it. */
  isAccepted: boolean;
  /** Whether an attempt got no answer, or `undecided`. */
  isUndecided: boolean;
  /** Whether the caller has tried to cancel it; the answer may have been lost. */
  mayBeCancelled: boolean;
}

export interface FaultRun {
  readonly violations: readonly string[];
  readonly accepted: number;
  readonly submitted: number;
  readonly log: readonly string[];
}

/** Runs one seed and returns the violated invariants. */
export async function runWithFaults(seed: number): Promise<FaultRun> {
  const generator = xoroshiro128plus(seed);
  const draw = (min: number, max: number): number => uniformInt(generator, min, max);
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
  const faultLog: string[] = [];
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
    for (let attempt = 0; attempt < MAX_ATTEMPTS && !job.isAccepted; attempt += 1) {
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

  const schedule = (millis: number, act: () => void): void => {
    cluster.clock.wakeAt(brandAs(cluster.now() + millis), act);
  };
  const relaunchAfter = (name: string, millis: number): void => {
    schedule(millis, () => void cluster.launch(name));
  };
  const faults: Record<string, () => void> = {
    kill: () => {
      const name = pick(MEMBERS);
      if (cluster.members.has(name)) {
        cluster.kill(name);
        relaunchAfter(name, draw(100, 3000));
      }
    },
    killOwner: () => {
      const name = cluster.ownerName() ?? '';
      if (cluster.members.has(name)) {
        cluster.kill(name);
        relaunchAfter(name, draw(100, 3000));
      }
    },
    killAll: () => {
      for (const name of [...cluster.members.keys()]) {
        cluster.kill(name);
        relaunchAfter(name, draw(300, 900));
      }
    },
    freezeOwner: () => {
      const name = cluster.ownerName() ?? '';
      const member = cluster.members.get(name);
      if (member?.clock.state === 'running') {
        cluster.freeze(name);
        schedule(draw(300, 4500), () => {
          if (cluster.members.get(name) === member) {
            cluster.thaw(name);
          }
        });
      }
    },
    storeOutage: () => {
      const mode = random() < 0.5 ? ('silent' as const) : ('refusing' as const);
      const affected = [...cluster.members.values()].filter(() => random() < 0.6);
      affected.forEach(({ storeFaults }) => {
        storeFaults.mode = mode;
      });
      schedule(draw(500, 5000), () => {
        affected.forEach(({ storeFaults }) => {
          storeFaults.mode = 'up';
        });
      });
    },
    storeSlow: () => {
      const affected = [...cluster.members.values()];
      affected.forEach(({ storeFaults }) => {
        storeFaults.latencyMillis = 240;
      });
      schedule(draw(500, 4000), () => {
        affected.forEach(({ storeFaults }) => {
          storeFaults.latencyMillis = 4;
        });
      });
    },
    lostAnswers: () => {
      const affected = [...cluster.members.values()];
      affected.forEach(({ storeFaults }) => {
        storeFaults.lostAnswerRate = 0.3;
        storeFaults.lateAppendRate = 0.1;
      });
      schedule(draw(500, 4000), () => {
        affected.forEach(({ storeFaults }) => {
          storeFaults.lostAnswerRate = 0;
          storeFaults.lateAppendRate = 0;
        });
      });
    },
    lateOrders: () => {
      const affected = [...cluster.members.values()];
      affected.forEach((member) => {
        member.workerFaults.lateOrderRate = 0.3;
      });
      schedule(draw(500, 4000), () => {
        affected.forEach((member) => {
          member.workerFaults.lateOrderRate = 0;
        });
      });
    },
    workersUnreachable: () => {
      const affected = [...cluster.workers.keys()].filter(() => random() < 0.4);
      const members = [...cluster.members.values()].filter(() => random() < 0.7);
      members.forEach((member) => {
        affected.forEach((id) => member.workerFaults.unreachable.add(id));
      });
      schedule(draw(500, 7000), () => {
        members.forEach((member) => {
          affected.forEach((id) => member.workerFaults.unreachable.delete(id));
        });
      });
    },
    workerCrash: () => {
      const worker = pick([...cluster.workers.values()]);
      if (worker.isUp) {
        worker.crash();
        schedule(1500, () => {
          cluster.unlist(worker);
        });
        schedule(draw(1600, 5000), () => {
          worker.restart();
          cluster.list(worker);
        });
      }
    },
    /** Its process is replaced so soon that its registration stays. */
    workerRestarts: () => {
      const worker = pick([...cluster.workers.values()]);
      if (worker.isUp) {
        worker.crash();
        schedule(draw(50, 1400), () => {
          worker.restart();
          cluster.list(worker);
        });
      }
    },
    workerFailsAllRuns: () => {
      const worker = pick([...cluster.workers.values()]);
      worker.failsAllRuns = true;
      schedule(draw(500, 4000), () => {
        worker.failsAllRuns = false;
      });
    },
    workerShedsStarts: () => {
      const worker = pick([...cluster.workers.values()]);
      worker.shedsStarts = true;
      schedule(draw(500, 4000), () => {
        worker.shedsStarts = false;
      });
    },
    workerDrains: () => {
      const worker = pick([...cluster.workers.values()]);
      worker.isDraining = true;
      cluster.list(worker);
      schedule(3000, () => {
        worker.isDraining = false;
        cluster.list(worker);
      });
    },
    shutDown: () => {
      const name = pick(MEMBERS);
      if (cluster.members.get(name)?.clock.state === 'running') {
        void cluster.shutDown(name).then(() => {
          relaunchAfter(name, draw(100, 1000));
        });
      }
    },
  };
  const names = Object.keys(faults);

  let number = 0;
  let nextFaultAt = cluster.now() + draw(100, FAULT_INTERVAL_MILLIS);
  const until = cluster.now() + FAULT_PHASE_MILLIS;
  while (cluster.now() < until) {
    number += 1;
    pending.push(submit(number));
    if (cluster.now() >= nextFaultAt) {
      nextFaultAt += draw(100, 2 * FAULT_INTERVAL_MILLIS);
      const name = pick(names);
      faultLog.push(`${Math.round(cluster.now())} fault ${name}`);
      cluster.log.push(`${Math.round(cluster.now())} fault ${name}`);
      faults[name]?.();
    }
    await cluster.run(JOB_INTERVAL_MILLIS);
  }
  await cluster.run(RECOVERY_MILLIS);
  await settle(cluster, pending);
  const violations = [...jobs.violations, ...(await checkJobs(cluster, submitted))];
  const accepted = submitted.filter(({ isAccepted }) => isAccepted).length;
  return { violations, accepted, submitted: submitted.length, log: cluster.log };
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

/** Queries each job at each member. */
async function checkJobs(cluster: Cluster, submitted: readonly Submitted[]): Promise<string[]> {
  const violations: string[] = [];
  if (cluster.members.size < MEMBERS.length) {
    violations.push(`only ${[...cluster.members.keys()].join(' ')} restarted`);
  }
  for (const name of cluster.members.keys()) {
    const queries = submitted.map(async (job) => {
      const reply = await cluster.request(name, 'query', job.id);
      const state = reply?.kind === 'state' ? reply.state : reply?.kind;
      const problem = problemOf(cluster, job, state);
      if (problem !== undefined) {
        violations.push(`${job.id} at ${name}: ${problem}`);
      }
    });
    await settle(cluster, queries);
  }
  return violations;
}

function problemOf(
  { jobs }: Cluster,
  { id, isAccepted, isUndecided, mayBeCancelled }: Submitted,
  state: string | undefined,
): string | undefined {
  if (!isAccepted && !isUndecided) {
    return state === 'unknown_job'
      ? undefined
      : `refused by all members, but its state is ${state ?? 'no answer'}`;
  }
  if (!isAccepted && state === 'unknown_job') {
    return undefined;
  }
  switch (state) {
    case 'completed':
      return jobs.isDone(id) ? undefined : 'reported as completed, but its tasks are not all done';
    case 'failed':
      return jobs.failuresOf(id) >= 3 || jobs.crashesOf(id) >= MIN_CRASHES
        ? undefined
        : `reported as failed after only ${jobs.failuresOf(id)} failed runs` +
            ` and ${jobs.crashesOf(id)} crashes`;
    case 'cancelled':
      return mayBeCancelled ? undefined : 'reported as cancelled, but no caller cancelled it';
    default:
      return `its state is ${state ?? 'no answer'} long after the faults ended`;
  }
}
