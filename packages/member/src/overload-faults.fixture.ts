/**
 * Teams that send several times their promised rate beside quiet ones, with the switches for hard load on, while
 * faults overlap and come in series, and the operator evacuates one of two data centres.
 */

import { cores } from '@bamboowell/jobs/plans.fixture';
import { brandAs, type TeamId } from '@bamboowell/types/ids';
import type { JobTeam, StepPlan } from '@bamboowell/types/job';
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

const ZONES = ['west', 'east'];
const WORKERS_PER_ZONE = 4;
/** Promised work needs less than one data centre has; that with the excess needs more than both have. */
const WORKER_CORES = 3;
const QUIET_TEAMS = ['quiet1', 'quiet2'];
const HOT_TEAM = 'hot1';
/** Sends only while a fault makes it hot. */
const SECOND_HOT_TEAM = 'hot2';
/** Jobs a second that each team is promised. */
const PROMISED_RATE = 2;
/** Mean jobs in an interval: half of the promised rate, and six times it. */
const QUIET_JOBS = 0.15;
const HOT_JOBS = 1.8;
const EVACUATION_BOUND_MILLIS = 5000;
/** Longer than the bound, so that late starts are seen. */
const EVACUATION_MILLIS = [5500, 9000] as const;
const LONGEST_SILENCE_MILLIS = 4200;
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
    const workers = ZONES.flatMap((zone) =>
      Array.from({ length: WORKERS_PER_ZONE }, (_, index) => ({
        name: `${zone}${index}`,
        capacity,
        zone,
      })),
    );
    const teams = [...QUIET_TEAMS, HOT_TEAM, SECOND_HOT_TEAM].map(teamOf);
    const configuration = configurationOf();
    return {
      workers,
      configuration: { ...configuration, teams: [...configuration.teams, ...teams] },
      scheduling: { runTimes: 'learned', admission: 'forecast', sharing: 'weighted' },
      evacuationBoundMillis: EVACUATION_BOUND_MILLIS,
    };
  }

  faults(bench: FaultBench): Record<string, Fault> {
    this.burstEndsAt = 0;
    return overlappingFaults(bench, () => {
      this.burstEndsAt = bench.cluster.now() + bench.draw(...BURST_MILLIS);
    });
  }

  override drawJobs(bench: FaultBench): readonly DrawnJob[] {
    const { cluster, callRandom } = bench;
    const isBurst = cluster.now() < this.burstEndsAt;
    const hotTeams = isBurst ? [HOT_TEAM, SECOND_HOT_TEAM] : [HOT_TEAM];
    const jobsOf = (team: string, mean: number, isPromised: boolean): DrawnJob[] =>
      Array.from({ length: Math.floor(mean + callRandom()) }, () => ({
        team,
        isPromised,
        steps: this.drawSteps(bench),
      }));
    return [
      ...hotTeams.flatMap((team) => jobsOf(team, HOT_JOBS, false)),
      ...QUIET_TEAMS.flatMap((team) => jobsOf(team, QUIET_JOBS, true)),
    ];
  }

  drawSteps({ draw, random }: FaultBench): StepPlan[] {
    const first = stepOf({
      count: draw(1, 3),
      demand: cores(1),
      estimateMillis: draw(200, 1500),
      isGang: random() < 0.2,
      savesProgress: random() < 0.2,
    });
    return random() < 0.2 ? [first, stepOf({ after: [0] })] : [first];
  }
}

function teamOf(name: string): JobTeam {
  return {
    id: brandAs<TeamId>(name),
    keys: [name],
    weight: PROMISED_RATE,
    limit: NO_RESOURCES,
  };
}

/** Pairs and series of faults, each beside the load of a hot team. */
function overlappingFaults(bench: FaultBench, burst: Fault): Record<string, Fault> {
  const { cluster, draw, pick, schedule } = bench;
  const single = mixedFaults(bench);
  const all = (...names: readonly (keyof typeof single)[]): void => {
    names.forEach((name) => {
      single[name]?.();
    });
  };
  const silenceAll = (millis: number): void => {
    const affected = [...cluster.members.values()];
    const setMode = (mode: 'up' | 'silent'): void => {
      affected.forEach(({ storeFaults }) => {
        storeFaults.mode = mode;
      });
    };
    setMode('silent');
    schedule(millis, () => {
      setMode('up');
    });
  };
  /** One data centre at a time, so that there are workers left. */
  let evacuated: string | undefined;
  const evacuate = (): void => {
    if (evacuated === undefined) {
      const zone = pick(ZONES);
      evacuated = zone;
      cluster.declareOther(`evacuate/${zone}`, '{}');
      schedule(draw(...EVACUATION_MILLIS), () => {
        cluster.declareOther(`evacuate/${zone}`, undefined);
        evacuated = undefined;
      });
    }
  };
  const series = (fault: Fault): void => {
    fault();
    schedule(draw(1000, 1500), fault);
    schedule(draw(2000, 3000), fault);
  };
  return {
    storeSilentInBurst: () => {
      burst();
      silenceAll(draw(1000, LONGEST_SILENCE_MILLIS));
    },
    storeSilentAgain: () => {
      series(() => {
        silenceAll(draw(300, 900));
      });
    },
    ownerLostInBurst: () => {
      burst();
      all('killOwner');
    },
    allLostInBurst: () => {
      burst();
      all('killAll');
    },
    evacuationAndLostOwner: () => {
      evacuate();
      all('killOwner');
    },
    evacuationAndLostMembers: () => {
      evacuate();
      series(() => {
        all('kill');
      });
    },
    evacuationAndSlowStore: () => {
      evacuate();
      all('storeSlow');
    },
    evacuationInSilence: () => {
      silenceAll(draw(1000, LONGEST_SILENCE_MILLIS));
      schedule(draw(100, 900), evacuate);
    },
    evacuationAndLostAnswers: () => {
      evacuate();
      all('lostAnswers', 'lateOrders');
    },
    evacuationAndFrozenOwner: () => {
      evacuate();
      all('freezeOwner');
    },
    evacuationAndRestarts: () => {
      evacuate();
      series(() => {
        all('workerRestarts');
      });
    },
    evacuationAndCutWorkers: () => {
      evacuate();
      burst();
      all('workersUnreachable');
    },
  };
}
