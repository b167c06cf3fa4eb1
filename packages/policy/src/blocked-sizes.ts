/** Sizes that could not start in a round, so that nothing at least as large is tried again. */

import type { TeamId } from '@bamboowell/types/ids';
import { fits } from '@bamboowell/types/resources';
import type { Candidate, BlockReason, Size } from './ordering.js';
import { totalDemandOf } from './capacity-hold.js';

/** A set of sizes without those that are at least as large as another size of the set. */
class MinimalSizes {
  private sizes: Size[] = [];

  add(size: Size): void {
    this.sizes = this.sizes.filter((other) => !isAtMost(size, other));
    this.sizes.push(size);
  }

  covers(size: Size): boolean {
    return this.sizes.some((other) => isAtMost(other, size));
  }
}

function isAtMost(left: Size, right: Size): boolean {
  return left.gangSize <= right.gangSize && fits(left.demand, right.demand);
}

/**
 * The sizes that were blocked in one round: those that fit on no worker, for all teams, and those
 * that exceed the limit of a team, for that team.
 */
export class BlockedSizes {
  private readonly noWorkerFits = new MinimalSizes();
  private readonly teamLimits = new Map<TeamId, MinimalSizes>();

  add(candidate: Candidate, reason: BlockReason): void {
    if (reason !== 'team_limit_reached') {
      this.noWorkerFits.add(candidate);
      return;
    }
    const sizes = this.teamLimits.get(candidate.team) ?? new MinimalSizes();
    this.teamLimits.set(candidate.team, sizes);
    sizes.add(asTotal(candidate));
  }

  /** Whether the same or a smaller size could not start. */
  isBlocked(team: TeamId, size: Size): boolean {
    if (this.noWorkerFits.covers(size)) {
      return true;
    }
    const limits = this.teamLimits.get(team);
    return limits?.covers(asTotal(size)) === true;
  }
}

/** A team limit applies to the total demand of all tasks that start together. */
function asTotal(size: Size): Size {
  return { demand: totalDemandOf(size), gangSize: 1 };
}
