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

export class WaitingDemand {
  private readonly sums = new Map<string, RankedDemand>();

  add({ millicores, work, ...rank }: RankedDemand): void {
    const key = `${rank.band} ${rank.priority} ${rank.team ?? ''} ${rank.label ?? ''}`;
    const sum = this.sums.get(key) ?? NO_DEMAND;
    this.sums.set(key, {
      ...rank,
      millicores: sum.millicores + millicores,
      work: sum.work + work,
    });
  }

  matching(isAhead: (demand: RankedDemand) => boolean): Demand {
    return sumOf([...this.sums.values()].filter(isAhead));
  }

  /** The teams with demand of the band. */
  teamsOf(band: Band): Set<TeamId | undefined> {
    const ofBand = [...this.sums.values()].filter((demand) => demand.band === band);
    return new Set(ofBand.map(({ team }) => team));
  }
}
