/**
 * For how much work advice may be asked for in one placement pass: what the workers have free, and a part of
 * their capacity beyond that. What waits behind that point would not start before its tickets expire, and its
 * calls would hold up those of work that can be on time.
 */

import { brandAs, type Branded, type TeamId } from '@bamboowell/types/ids';
import type { StepPlan } from '@bamboowell/types/job';
import type { Resources } from '@bamboowell/types/resources';
import type { AvailableWorker } from './available-workers.js';
import { allocationOf, type Step } from './model.js';

/** Fraction of the capacity for which advice is asked ahead of free room. */
const AHEAD_FRACTION = 0.5;

/** What steps draw from: the workers of a service, those of them with a label, or the limit of a team. */
export type PoolKey = Branded<string, 'PoolKey'>;

/** Processor time for which advice may still be asked, thousandths of a core. */
interface Pool {
  readonly key: PoolKey;
  millicores: number;
}

/** What a team may run and what it runs; a limit of zero means none. */
export interface TeamUse {
  readonly limit: Resources;
  readonly usage: Resources;
}

/**
 * Each step draws from several pools: work that needs a label draws from what the workers with that label have, and work of a team from what the
 * team may run: what only few workers can hold leaves the rest to others.
 */
export class AdviceBudget {
  private readonly pools = new Map<PoolKey, Pool>();

  constructor(
    private readonly available: readonly AvailableWorker[],
    private readonly teamUseOf: (team: TeamId) => TeamUse | undefined,
  ) {}

  /** The pools of the step that those before it use up; empty if it may ask for advice. */
  spentPoolsOf(step: Step): PoolKey[] {
    return this.poolsOf(step)
      .filter(({ millicores }) => millicores <= 0)
      .map(({ key }) => key);
  }

  /** @param tasks number of the step's tasks that may start. */
  spend(step: Step, tasks: number): void {
    for (const pool of this.poolsOf(step)) {
      pool.millicores -= tasks * allocationOf(step.plan).millicores;
    }
  }

  private poolsOf({ job, plan }: Step): Pool[] {
    const { service } = job.queue;
    const { neededLabel } = plan;
    const team = job.plan?.team;
    const pools = [this.pool(servicePool(service), () => this.aheadOfWorkers(service))];
    if (neededLabel !== undefined) {
      pools.push(
        this.pool(labelPool(service, neededLabel), () => this.aheadOfWorkers(service, neededLabel)),
      );
    }
    if (team !== undefined) {
      pools.push(this.pool(teamPool(team), () => aheadOfTeam(this.teamUseOf(team))));
    }
    return pools;
  }

  private pool(key: PoolKey, millicoresOf: () => number): Pool {
    const known = this.pools.get(key);
    if (known !== undefined) {
      return known;
    }
    const pool = { key, millicores: millicoresOf() };
    this.pools.set(key, pool);
    return pool;
  }

  private aheadOfWorkers(service: string, label?: string): number {
    return this.available
      .filter(({ worker: { registration } }) => registration.service === service)
      .filter(({ worker }) => label === undefined || worker.registration.labels.includes(label))
      .reduce(
        (sum, { worker, free }) =>
          sum + free.millicores + AHEAD_FRACTION * worker.registration.capacity.millicores,
        0,
      );
  }
}

/** The pools that a step of a queue of this service draws from. */
export function poolKeysOf(
  service: string,
  { neededLabel }: StepPlan,
  team: TeamId | undefined,
): PoolKey[] {
  return [
    servicePool(service),
    ...(neededLabel === undefined ? [] : [labelPool(service, neededLabel)]),
    ...(team === undefined ? [] : [teamPool(team)]),
  ];
}

function servicePool(service: string): PoolKey {
  return brandAs<PoolKey>(`service ${service}`);
}

function labelPool(service: string, label: string): PoolKey {
  return brandAs<PoolKey>(`label ${service} ${label}`);
}

function teamPool(team: TeamId): PoolKey {
  return brandAs<PoolKey>(`team ${team}`);
}

function aheadOfTeam(use: TeamUse | undefined): number {
  return use === undefined || use.limit.millicores === 0
    ? Number.POSITIVE_INFINITY
    : Math.max(0, use.limit.millicores - use.usage.millicores) +
        AHEAD_FRACTION * use.limit.millicores;
}
