/** Computes each team's fair share of the usage. */

import type { TeamId } from '@bamboowell/types/ids';
import type { TeamDemand } from './demand.js';

/** Weighted max-min fair shares as fractions of `ran`. No team gets more than it asked for. */
export function maxMinFairShares(
  teams: readonly TeamDemand[],
  asked: ReadonlyMap<TeamId, number>,
  ran: number,
): Map<TeamId, number> {
  const shares = new Map<TeamId, number>();
  let remaining = ran;
  const byDemandPerWeight = [...teams].sort(
    (one, other) => demandOf(one, asked) / one.weight - demandOf(other, asked) / other.weight,
  );
  byDemandPerWeight.forEach((team, index) => {
    const weights = sumOf(byDemandPerWeight.slice(index), ({ weight }) => weight);
    const amount = Math.min(demandOf(team, asked), (remaining * team.weight) / weights);
    remaining -= amount;
    shares.set(team.team, amount / ran);
  });
  return shares;
}

function demandOf({ team }: TeamDemand, asked: ReadonlyMap<TeamId, number>): number {
  return asked.get(team) ?? 0;
}

function sumOf(teams: readonly TeamDemand[], of: (team: TeamDemand) => number): number {
  return teams.reduce((sum, team) => sum + of(team), 0);
}
