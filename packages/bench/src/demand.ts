/** Random work items of the two users' teams, reproducible by seed. */

import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { brandAs, type TeamId, type WorkId } from '@bamboowell/types/ids';
import type { Resources } from '@bamboowell/types/resources';
import type { Instant } from '@bamboowell/types/time';
import type { Urgency } from '@bamboowell/types/work';
import type { Candidate } from '@bamboowell/policy/ordering';
import { amountOf, capacityOf, TALLOWGUM, UPEPO, type FleetPlan } from './fleets.js';

/** A class of work of one user. */
export interface WorkClass {
  readonly name: string;
  readonly urgency: Urgency;
  /** Fraction of the requested cores that this class accounts for. */
  readonly loadFraction: number;
  /** Possible demands of a task, drawn with equal probability. */
  readonly demands: readonly Resources[];
  readonly meanRunMillis: number;
  readonly gangSize: number;
  readonly checkpointable: boolean;
}

/** A team's weight, and the fraction of the requested cores that it accounts for. */
export interface TeamDemand {
  readonly team: TeamId;
  readonly weight: number;
  readonly loadFraction: number;
}

/** One user with its fleet, its customers as teams, and its work. */
export interface UserProfile {
  readonly name: string;
  readonly fleet: FleetPlan;
  readonly teams: readonly TeamDemand[];
  readonly classes: readonly WorkClass[];
}

/** A work item; `waitingSince` of the candidate is when it arrives. */
export interface Arrival {
  readonly candidate: Candidate;
  readonly className: string;
  readonly runMillis: number;
  readonly checkpointable: boolean;
}

/** Six customers, a few of them large; some request more than their share, some less. */
const TEAMS: readonly TeamDemand[] = [
  { team: brandAs<TeamId>('large-1'), weight: 6, loadFraction: 0.45 },
  { team: brandAs<TeamId>('large-2'), weight: 4, loadFraction: 0.2 },
  { team: brandAs<TeamId>('middle'), weight: 3, loadFraction: 0.2 },
  { team: brandAs<TeamId>('small-1'), weight: 1, loadFraction: 0.09 },
  { team: brandAs<TeamId>('small-2'), weight: 1, loadFraction: 0.03 },
  { team: brandAs<TeamId>('small-3'), weight: 1, loadFraction: 0.03 },
];

const PLAN_SIZES = [amountOf(2, 4, 0, 0), amountOf(4, 8, 0, 0), amountOf(8, 16, 0, 0)];

const SHARED_CLASSES: readonly WorkClass[] = [
  {
    name: 'urgent',
    urgency: 'urgent',
    loadFraction: 0.01,
    demands: [amountOf(4, 8, 0, 0)],
    meanRunMillis: 20_000,
    gangSize: 1,
    checkpointable: false,
  },
  {
    name: 'gang',
    urgency: 'patient',
    loadFraction: 0.04,
    demands: [amountOf(8, 16, 0, 0)],
    meanRunMillis: 60_000,
    gangSize: 6,
    checkpointable: true,
  },
];

const BOOKINGS: readonly WorkClass[] = [
  ...SHARED_CLASSES,
  planClass('run plan', 'patient', 0.7, 60_000),
  planClass('slot swap', 'patient', 0.15, 15_000),
  quickClass('seat hold', 0.1, 2000),
];

const SCANS: readonly WorkClass[] = [
  ...SHARED_CLASSES,
  planClass('deposit reconciliation', 'patient', 0.6, 60_000),
  planClass('export', 'ordinary', 0.15, 20_000),
  quickClass('keg scan', 0.2, 2000),
];

export const UPEPO_PROFILE: UserProfile = {
  name: 'upepo',
  fleet: UPEPO,
  teams: TEAMS,
  classes: BOOKINGS,
};

export const TALLOWGUM_PROFILE: UserProfile = {
  name: 'tallowgum',
  fleet: TALLOWGUM,
  teams: TEAMS,
  classes: SCANS,
};

/** Weights of the two-year teams, assigned in turn. */
const WEIGHTS = [8, 4, 2, 1, 1, 1, 1];
/** Requested cores of the two-year teams relative to their weights, assigned in turn. */
const RELATIVE_LOADS = [1.3, 0.7, 1, 0.5, 1.5];
const TWO_YEAR_TEAMS = 77;

