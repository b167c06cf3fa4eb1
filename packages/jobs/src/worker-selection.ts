/** Chooses the workers for the tasks of one step. */

import type { RackId, WorkerId } from '@bamboowell/types/ids';
import { add, fits, isZero, type Resources } from '@bamboowell/types/resources';
import type { JobContext } from './context.js';
import { allocationOf, type Grant, type Step, type Task } from './model.js';
import type { Assignment } from './orders.js';
import { racksByFreeCores, allocate, type AvailableWorker } from './available-workers.js';

export class WorkerSelection {
  constructor(private readonly context: JobContext) {}

  /** Takes room at the sites for all of a gang, or for as many other tasks as possible. */
  assign(step: Step, waiting: readonly Task[], sites: readonly AvailableWorker[]): Assignment[] {
    return step.plan.isGang
      ? this.assignGang(step, waiting, sites)
      : this.assignEach(step, waiting, sites);
  }

  private assignEach(
    step: Step,
    waiting: readonly Task[],
    sites: readonly AvailableWorker[],
  ): Assignment[] {
    const assignments: Assignment[] = [];
    const demand = allocationOf(step.plan);
    const onWorker = runsByWorker(step);
    let toStart = this.withinLimit(step, waiting.length);
    let rack = rackOf(step);
    for (const task of waiting) {
      if (toStart === 0) {
        break;
      }
      const site = bestSite(step, task, demand, sites, onWorker, rack);
      if (site === undefined) {
        continue;
      }
      toStart -= 1;
      rack ??= site.worker.registration.rack;
      allocate(site, demand, onWorker);
      assignments.push({ task, worker: site.worker, grant: this.grantOf(step, site) });
    }
    return assignments;
  }

  private assignGang(
    step: Step,
    waiting: readonly Task[],
    sites: readonly AvailableWorker[],
  ): Assignment[] {
    const isWhole = waiting.length === step.tasks.length;
    if (!isWhole || this.withinLimit(step, waiting.length) < waiting.length) {
      return [];
    }
    const racks = step.plan.prefersOneRack ? racksByFreeCores(sites) : [];
    for (const rack of racks) {
      const near = sites.filter(({ worker }) => worker.registration.rack === rack);
      const assignments = this.tryGang(step, waiting, near);
      if (assignments.length > 0) {
        return assignments;
      }
    }
    return this.tryGang(step, waiting, sites);
  }

  /** Takes room for all of the gang or for none of it. */
  private tryGang(
    step: Step,
    waiting: readonly Task[],
    sites: readonly AvailableWorker[],
  ): Assignment[] {
    const demand = allocationOf(step.plan);
    const trial = sites.map((site) => ({ ...site }));
    const onWorker = runsByWorker(step);
    const assignments: Assignment[] = [];
    for (const task of waiting) {
      const site = bestSite(step, task, demand, trial, onWorker, undefined);
      if (site === undefined) {
        return [];
      }
      allocate(site, demand, onWorker);
      assignments.push({ task, worker: site.worker, grant: this.grantOf(step, site) });
    }
    sites.forEach((site, index) => {
      site.free = trial[index]?.free ?? site.free;
    });
    return assignments;
  }

  private grantOf(step: Step, { worker }: AvailableWorker): Grant | undefined {
    return step.grants.get(worker.id);
  }

  /** How many of the tasks the team may start within its limit; one that passes it alone may run alone. */
  private withinLimit(step: Step, wanted: number): number {
    const team = step.job.plan?.team;
    const limit = team === undefined ? undefined : this.context.team(team)?.limit;
    if (team === undefined || limit === undefined) {
      return wanted;
    }
    const demand = allocationOf(step.plan);
    const bound = withoutZeros(limit);
    let running = add(this.context.usageOf(team), demand);
    let startable = isZero(this.context.usageOf(team)) ? 1 : 0;
    for (let count = 1; count <= wanted && fits(running, bound); count += 1) {
      startable = count;
      running = add(running, demand);
    }
    return startable;
  }
}

/** A limit of zero is none. */
function withoutZeros(limit: Resources): Resources {
  const orNone = (amount: number): number => (amount === 0 ? Number.MAX_SAFE_INTEGER : amount);
  return {
    millicores: orNone(limit.millicores),
    memoryMib: orNone(limit.memoryMib),
    accelerators: orNone(limit.accelerators),
    slots: orNone(limit.slots),
  };
}

function runsByWorker(step: Step): Map<WorkerId, number> {
  const counts = new Map<WorkerId, number>();
  for (const { worker } of step.tasks.flatMap(({ runs }) => runs)) {
    counts.set(worker.id, (counts.get(worker.id) ?? 0) + 1);
  }
  return counts;
}

/** The rack on which tasks of the step run, if any do. */
function rackOf(step: Step): RackId | undefined {
  return step.tasks.flatMap(({ runs }) => runs).at(0)?.worker.registration.rack;
}

/** The fullest worker that holds the task, rather near its data and not where it failed. */
function bestSite(
  step: Step,
  task: Task,
  demand: Resources,
  sites: readonly AvailableWorker[],
  onWorker: ReadonlyMap<WorkerId, number>,
  rack: RackId | undefined,
): AvailableWorker | undefined {
  const { maxPerWorker } = step.plan;
  let best: AvailableWorker | undefined;
  let bestScore = Number.POSITIVE_INFINITY;
  for (const site of sites) {
    const isFull = maxPerWorker > 0 && (onWorker.get(site.worker.id) ?? 0) >= maxPerWorker;
    if (isFull || !fits(demand, site.free)) {
      continue;
    }
    const score = scoreOf(step, task, site, rack);
    if (score < bestScore) {
      best = site;
      bestScore = score;
    }
  }
  return best;
}

/** Cores by which a worker off the data's rack, or one on which the task failed, ranks behind. */
const FAR_PENALTY_MILLICORES = 1_000_000;

function scoreOf(
  { plan }: Step,
  task: Task,
  { worker, free: room }: AvailableWorker,
  rack: RackId | undefined,
): number {
  const isFar = plan.rackOfData !== undefined && worker.registration.rack !== plan.rackOfData;
  const leavesRack = plan.prefersOneRack && rack !== undefined && worker.registration.rack !== rack;
  const hasFailed = task.failedOn.has(worker.id);
  const penalties = Number(isFar) + Number(leavesRack) + 2 * Number(hasFailed);
  return room.millicores + penalties * FAR_PENALTY_MILLICORES;
}
