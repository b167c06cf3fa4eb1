/** Best-fit placement with spreading over racks and workers, for a large fleet with mixed work. */

import type { RackId, WorkerId } from '@bamboowell/types/ids';
import { DIMENSIONS, fits, type Resources } from '@bamboowell/types/resources';
import type { Fleet, Spread } from './fleet.js';
import type { IndexedWorker, WorkerGroup } from './fleet-index.js';
import { Placement } from './placement.js';

/**
 * Maximum number of fitting workers that are compared within one group if no task of the work is
 * placed yet.
 */
const MAX_COMPARED_MEMBERS = 32;

/** Score of a worker for a task. Lower is better; fields are compared in this order. */
interface Fit {
  /** Tasks of the same work in the rack of the worker. */
  readonly sameRack: number;
  /** Tasks of the same work on the worker. */
  readonly sameWorker: number;
  /** Accelerators that would stay unused on the worker after the task is placed. */
  readonly idleAccelerators: number;
  /** Sum of the squared free fractions of the dimensions that the task needs, after placement. */
  readonly slack: number;
}

interface ScoredWorker {
  readonly entry: IndexedWorker;
  readonly fit: Fit;
}

interface RankedGroup {
  readonly group: WorkerGroup;
  readonly idleAccelerators: number;
  readonly slack: number;
}

/**
 * Prefers the worker with the fewest tasks of the same work in its rack, then on the worker itself;
 * then the one with the fewest accelerators left unused; then the one with the least free capacity
 * left, so that large gaps stay free.
 */
export class BestFit extends Placement {
  choose(fleet: Fleet, demand: Resources, spread: Spread): WorkerId | undefined {
    const minTasksPerRack = minTasksPerRackOf(fleet, spread);
    let best: ScoredWorker | undefined;
    for (const { group } of rankedGroups(fleet, demand)) {
      const candidate = bestInGroup(fleet, group, demand, spread);
      if (candidate !== undefined && (best === undefined || isBetter(candidate.fit, best.fit))) {
        best = candidate;
      }
      if (best !== undefined && best.fit.sameRack <= minTasksPerRack && best.fit.sameWorker === 0) {
        return best.entry.worker.profile.id;
      }
    }
    return best?.entry.worker.profile.id;
  }
}

/** Best groups first. Ties keep the order in which the groups were created. */
function rankedGroups(fleet: Fleet, demand: Resources): RankedGroup[] {
  return fleet
    .groupsFor(demand)
    .map((group) => ({
      group,
      idleAccelerators: idleAccelerators(group.capacity, group.maxFree, demand),
      slack: slackOf(group.capacity, group.maxFree, demand),
    }))
    .sort(
      (left, right) => left.idleAccelerators - right.idleAccelerators || left.slack - right.slack,
    );
}

function bestInGroup(
  fleet: Fleet,
  group: WorkerGroup,
  demand: Resources,
  spread: Spread,
): ScoredWorker | undefined {
  const hasPlacedTasks = spread.workers.size > 0 || spread.racks.size > 0;
  let best: ScoredWorker | undefined;
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
    if (!hasPlacedTasks && compared >= MAX_COMPARED_MEMBERS) {
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
    slack: slackOf(capacity, entry.free, demand),
  };
}

function isBetter(left: Fit, right: Fit): boolean {
  const difference =
    left.sameRack - right.sameRack ||
    left.sameWorker - right.sameWorker ||
    left.idleAccelerators - right.idleAccelerators ||
    left.slack - right.slack;
  return difference < 0;
}

/**
 * Number of accelerators that would stay unused. For work without accelerators, one is added on
 * workers that have any: a worker without accelerators ranks before one whose accelerators are all
 * in use, which ranks before one with free accelerators.
 */
function idleAccelerators(capacity: Resources, free: Resources, demand: Resources): number {
  const left = free.accelerators - demand.accelerators;
  return demand.accelerators === 0 && capacity.accelerators > 0 ? left + 1 : left;
}

function slackOf(capacity: Resources, free: Resources, demand: Resources): number {
  let slack = 0;
  for (const dimension of DIMENSIONS) {
    if (demand[dimension] > 0) {
      slack += ((free[dimension] - demand[dimension]) / capacity[dimension]) ** 2;
    }
  }
  return slack;
}

/** Lower bound on the number of tasks of the work in any rack. */
function minTasksPerRackOf(fleet: Fleet, spread: Spread): number {
  if (spread.racks.size < fleet.rackCount) {
    return 0;
  }
  return minimumOf(spread.racks);
}

function minimumOf(counts: ReadonlyMap<RackId, number>): number {
  let minimum = Number.POSITIVE_INFINITY;
  for (const count of counts.values()) {
    minimum = Math.min(minimum, count);
  }
  return minimum === Number.POSITIVE_INFINITY ? 0 : minimum;
}
