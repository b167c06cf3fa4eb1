/** Measures cores and accelerators that stay unused although there is work for them. */

import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { BestFit } from '@bamboowell/policy/best-fit';
import { NO_SPREAD } from '@bamboowell/policy/fleet';
import { FirstFit, type Placement } from '@bamboowell/policy/placement';
import { add, NO_RESOURCES, subtract, type Resources } from '@bamboowell/types/resources';
import {
  acceleratorDemand,
  batchDemand,
  capacityOf,
  fleetOf,
  TALLOWGUM,
  twoYearFleet,
  UPEPO,
  type FleetPlan,
} from './fleets.js';

const SEED = 20_261_205;
const TARGET_FRACTION_ABOVE_BOUND = 0.05;
const PLANS = [UPEPO, TALLOWGUM, twoYearFleet(200), twoYearFleet(6800)];

/**
 * Offers tasks in random order and places or rejects each. Their total demand is all of the fleet's
 * accelerators and cores, less than one task missing. By total demand all of them fit, so the lower
 * bound of the stranded capacity is what the total demand leaves free.
 */
export function measurePacking(): object {
  const runs = PLANS.flatMap((plan) => {
    const work = workFor(plan);
    return [pack(new BestFit(), plan, work), pack(new FirstFit(), plan, work)];
  });
  return { seed: SEED, target: { partAboveBound: TARGET_FRACTION_ABOVE_BOUND }, runs };
}

function pack(rule: Placement, plan: FleetPlan, work: readonly Resources[]) {
  const fleet = fleetOf(plan);
  const capacity = capacityOf(plan);
  let placed = NO_RESOURCES;
  let turnedAway = 0;
  for (const demand of work) {
    const worker = rule.choose(fleet, demand, NO_SPREAD);
    if (worker !== undefined && fleet.reserve(worker, demand)) {
      placed = add(placed, demand);
    } else {
      turnedAway += 1;
    }
  }
  const bound = subtract(capacity, totalOf(work));
  const stranded = subtract(capacity, placed);
  return {
    rule: rule.constructor.name,
    fleet: plan.name,
    tasks: work.length,
    turnedAway,
    cores: strandedOf(stranded.millicores, bound.millicores, capacity.millicores),
    accelerators: strandedOf(stranded.accelerators, bound.accelerators, capacity.accelerators),
  };
}

/** The stranded capacity and its lower bound as fractions of the capacity. */
function strandedOf(stranded: number, bound: number, capacity: number) {
  if (capacity === 0) {
    return { capacity };
  }
  return {
    capacity,
    strandedPart: rounded(stranded / capacity),
    boundPart: rounded(bound / capacity),
    partAboveBound: rounded((stranded - bound) / capacity),
  };
}

function rounded(fraction: number): number {
  return Number(fraction.toFixed(4));
}

/** Accelerator tasks up to the fleet's accelerators, then batch tasks up to its cores, shuffled. */
function workFor(plan: FleetPlan): Resources[] {
  const random = xoroshiro128plus(SEED);
  const capacity = capacityOf(plan);
  const work: Resources[] = [];
  const total = drawUpTo(capacity, NO_RESOURCES, work, () => acceleratorDemand(random));
  drawUpTo(capacity, total, work, () => batchDemand(random));
  return shuffled(work, random);
}

/** Draws demands and adds them to `work` until one would exceed the capacity. */
function drawUpTo(
  capacity: Resources,
  from: Resources,
  work: Resources[],
  draw: () => Resources,
): Resources {
  let total = from;
  for (let demand = draw(); isWithin(add(total, demand), capacity); demand = draw()) {
    work.push(demand);
    total = add(total, demand);
  }
  return total;
}

function isWithin(total: Resources, capacity: Resources): boolean {
  return total.millicores <= capacity.millicores && total.accelerators <= capacity.accelerators;
}

function totalOf(work: readonly Resources[]): Resources {
  return work.reduce(add, NO_RESOURCES);
}

function shuffled(work: readonly Resources[], random: RandomGenerator): Resources[] {
  const result = [...work];
  for (let index = result.length - 1; index > 0; index -= 1) {
    const other = uniformInt(random, 0, index);
    const left = result[index];
    const right = result[other];
    if (left !== undefined && right !== undefined) {
      result[index] = right;
      result[other] = left;
    }
  }
  return result;
}
