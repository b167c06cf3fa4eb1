/** Fleets and random demands for the measurements. */

import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { Fleet } from '@bamboowell/policy/fleet';
import { brandAs, type RackId, type WorkerId } from '@bamboowell/types/ids';
import { add, NO_RESOURCES, type Resources } from '@bamboowell/types/resources';

const WORKERS_IN_RACK = 8;
export const MIB_PER_GIB = 1024;

/** Workers of one kind. */
export interface WorkerKind {
  readonly workers: number;
  readonly capacity: Resources;
}

/** A fleet to measure with. */
export interface FleetPlan {
  readonly name: string;
  readonly kinds: readonly WorkerKind[];
}

export const UPEPO: FleetPlan = {
  name: 'upepo',
  kinds: [{ workers: 30, capacity: amountOf(64, 128) }],
};

export const TALLOWGUM: FleetPlan = {
  name: 'tallowgum',
  kinds: [{ workers: 30, capacity: amountOf(32, 128) }],
};

/** A fleet of the two-year plan's proportions: 8,800 accelerators on 6,800 workers. */
export function twoYearFleet(workers: number): FleetPlan {
  const withAccelerators = Math.round((workers * 1100) / 6800);
  return {
    name: `two-year-${workers}`,
    kinds: [
      { workers: workers - withAccelerators, capacity: amountOf(64, 128) },
      { workers: withAccelerators, capacity: amountOf(64, 128, 8) },
    ],
  };
}

export function amountOf(cores: number, gib: number, accelerators = 0, slots = 8): Resources {
  return { millicores: cores * 1000, memoryMib: gib * MIB_PER_GIB, accelerators, slots };
}

/** The workers of the plan, all usable and empty, with their kinds interleaved in proportion. */
export function fleetOf(plan: FleetPlan): Fleet {
  const fleet = new Fleet();
  interleavedCapacities(plan).forEach((capacity, number) => {
    const rack = brandAs<RackId>(`rack-${Math.floor(number / WORKERS_IN_RACK)}`);
    const id = brandAs<WorkerId>(`worker-${number}`);
    fleet.put({ id, dataCentre: brandAs('dc-1'), rack, capacity }, true);
  });
  return fleet;
}

/** Capacities of the workers, with each kind spread evenly over the list. */
function interleavedCapacities(plan: FleetPlan): Resources[] {
  return plan.kinds
    .flatMap(({ workers, capacity }) =>
      Array.from({ length: workers }, (_, index) => ({ at: (index + 0.5) / workers, capacity })),
    )
    .sort((left, right) => left.at - right.at)
    .map(({ capacity }) => capacity);
}

export function capacityOf(plan: FleetPlan): Resources {
  let total = NO_RESOURCES;
  for (const { workers, capacity } of plan.kinds) {
    for (let index = 0; index < workers; index += 1) {
      total = add(total, capacity);
    }
  }
  return total;
}

/** Demand of a batch task: half a core to eight cores with up to 16 GiB. */
export function batchDemand(random: RandomGenerator): Resources {
  return {
    millicores: uniformInt(random, 1, 16) * 500,
    memoryMib: uniformInt(random, 1, 64) * 256,
    accelerators: 0,
    slots: 0,
  };
}

/** Demand of a task on 1, 2, 4 or 8 accelerators, with four cores and 8 GiB for each. */
export function acceleratorDemand(random: RandomGenerator): Resources {
  const accelerators = 2 ** uniformInt(random, 0, 3);
  return amountOf(accelerators * 4, accelerators * 8, accelerators, 0);
}
