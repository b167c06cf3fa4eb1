/** Measures waiting time by class and team, and how close each team comes to its fair share. */

import { BestFit } from '@bamboowell/policy/best-fit';
import { FairShare } from '@bamboowell/policy/fair-share';
import { FirstComeFirstServed, type Ordering } from '@bamboowell/policy/ordering';
import type { TeamId } from '@bamboowell/types/ids';
import { resourcesOf, type Resources } from '@bamboowell/types/resources';
import {
  arrivalsOf,
  TALLOWGUM_PROFILE,
  TWO_YEAR_SHARD_PROFILE,
  UPEPO_PROFILE,
  type Arrival,
  type UserProfile,
} from './demand.js';
import { maxMinFairShares } from './fair-shares.js';
import { capacityOf, fleetOf } from './fleets.js';
import { SplitOrdering } from './split-ordering.js';
import { QueueModel, type Rules, type Start } from './queue-model.js';

const SEED = 20_261_206;
const LOADS = [0.95, 1.2];
const MEASURE_FROM_MILLIS = 300_000;
const MEASURE_UNTIL_MILLIS = 1_500_000;
const TARGET = { shareError: 0.05, urgentP99Millis: 3000 };

export function measureWaiting(): object {
  const runs = [UPEPO_PROFILE, TALLOWGUM_PROFILE, TWO_YEAR_SHARD_PROFILE].flatMap((profile) =>
    LOADS.flatMap((load) => {
      const arrivals = arrivalsOf(profile, load, MEASURE_UNTIL_MILLIS, SEED);
      return rulesFor(profile).map((rules) => measureRules(profile, load, rules, arrivals));
    }),
  );
  return { seed: SEED, target: TARGET, runs };
}

function rulesFor(profile: UserProfile): Rules[] {
  const fairShare = fairShareFor(profile);
  const excessOf = (team: TeamId) => fairShare.excessOf(team);
  return [
    { ...rulesOf('fair share, preemption', fairShare), excessOf },
    rulesOf('fair share', fairShareFor(profile)),
    rulesOf('first come, first served', new FirstComeFirstServed()),
    { ...rulesOf('static split', new SplitOrdering()), limits: staticLimits(profile) },
  ];
}

function rulesOf(name: string, ordering: Ordering): Rules {
  return { name, ordering, placement: new BestFit(), limits: undefined, excessOf: undefined };
}

function fairShareFor({ teams, fleet }: UserProfile): FairShare {
  const ordering = new FairShare();
  ordering.setCapacity(capacityOf(fleet));
  ordering.setWeights(new Map(teams.map(({ team, weight }) => [team, weight])));
  return ordering;
}

/** Static limit of each team: the fraction of the fleet that its weight gives. */
function staticLimits({ teams, fleet }: UserProfile): Map<TeamId, Resources> {
  const capacity = capacityOf(fleet);
  const weights = sumOf(teams, ({ weight }) => weight);
  return new Map(
    teams.map(({ team, weight }) => [
      team,
      resourcesOf((dimension) => Math.floor((capacity[dimension] * weight) / weights)),
    ]),
  );
}

function measureRules(
  profile: UserProfile,
  load: number,
  rules: Rules,
  arrivals: readonly Arrival[],
): object {
  const model = new QueueModel(
    rules,
    fleetOf(profile.fleet),
    MEASURE_FROM_MILLIS,
    MEASURE_UNTIL_MILLIS,
  );
  model.run(arrivals);
  const capacity =
    capacityOf(profile.fleet).millicores * (MEASURE_UNTIL_MILLIS - MEASURE_FROM_MILLIS);
  const ran = sumOf([...model.usage.values()], (usage) => usage);
  const starts = firstStarts(model.starts).filter(({ at }) => at >= MEASURE_FROM_MILLIS);
  return {
    profile: profile.name,
    load,
    rules: rules.name,
    arrivals: arrivals.length,
    stillWaiting: rules.ordering.size,
    preemptions: model.preemptions,
    utilisation: rounded(ran / capacity),
    shares: sharesOf(profile, arrivals, model.usage, ran),
    waitByClass: waitsBy(starts, ({ arrival }) => arrival.className),
    waitByTeam: waitsBy(starts, ({ arrival }) => arrival.candidate.team),
  };
}

/** Leaves out restarts of preempted work. */
function firstStarts(starts: readonly Start[]): Start[] {
  const seen = new Set<string>();
  return starts.filter(({ arrival }) => {
    const isFirst = !seen.has(arrival.candidate.work);
    seen.add(arrival.candidate.work);
    return isFirst;
  });
}

/** Each team's fraction of the usage, compared with its fair share. */
function sharesOf(
  profile: UserProfile,
  arrivals: readonly Arrival[],
  usage: ReadonlyMap<TeamId, number>,
  ran: number,
): object[] {
  const asked = demandByTeam(arrivals);
  const entitled = maxMinFairShares(profile.teams, asked, ran);
  return profile.teams.map(({ team }) => {
    const got = (usage.get(team) ?? 0) / ran;
    const due = entitled.get(team) ?? 0;
    return { team, got: rounded(got), due: rounded(due), error: rounded((got - due) / due) };
  });
}

/** Millicore-milliseconds that each team would use in the measured time if no work had to wait. */
function demandByTeam(arrivals: readonly Arrival[]): Map<TeamId, number> {
  const asked = new Map<TeamId, number>();
  for (const { candidate, runMillis } of arrivals) {
    const from = Math.max(candidate.waitingSince, MEASURE_FROM_MILLIS);
    const until = Math.min(candidate.waitingSince + runMillis, MEASURE_UNTIL_MILLIS);
    const volume = candidate.demand.millicores * candidate.gangSize * Math.max(0, until - from);
    asked.set(candidate.team, (asked.get(candidate.team) ?? 0) + volume);
  }
  return asked;
}

function waitsBy(starts: readonly Start[], keyOf: (start: Start) => string): object {
  const waits = new Map<string, number[]>();
  for (const start of starts) {
    const key = keyOf(start);
    const list = waits.get(key) ?? [];
    list.push(start.waitedMillis);
    waits.set(key, list);
  }
  return Object.fromEntries([...waits].sort().map(([key, list]) => [key, summaryOf(list)]));
}

function summaryOf(waits: readonly number[]): object {
  const sorted = [...waits].sort((left, right) => left - right);
  return {
    starts: sorted.length,
    meanMillis: Math.round(sumOf(sorted, (wait) => wait) / sorted.length),
    p50Millis: sorted[Math.floor(sorted.length * 0.5)],
    p99Millis: sorted[Math.floor(sorted.length * 0.99)],
  };
}

function sumOf<Item>(items: readonly Item[], of: (item: Item) => number): number {
  return items.reduce((sum, item) => sum + of(item), 0);
}

function rounded(fraction: number): number {
  return Number(fraction.toFixed(4));
}
