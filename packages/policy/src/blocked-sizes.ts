/** What could not start in a round, so that nothing as large is tried in vain. */

import type { TeamId } from '@bamboowell/types/ids';
import { fits } from '@bamboowell/types/resources';
import type { Candidate, BlockReason, Size } from './ordering.js';
import { totalDemandOf } from './capacity-hold.js';

/** Smallest sizes that could not start; none is at least as large as another. */
class MinimalSizes {
  private sizes: Size[] = [];

  add(size: Size): void {
    this.sizes = this.sizes.filter((other) => !isAtMost(size, other));
    this.sizes.push(size);
  }

  cover(size: Size): boolean {
    return this.sizes.some((other) => isAtMost(other, size));
  }
}

function isAtMost(left: Size, right: Size): boolean {
  return left.gangSize <= right.gangSize && fits(left.demand, right.demand);
}

/** The obstacles met in one round. */
export class BlockedSizes {
  private readonly noWorkerFits = new MinimalSizes();
  private readonly teamLimits = new Map<TeamId, MinimalSizes>();

  add(candidate: Candidate, obstacle: BlockReason): void {
    if (obstacle === 'no_worker_fits') {
      this.noWorkerFits.add(candidate);
      return;
    }
    const sizes = this.teamLimits.get(candidate.team) ?? new MinimalSizes();
    this.teamLimits.set(candidate.team, sizes);
    sizes.add(inTotal(candidate));
  }

  /** Whether something at most as large could not start. */
  isBlocked(team: TeamId, size: Size): boolean {
    if (this.noWorkerFits.cover(size)) {
      return true;
    }
    const limits = this.teamLimits.get(team);
    return limits?.cover(inTotal(size)) === true;
  }
}

/** A limit counts what starts together, whatever its parts. */
function inTotal(size: Size): Size {
  return { demand: totalDemandOf(size), gangSize: 1 };
}
