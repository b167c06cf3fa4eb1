/**
 * Orders what teams run beyond their promised rates between them, by the weighted dominant share of what their
 * excess runs already. Guards against a team that sends several times its rate and takes all lent capacity,
 * because it always has the most work waiting.
 */

import { DominantShares } from '@bamboowell/policy/dominant-shares';
import type { TeamId } from '@bamboowell/types/ids';
import type { JobConfiguration, WorkerRegistration } from '@bamboowell/types/job';
import { NO_RESOURCES, add, multiply, subtract, type Resources } from '@bamboowell/types/resources';
import type { JobContext } from './context.js';
import { allocationOf, waitingTasks, type Step } from './model.js';

interface WaitingTeam {
  readonly id: TeamId;
  /** In the order of the team. */
  readonly steps: readonly Step[];
  next: number;
  rank: number;
}

export class ExcessShares {
  private configuration: JobConfiguration | undefined;
  private placeable: readonly WorkerRegistration[] = [];

  constructor(
    private readonly shares = new DominantShares(),
    /** The usage that `shares` has of each team. */
    private readonly counted = new Map<TeamId, Resources>(),
  ) {}

  /** Changes to the copy leave this one as it is. */
  copy(): ExcessShares {
    const copy = new ExcessShares(this.shares.copy(), new Map(this.counted));
    copy.configuration = this.configuration;
    copy.placeable = this.placeable;
    return copy;
  }

  /**
   * Merges the steps of the teams: next comes that of the team with the smallest share, for which the steps
   * before it count as running.
   */
  merged(stepsByTeam: ReadonlyMap<TeamId, readonly Step[]>, context: JobContext): Step[] {
    this.update(context);
    const teams: WaitingTeam[] = [];
    for (const [id, steps] of stepsByTeam) {
      insert(teams, this.ranked({ id, steps, next: 0, rank: 0 }));
    }
    const merged: Step[] = [];
    const assumed = new Map<TeamId, Resources>();
    for (let team = teams.shift(); team !== undefined; team = teams.shift()) {
      const step = team.steps[team.next];
      if (step !== undefined) {
        merged.push(step);
        const demand = multiply(allocationOf(step.plan), waitingTasks(step).length);
        assumed.set(team.id, add(assumed.get(team.id) ?? NO_RESOURCES, demand));
        this.shares.addUsage(team.id, demand);
        team.next += 1;
        insert(teams, this.ranked(team));
      }
    }
    assumed.forEach((demand, id) => {
      this.shares.addUsage(id, subtract(NO_RESOURCES, demand));
    });
    return merged;
  }

  private ranked(team: WaitingTeam): WaitingTeam {
    const step = team.steps[team.next];
    team.rank =
      step === undefined
        ? Number.POSITIVE_INFINITY
        : this.shares.rankOf(team.id, allocationOf(step.plan));
    return team;
  }

  private update(context: JobContext): void {
    this.shares.advance(context.now);
    if (context.configuration !== this.configuration) {
      this.configuration = context.configuration;
      this.shares.setWeights(weightsOf(context.configuration));
    }
    if (context.fleet.placeable !== this.placeable) {
      this.placeable = context.fleet.placeable;
      const capacities = this.placeable.map(({ capacity }) => capacity);
      this.shares.setCapacity(capacities.reduce(add, NO_RESOURCES));
    }
    context.excessUsage.forEach((usage, team) => {
      const counted = this.counted.get(team) ?? NO_RESOURCES;
      if (counted !== usage) {
        this.shares.addUsage(team, subtract(usage, counted));
        this.counted.set(team, usage);
      }
    });
  }
}

/** Promised rates as multiples of the smallest one: weights are at least 1. */
function weightsOf(configuration: JobConfiguration | undefined): Map<TeamId, number> {
  const teams = (configuration?.teams ?? []).filter(({ weight }) => weight > 0);
  const smallest = Math.min(...teams.map(({ weight }) => weight));
  return new Map(teams.map(({ id, weight }) => [id, weight / smallest]));
}

/** Inserts the team behind those of the same rank, unless it has no step left. */
function insert(teams: WaitingTeam[], team: WaitingTeam): void {
  if (team.rank === Number.POSITIVE_INFINITY) {
    return;
  }
  let low = 0;
  let high = teams.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if ((teams[middle]?.rank ?? 0) <= team.rank) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  teams.splice(low, 0, team);
}
