/**
 * Teams that send several times their promised rate beside quiet ones, with the switches for hard load on, while
 * faults overlap and come in series, and the operator evacuates one of two data centres.
 */

import { cores } from '@bamboowell/jobs/plans.fixture';
import { brandAs, type TeamId } from '@bamboowell/types/ids';
import type { StepPlan } from '@bamboowell/types/job';
import { NO_RESOURCES } from '@bamboowell/types/resources';
import type { ClusterOptions } from './emulated-cluster.fixture.js';
import {
  FaultProfile,
  WORKER_MIB,
  type DrawnJob,
  type Fault,
  type FaultBench,
} from './fault-profile.fixture.js';
import { mixedFaults } from './mixed-faults.fixture.js';
import { configurationOf, stepOf } from './plans.fixture.js';

const ZONES = ['west', 'east', 'west', 'east', 'west', 'east', 'west', 'east'];
/** Promised work needs less than three workers have; with the excess of two teams, more than all have. */
const WORKER_CORES = 3;
const NEEDED_WORKERS = 3;
const QUIET_TEAMS = ['quiet1', 'quiet2'];
/** The second one sends only in bursts. */
const HOT_TEAMS = ['hot1', 'hot2'];
/**
 * Jobs a second that a team is promised. Two seconds of the rate of a quiet team are more than its callers send
 * while no owner serves, which comes together when the next one does.
 */
const QUIET_RATE = 6;
const HOT_RATE = 1;
/** Mean jobs in an interval: a seventh of the promised rate, and six times it. */
const QUIET_JOBS = 0.13;
const HOT_JOBS = 0.9;
/** Longer than the bound, so that late starts are seen. */
const EVACUATION_MILLIS = [5500, 9000] as const;
const SILENCE_MILLIS = [1000, 4200] as const;
const BURST_MILLIS = [2000, 5000] as const;

export class OverloadFaults extends FaultProfile {
  readonly members = ['m1', 'm2', 'm3', 'm4'];
  readonly jobIntervalMillis = 150;
  readonly faultIntervalMillis = 1500;
  readonly faultPhaseMillis = 16_000;
  readonly recoveryMillis = 30_000;
  readonly drawsFaultsApart = true;
  readonly endsPollsOfFrozen = true;
  private burstEndsAt = 0;

  override deployment(): ClusterOptions {
    const capacity = { ...cores(WORKER_CORES), memoryMib: WORKER_MIB };
    const configuration = configurationOf();
    const teams = [...QUIET_TEAMS, ...HOT_TEAMS].map((name) => ({
      id: brandAs<TeamId>(name),
      keys: [name],
      weight: QUIET_TEAMS.includes(name) ? QUIET_RATE : HOT_RATE,
      limit: NO_RESOURCES,
    }));
    return {
      workers: ZONES.map((zone, index) => ({ name: `w${index}`, capacity, zone })),
      configuration: { ...configuration, teams: [...configuration.teams, ...teams] },
      scheduling: { runTimes: 'learned', admission: 'forecast', sharing: 'weighted' },
      evacuationBoundMillis: 5000,
    };
  }

  faults(bench: FaultBench): Record<string, Fault> {
    this.burstEndsAt = 0;
    this.scarceAt = [];
    return overlappingFaults(bench, () => {
      this.burstEndsAt = bench.cluster.now() + bench.draw(...BURST_MILLIS);
    });
  }

  override drawJobs(bench: FaultBench): readonly DrawnJob[] {
    const { cluster, callRandom } = bench;
    if (usableWorkersOf(bench) < NEEDED_WORKERS) {
      this.scarceAt.push(cluster.now());
    }
    const jobsOf = (team: string, mean: number): DrawnJob[] =>
      Array.from({ length: Math.floor(mean + callRandom()) }, () => ({
        team,
        isPromised: QUIET_TEAMS.includes(team),
        steps: this.drawSteps(bench),
      }));
    const hotTeams = HOT_TEAMS.slice(0, cluster.now() < this.burstEndsAt ? 2 : 1);
    return [
      ...hotTeams.flatMap((team) => jobsOf(team, HOT_JOBS)),
      ...QUIET_TEAMS.flatMap((team) => jobsOf(team, QUIET_JOBS)),
    ];
  }

  drawSteps({ draw, random }: FaultBench): StepPlan[] {
    const isGang = random() < 0.2;
    const first = stepOf({ count: draw(1, 3), estimateMillis: draw(200, 1500), isGang });
    return random() < 0.2 ? [first, stepOf({ after: [0] })] : [first];
  }
}

/** Number of workers that run, that all members reach, and whose data centre is not evacuated. */
function usableWorkersOf({ cluster }: FaultBench): number {
  const members = [...cluster.members.values()];
  return [...cluster.workers.values()].filter(
    ({ id, isUp, zone }) =>
      isUp &&
      !cluster.jobs.evacuatedAt.has(zone) &&
      members.every(({ workerFaults }) => !workerFaults.unreachable.has(id)),
  ).length;
}

/** Pairs and series of faults, each beside the load of a hot team. */
function overlappingFaults(bench: FaultBench, burst: Fault): Record<string, Fault> {
  const { cluster, draw, pick, schedule } = bench;
  const single = mixedFaults(bench);
  const setStore = (mode: 'up' | 'silent') => (): void => {
    cluster.members.forEach(({ storeFaults }) => {
      storeFaults.mode = mode;
    });
  };
  /** Also for the members that are launched meanwhile. */
  const silence = (millis = draw(...SILENCE_MILLIS)): void => {
    for (let after = 0; after < millis; after += 50) {
      schedule(after, setStore('silent'));
    }
    schedule(millis, setStore('up'));
  };
  /** One data centre at a time, so that there are workers left. */
  const evacuate = (): void => {
    if (cluster.jobs.evacuatedAt.size === 0) {
      const key = `evacuate/${pick(ZONES)}`;
      cluster.declareOther(key, '{}');
      schedule(draw(...EVACUATION_MILLIS), () => {
        cluster.declareOther(key, undefined);
      });
    }
  };
  const all =
    (...faults: readonly (Fault | undefined)[]): Fault =>
    () => {
      faults.forEach((fault) => fault?.());
    };
  const series = (fault: Fault = all()): Fault =>
    all(...[2, 1300, 2600].map((millis) => schedule.bind(undefined, millis, fault)));
  return {
    storeSilentInBurst: all(burst, silence),
    storeSilentAgain: series(() => {
      silence(draw(300, 900));
    }),
    ownerLostInBurst: all(burst, single.killOwner),
    allLostInBurst: all(burst, single.killAll),
    evacuationAndLostOwner: all(evacuate, single.killOwner),
    evacuationAndLostMembers: all(evacuate, series(single.kill)),
    evacuationAndSlowStore: all(evacuate, single.storeSlow),
    evacuationInSilence: all(silence, evacuate),
    evacuationAndLostAnswers: all(evacuate, single.lostAnswers, single.lateOrders),
    evacuationAndFrozenOwner: all(evacuate, single.freezeOwner),
    evacuationAndRestarts: all(evacuate, series(single.workerRestarts)),
    evacuationAndCutWorkers: all(evacuate, burst, single.workersUnreachable),
  };
}
