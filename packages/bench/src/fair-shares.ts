/** What each team is due of what ran. */

import type { TeamId } from '@bamboowell/types/ids';
import type { TeamDemand } from './demand.js';

/** Weighted max-min fair parts of what ran: nobody is due more than it asked for. */
export function maxMinFairShares(
  teams: readonly TeamDemand[],
  asked: ReadonlyMap<TeamId, number>,
  ran: number,
): Map<TeamId, number> {
  const due = new Map<TeamId, number>();
  let left = ran;
  const byNeed = [...teams].sort(
    (one, other) => needOf(one, asked) / one.weight - needOf(other, asked) / other.weight,
  );
  byNeed.forEach((team, index) => {
    const weights = sumOf(byNeed.slice(index), ({ weight }) => weight);
    const amount = Math.min(needOf(team, asked), (left * team.weight) / weights);
    left -= amount;
    due.set(team.team, amount / ran);
  });
  return due;
}

function needOf({ team }: TeamDemand, asked: ReadonlyMap<TeamId, number>): number {
  return asked.get(team) ?? 0;
}

function sumOf(teams: readonly TeamDemand[], of: (team: TeamDemand) => number): number {
  return teams.reduce((sum, team) => sum + of(team), 0);
}