/** One shard of the two-year size: 200 workers and 77 teams with long batch work. */
export const TWO_YEAR_SHARD_PROFILE: UserProfile = {
  name: 'two-year-shard',
  fleet: { name: 'two-year-shard', kinds: [{ workers: 200, capacity: amountOf(64, 128) }] },
  teams: twoYearTeams(),
  classes: [...SHARED_CLASSES, planClass('batch', 'ordinary', 0.95, 120_000)],
};

function twoYearTeams(): TeamDemand[] {
  const teams = Array.from({ length: TWO_YEAR_TEAMS }, (_, number) => ({
    team: brandAs<TeamId>(`team-${number}`),
    weight: WEIGHTS[number % WEIGHTS.length] ?? 1,
    relativeLoad: RELATIVE_LOADS[number % RELATIVE_LOADS.length] ?? 1,
  }));
  const total = teams.reduce((sum, { weight, relativeLoad }) => sum + weight * relativeLoad, 0);
  return teams.map(({ team, weight, relativeLoad }) => ({
    team,
    weight,
    loadFraction: (weight * relativeLoad) / total,
  }));
}

function planClass(
  name: string,
  urgency: Urgency,
  loadFraction: number,
  meanRunMillis: number,
): WorkClass {
  return {
    name,
    urgency,
    loadFraction,
    demands: PLAN_SIZES,
    meanRunMillis,
    gangSize: 1,
    checkpointable: true,
  };
}

function quickClass(name: string, loadFraction: number, meanRunMillis: number): WorkClass {
  return {
    name,
    urgency: 'ordinary',
    loadFraction,
    demands: [amountOf(2, 1, 0, 1)],
    meanRunMillis,
    gangSize: 1,
    checkpointable: false,
  };
}

/** Arrivals before `untilMillis`, in order, that request `load` times the fleet's cores. */
export function arrivalsOf(
  profile: UserProfile,
  load: number,
  untilMillis: number,
  seed: number,
): Arrival[] {
  const random = xoroshiro128plus(seed);
  const cores = capacityOf(profile.fleet).millicores;
  const arrivals = profile.teams.flatMap(({ team, loadFraction }) =>
    profile.classes.flatMap((workClass) =>
      poissonArrivals(
        team,
        workClass,
        cores * load * loadFraction * workClass.loadFraction,
        untilMillis,
        random,
      ),
    ),
  );
  return arrivals.sort((left, right) => left.candidate.waitingSince - right.candidate.waitingSince);
}

/** Poisson arrivals that keep `millicores` busy on average. */
function poissonArrivals(
  team: TeamId,
  workClass: WorkClass,
  millicores: number,
  untilMillis: number,
  random: RandomGenerator,
): Arrival[] {
  const { demands, meanRunMillis, gangSize } = workClass;
  const meanSize = demands.reduce((sum, demand) => sum + demand.millicores, 0) / demands.length;
  const meanGapMillis = (meanSize * gangSize * meanRunMillis) / millicores;
  const arrivals: Arrival[] = [];
  for (let at = exponential(random, meanGapMillis); at < untilMillis;) {
    arrivals.push(arrivalOf(team, workClass, Math.round(at), arrivals.length, random));
    at += exponential(random, meanGapMillis);
  }
  return arrivals;
}

function arrivalOf(
  team: TeamId,
  workClass: WorkClass,
  at: number,
  number: number,
  random: RandomGenerator,
): Arrival {
  const { name, urgency, demands, gangSize, checkpointable, meanRunMillis } = workClass;
  const demand = demands[uniformInt(random, 0, demands.length - 1)] ?? amountOf(1, 1);
  const candidate: Candidate = {
    work: brandAs<WorkId>(`${team}/${name}/${number}`),
    team,
    queue: brandAs(name),
    urgency,
    demand,
    gangSize,
    waitingSince: brandAs<Instant>(at),
  };
  const runMillis = Math.max(1, Math.round(exponential(random, meanRunMillis)));
  return { candidate, className: name, runMillis, checkpointable };
}

function exponential(random: RandomGenerator, mean: number): number {
  return -Math.log(1 - uniformFloat64(random)) * mean;
}
