/** Faults of single processes, of the store and of workers, with many short jobs. */

import { cores } from '@bamboowell/jobs/plans.fixture';
import type { StepPlan } from '@bamboowell/types/job';
import { FaultProfile, type Fault, type FaultBench } from './fault-profile.fixture.js';
import { stepOf } from './plans.fixture.js';

export class MixedFaults extends FaultProfile {
  readonly members = ['m1', 'm2', 'm3', 'm4'];
  readonly jobIntervalMillis = 300;
  readonly faultIntervalMillis = 1100;
  readonly faultPhaseMillis = 14_000;
  readonly recoveryMillis = 30_000;
  readonly drawsFaultsApart = false;
  readonly endsPollsOfFrozen = false;

  faults(bench: FaultBench): Record<string, Fault> {
    return mixedFaults(bench);
  }

  drawSteps({ draw, random }: FaultBench): StepPlan[] {
    const first = stepOf({
      count: draw(1, 4),
      demand: cores(draw(1, 2)),
      estimateMillis: draw(100, 2500),
      isGang: random() < 0.3,
      savesProgress: random() < 0.3,
    });
    return random() < 0.3 ? [first, stepOf({ count: draw(1, 3), after: [0] })] : [first];
  }
}

export function mixedFaults({
  cluster,
  draw,
  random,
  pick,
  schedule,
  relaunchAfter,
  members: names,
}: FaultBench): Record<string, Fault> {
  return {
    kill: () => {
      const name = pick(names);
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
      const name = pick(names);
      if (cluster.members.get(name)?.clock.state === 'running') {
        void cluster.shutDown(name).then(() => {
          relaunchAfter(name, draw(100, 1000));
        });
      }
    },
  };
}
