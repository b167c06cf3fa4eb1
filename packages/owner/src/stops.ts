/** Stops attempts, and chooses which ones to stop after a limit was lowered. */

import type { TeamId } from '@bamboowell/types/ids';
import { add, DIMENSIONS, isZero, NO_RESOURCES, type Resources } from '@bamboowell/types/resources';
import type { Urgency } from '@bamboowell/types/work';
import type { Context } from './context.js';
import type { Limits } from './limits.js';
import type { LiveAttempt, LiveAttempts } from './live-attempts.js';

const STOP_RANK: Readonly<Record<Urgency, number>> = { patient: 0, ordinary: 1, urgent: 2 };

/** Added to the rank of attempts that can't be run again, so that they are stopped last. */
const NOT_REPEATABLE_RANK = 3;

export class Stops {
  constructor(
    private readonly context: Context,
    private readonly live: LiveAttempts,
    private readonly limits: Limits,
  ) {}

  /** Stops the attempts of each team that exceed what the shard may run of it. */
  stopExcess(): void {
    if (!this.context.mayUseHoldings || !this.context.mayStart) {
      return;
    }
    for (const team of this.live.teams()) {
      const excess = this.limits.excessOf(team);
      if (!isZero(excess)) {
        this.stopExcessOf(team, excess);
      }
    }
  }

  /** Asks the worker to stop the attempt, unless it was asked before. */
  stop(live: LiveAttempt, checkpoint: boolean): void {
    const epoch = this.context.ownedEpoch;
    if (epoch === undefined || live.stopping) {
      return;
    }
    live.stopping = true;
    const { id, worker } = live.attempt;
    this.context.command(worker, { kind: 'stop', epoch, attempt: id, checkpoint });
  }

  private stopExcessOf(team: TeamId, excess: Resources): void {
    const running = [...this.live.all()].filter((live) => live.team === team && live.durable);
    let freed = running
      .filter((live) => live.stopping)
      .reduce((sum, live) => add(sum, live.demand), NO_RESOURCES);
    for (const live of this.inStopOrder(running)) {
      if (covers(freed, excess)) {
        return;
      }
      if (!live.stopping && helps(live.demand, freed, excess)) {
        const checkpoint = this.context.fold.get(live.work)?.work.checkpointable ?? false;
        this.context.event('limit_lowered_stop', { team, attempt: live.attempt.id });
        this.stop(live, checkpoint);
        freed = add(freed, live.demand);
      }
    }
  }

  /** Attempts that can run again come first, then the less urgent, then the most recent. */
  private inStopOrder(attempts: readonly LiveAttempt[]): LiveAttempt[] {
    return attempts.toSorted(
      (left, right) => this.rankOf(left) - this.rankOf(right) || right.knownSince - left.knownSince,
    );
  }

  private rankOf(live: LiveAttempt): number {
    const work = this.context.fold.get(live.work)?.work;
    if (work === undefined) {
      return 0;
    }
    const canRunAgain = work.idempotent || work.checkpointable || work.shape.kind === 'service';
    return STOP_RANK[work.urgency] + (canRunAgain ? 0 : NOT_REPEATABLE_RANK);
  }
}

function covers(freed: Resources, excess: Resources): boolean {
  return DIMENSIONS.every((dimension) => freed[dimension] >= excess[dimension]);
}

/** Whether stopping an attempt of this size frees some of the remaining excess. */
function helps(demand: Resources, freed: Resources, excess: Resources): boolean {
  return DIMENSIONS.some(
    (dimension) => demand[dimension] > 0 && freed[dimension] < excess[dimension],
  );
}
