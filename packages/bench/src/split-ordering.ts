/** Baseline for comparison: a queue for each team, as if the fleet were statically split. */

import type { QueueId, TeamId, WorkId } from '@bamboowell/types/ids';
import {
  FirstComeFirstServed,
  Ordering,
  type Candidate,
  type BlockReason,
  type Round,
} from '@bamboowell/policy/ordering';

/** First come, first served within each team. A round skips a team once it is at its limit. */
export class SplitOrdering extends Ordering {
  private readonly queues = new Map<TeamId, FirstComeFirstServed>();

  put(candidate: Candidate): void {
    const queue = this.queues.get(candidate.team) ?? new FirstComeFirstServed();
    this.queues.set(candidate.team, queue);
    queue.put(candidate);
  }

  remove(work: WorkId): void {
    for (const queue of this.queues.values()) {
      queue.remove(work);
    }
  }

  get size(): number {
    return this.sum((queue) => queue.size);
  }

  waitingInQueue(queue: QueueId): number {
    return this.sum((ofTeam) => ofTeam.waitingInQueue(queue));
  }

  waitingOfTeam(team: TeamId): number {
    return this.queues.get(team)?.size ?? 0;
  }

  round(): Round {
    const rounds = new Map([...this.queues].map(([team, queue]) => [team, queue.round()]));
    return {
      next: () => nextOf(rounds),
      reportBlocked: (candidate: Candidate, reason: BlockReason) => {
        if (reason === 'team_limit_reached') {
          rounds.delete(candidate.team);
        }
      },
      requeue: (candidate: Candidate) => {
        rounds.get(candidate.team)?.requeue(candidate);
      },
    };
  }

  excessOf(): number {
    return 0;
  }

  addUsage(): void {
    return undefined;
  }

  setRemoteUsage(): void {
    return undefined;
  }

  setWeights(): void {
    return undefined;
  }

  setCapacity(): void {
    return undefined;
  }

  private sum(of: (queue: FirstComeFirstServed) => number): number {
    return [...this.queues.values()].reduce((total, queue) => total + of(queue), 0);
  }
}

function nextOf(rounds: ReadonlyMap<TeamId, Round>): Candidate | undefined {
  for (const round of rounds.values()) {
    const candidate = round.next();
    if (candidate !== undefined) {
      return candidate;
    }
  }
  return undefined;
}
