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
  private readonly services = new Map<string, Pool>();
  /** By service and label. */
  private readonly labels = new Map<string, Map<string, Pool>>();
  private readonly teams = new Map<TeamId, Pool>();

  constructor(
    private readonly available: readonly AvailableWorker[],
    private readonly teamUseOf: (team: TeamId) => TeamUse | undefined,
  ) {}

  /** What the step draws from. */
  poolsOf({ job, plan }: Step): Pool[] {
    const { service } = job.queue;
    const { neededLabel } = plan;
    const team = job.plan?.team;
    const pools = [this.servicePoolOf(service)];
    if (neededLabel !== undefined) {
      pools.push(this.labelPoolOf(service, neededLabel));
    }
    if (team !== undefined) {
      pools.push(this.teamPoolOf(team));
    }
    return pools;
  }

  private servicePoolOf(service: string): Pool {
    return getOrAdd(this.services, service, () => ({
      key: servicePool(service),
      millicores: this.aheadOfWorkers(service),
    }));
  }

  private labelPoolOf(service: string, label: string): Pool {
    const pools = getOrAdd(this.labels, service, () => new Map<string, Pool>());
    return getOrAdd(pools, label, () => ({
      key: labelPool(service, label),
      millicores: this.aheadOfWorkers(service, label),
    }));
  }

  private teamPoolOf(team: TeamId): Pool {
    return getOrAdd(this.teams, team, () => ({
      key: teamPool(team),
      millicores: aheadOfTeam(this.teamUseOf(team)),
    }));
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

/** The keys of those that steps use up; empty if the step that draws from them may ask for advice. */
export function spentPoolsOf(pools: readonly Pool[]): PoolKey[] {
  return pools.filter(({ millicores }) => millicores <= 0).map(({ key }) => key);
}

/** @param tasks number of the step's tasks that may start. */
export function spend(pools: readonly Pool[], { plan }: Step, tasks: number): void {
  for (const pool of pools) {
    pool.millicores -= tasks * allocationOf(plan).millicores;
  }
}

function getOrAdd<Key, Value>(map: Map<Key, Value>, key: Key, add: () => Value): Value {
  const known = map.get(key);
  if (known !== undefined) {
    return known;
  }
  const added = add();
  map.set(key, added);
  return added;
}
