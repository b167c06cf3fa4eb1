/** What could not start in a round, so that nothing as large is tried in vain. */

import type { TeamId } from '@bamboowell/types/ids';
import { fits, type Resources } from '@bamboowell/types/resources';
import type { Candidate, Obstacle } from './ordering.js';
import { totalOf } from './hold.js';

/** One size that could not start. */
interface BlockedSize {
  readonly amount: Resources;
  readonly together: number;
}

/** Smallest sizes that could not start; none is at least as large as another. */
class BlockedSizes {
  private sizes: BlockedSize[] = [];

  add(size: BlockedSize): void {
    this.sizes = this.sizes.filter((other) => !isAtMost(size, other));
    this.sizes.push(size);
  }

  cover(size: BlockedSize): boolean {
    return this.sizes.some((other) => isAtMost(other, size));
  }
}

function isAtMost(left: BlockedSize, right: BlockedSize): boolean {
  return left.together <= right.together && fits(left.amount, right.amount);
}

/** The obstacles met in one round. */
export class Obstacles {
  private readonly noWorkerFits = new BlockedSizes();
  private readonly teamLimits = new Map<TeamId, BlockedSizes>();

  add(candidate: Candidate, obstacle: Obstacle): void {
    if (obstacle === 'no_worker_fits') {
      this.noWorkerFits.add({ amount: candidate.demand, together: candidate.together });
      return;
    }
    const sizes = this.teamLimits.get(candidate.team) ?? new BlockedSizes();
    this.teamLimits.set(candidate.team, sizes);
    sizes.add({ amount: totalOf(candidate), together: 1 });
  }

  /** Whether something at most as large could not start. */
  block(candidate: Candidate): boolean {
    const { demand, together, team } = candidate;
    if (this.noWorkerFits.cover({ amount: demand, together })) {
      return true;
    }
    const limits = this.teamLimits.get(team);
    return limits?.cover({ amount: totalOf(candidate), together: 1 }) === true;
  }
}
