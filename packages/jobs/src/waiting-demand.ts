/** Sums of the demand that waits, by the rank in which it is placed. */

import type { TeamId } from '@bamboowell/types/ids';
import { allocationOf, isWaiting, type Step } from './model.js';
import type { Band } from './ordering.js';

/** Demand, and its run time weighted with the demand. */
export interface Demand {
  /** Thousandths of a core. */
  readonly millicores: number;
  /** Thousandths of a core, times milliseconds. */
  readonly work: number;
}

export const NO_DEMAND: Demand = { millicores: 0, work: 0 };

export function sumOf(demands: Iterable<Demand>): Demand {
  let millicores = 0;
  let work = 0;
  for (const demand of demands) {
    millicores += demand.millicores;
    work += demand.work;
  }
  return { millicores, work };
}

export function multiplyDemand({ millicores, work }: Demand, factor: number): Demand {
  return { millicores: millicores * factor, work: work * factor };
}

/** Demand of one rank: the labels that only some workers have are kept apart. */
export interface RankedDemand extends Demand {
  readonly band: Band;
  readonly priority: number;
  readonly team: TeamId | undefined;
  readonly label: string | undefined;
}

/** The demand of the tasks of the step that wait. */
export function waitingDemandOf({ plan, tasks }: Step, runMillis: number): Demand {
  let waiting = 0;
  for (const task of tasks) {
    waiting += Number(isWaiting(task));
  }
  const millicores = waiting * allocationOf(plan).millicores;
  return { millicores, work: millicores * runMillis };
}

interface Sum extends RankedDemand {
  millicores: number;
  work: number;
}

/** Above the priorities of all queues; a higher one only shares its sum with another rank. */
const PRIORITIES = 1000;

export class WaitingDemand {
  /** By team, label, and band with priority: maps in maps, as thousands of steps are added at a time. */
  private readonly sums = new Map<TeamId | undefined, Map<string | undefined, Map<number, Sum>>>();

  add(
    { band, priority, team, label }: Omit<RankedDemand, keyof Demand>,
    { millicores, work }: Demand,
  ): void {
    const ofTeam = this.sums.get(team) ?? new Map<string | undefined, Map<number, Sum>>();
    this.sums.set(team, ofTeam);
    const ofLabel = ofTeam.get(label) ?? new Map<number, Sum>();
    ofTeam.set(label, ofLabel);
    const rank = band * PRIORITIES + priority;
    const sum = ofLabel.get(rank);
    if (sum === undefined) {
      ofLabel.set(rank, { band, priority, team, label, millicores, work });
    } else {
      sum.millicores += millicores;
      sum.work += work;
    }
  }

  matching(isCounted: (demand: RankedDemand) => boolean): Demand {
    return sumOf(this.all().filter(isCounted));
  }

  /** The teams with demand of the band. */
  teamsOf(band: Band): Set<TeamId | undefined> {
    const ofBand = this.all().filter((demand) => demand.band === band);
    return new Set(ofBand.map(({ team }) => team));
  }

  private all(): Sum[] {
    return [...this.sums.values()].flatMap((ofTeam) =>
      [...ofTeam.values()].flatMap((ofLabel) => [...ofLabel.values()]),
    );
  }
}
