/** The placement rule for mixed work on a large fleet. */

import type { RackId, WorkerId } from '@bamboowell/types/ids';
import { DIMENSIONS, fits, type Resources } from '@bamboowell/types/resources';
import type { Fleet, Spread } from './fleet.js';
import type { IndexedWorker, WorkerGroup } from './fleet-index.js';
import { Placement } from './placement.js';

/** Most members with room that are compared within one group. */
const COMPARED_MEMBERS = 32;

/** How well a worker suits. Lower is better; compared field by field in this order. */
interface Fit {
  readonly sameRack: number;
  readonly sameWorker: number;
  /** Accelerators that would lie beside work that needs fewer of them. */
  readonly idleAccelerators: number;
  /** Sum of the squared free parts that would be left. */
  readonly gap: number;
}

interface Choice {
  readonly entry: IndexedWorker;
  readonly fit: Fit;
}

interface RankedGroup {
  readonly group: WorkerGroup;
  readonly idleAccelerators: number;
  readonly gap: number;
}

/**
 * Takes the worker with the fewest tasks of the same work in its rack and on itself, then the one
 * that would waste the fewest accelerators, then the tightest one, so that large gaps stay free.
 */
export class BestFit extends Placement {
  choose(fleet: Fleet, demand: Resources, spread: Spread): WorkerId | undefined {
    const floor = fewestInRack(fleet, spread);
    let best: Choice | undefined;
    for (const { group } of rankedGroups(fleet, demand)) {
      const choice = choiceIn(fleet, group, demand, spread);
      if (choice !== undefined && (best === undefined || isBetter(choice.fit, best.fit))) {
        best = choice;
      }
      if (best !== undefined && best.fit.sameRack <= floor && best.fit.sameWorker === 0) {
        return best.entry.worker.profile.id;
      }
    }
    return best?.entry.worker.profile.id;
  }
}

/** Best groups first. Ties keep the order in which the groups came to be. */
function rankedGroups(fleet: Fleet, demand: Resources): RankedGroup[] {
  return fleet
    .groupsFor(demand)
    .map((group) => ({
      group,
      idleAccelerators: idleAccelerators(group.capacity, group.maxFree, demand),
      gap: gapOf(group.capacity, group.maxFree, demand),
    }))
    .sort((left, right) => left.idleAccelerators - right.idleAccelerators || left.gap - right.gap);
}

function choiceIn(
  fleet: Fleet,
  group: WorkerGroup,
  demand: Resources,
  spread: Spread,
): Choice | undefined {
  const spreads = spread.workers.size > 0 || spread.racks.size > 0;
  let best: Choice | undefined;
  let compared = 0;
  for (const entry of group.members) {
    if (!fits(demand, entry.free)) {
      continue;
    }
    const fit = fitOf(entry, demand, spread);
    if (best === undefined || isBetter(fit, best.fit)) {
      best = { entry, fit };
    }
    compared += 1;
    if (!spreads && compared >= COMPARED_MEMBERS) {
      break;
    }
  }
  if (best === undefined) {
    fleet.recomputeMaxFree(group);
  }
  return best;
}

function fitOf(entry: IndexedWorker, demand: Resources, spread: Spread): Fit {
  const { id, rack, capacity } = entry.worker.profile;
  return {
    sameRack: spread.racks.get(rack) ?? 0,
    sameWorker: spread.workers.get(id) ?? 0,
    idleAccelerators: idleAccelerators(capacity, entry.free, demand),
    gap: gapOf(capacity, entry.free, demand),
  };
}

function isBetter(left: Fit, right: Fit): boolean {
  const difference =
    left.sameRack - right.sameRack ||
    left.sameWorker - right.sameWorker ||
    left.idleAccelerators - right.idleAccelerators ||
    left.gap - right.gap;
  return difference < 0;
}

/**
 * For work without accelerators, a worker that has none at all comes before one whose accelerators
 * are taken, and that before one with free ones.
 */
function idleAccelerators(capacity: Resources, free: Resources, demand: Resources): number {
  const left = free.accelerators - demand.accelerators;
  return demand.accelerators === 0 && capacity.accelerators > 0 ? left + 1 : left;
}

function gapOf(capacity: Resources, free: Resources, demand: Resources): number {
  let gap = 0;
  for (const dimension of DIMENSIONS) {
    if (demand[dimension] > 0) {
      gap += ((free[dimension] - demand[dimension]) / capacity[dimension]) ** 2;
    }
  }
  return gap;
}

/** No rack has fewer tasks of the work than this. */
function fewestInRack(fleet: Fleet, spread: Spread): number {
  if (spread.racks.size < fleet.rackCount) {
    return 0;
  }
  return smallest(spread.racks);
}

function smallest(counts: ReadonlyMap<RackId, number>): number {
  let least = Number.POSITIVE_INFINITY;
  for (const count of counts.values()) {
    least = Math.min(least, count);
  }
  return least === Number.POSITIVE_INFINITY ? 0 : least;
}
