/** The order in which waiting work is tried. */

import type { QueueId, TeamId, WorkId } from '@bamboowell/types/ids';
import type { Resources } from '@bamboowell/types/resources';
import type { Instant } from '@bamboowell/types/time';
import type { Urgency } from '@bamboowell/types/work';

/** Resources that must be available at the same time for work to start. */
export interface Size {
  /** Demand of one task. */
  readonly demand: Resources;
  /** Number of tasks that must start together: all tasks of a gang, otherwise one. */
  readonly gangSize: number;
}

/** Work that has waiting tasks. */
export interface Candidate extends Size {
  readonly work: WorkId;
  readonly team: TeamId;
  readonly queue: QueueId;
  readonly urgency: Urgency;
  readonly waitingSince: Instant;
}

/**
 * Why a candidate could not start. `fleet_too_small`: not even if nothing else ran on the workers that are
 * there.
 */
export type BlockReason = 'no_worker_fits' | 'fleet_too_small' | 'team_limit_reached';

/** One scheduling round: a pass over the waiting work. */
export interface Round {
  /**
   * The next candidate to try, if any. Returns each candidate once per round, unless it is
   * requeued.
   */
  next(): Candidate | undefined;
  /**
   * Reports that the candidate could not start; others that need at least as much may be skipped
   * too.
   */
  reportBlocked(candidate: Candidate, reason: BlockReason): void;
  /**
   * Reports that some tasks of the candidate started and others still wait. It may be returned
   * again in this round, at its place in the order, as long as it is in the set of waiting work.
   */
  requeue(candidate: Candidate): void;
}

/** Resources that the running tasks of a team use, for fair shares. */
export interface TeamUsage {
  readonly team: TeamId;
  readonly running: Resources;
}

/** Decides the order of the waiting work, and owns the set of it. */
export abstract class Ordering {
  abstract put(candidate: Candidate): void;
  abstract remove(work: WorkId): void;
  abstract readonly size: number;
  abstract waitingInQueue(queue: QueueId): number;
  abstract waitingOfTeam(team: TeamId): number;
  abstract round(now: Instant): Round;

  /**
   * Records that tasks of a team started (positive amounts) or ended (negative amounts) in this
   * shard.
   */
  abstract addUsage(team: TeamId, amount: Resources): void;

  /** Replaces the usage of all teams in other shards. May be stale. */
  abstract setRemoteUsage(usage: readonly TeamUsage[]): void;

  /** Replaces the weights of all teams; a team without one has weight 1. */
  abstract setWeights(weights: ReadonlyMap<TeamId, number>): void;

  /** Capacity of the whole fleet, of which dominant shares are fractions. */
  abstract setCapacity(capacity: Resources): void;

  /**
   * How far the team is above its fair share, for preemption; zero or negative if it is not above
   * it.
   */
  abstract excessOf(team: TeamId): number;
}

/**
 * First come, first served, urgent work first. The baseline to which other orderings are compared.
 */
export class FirstComeFirstServed extends Ordering {
  private readonly waiting = new Map<WorkId, Candidate>();

  put(candidate: Candidate): void {
    this.waiting.set(candidate.work, candidate);
  }

  remove(work: WorkId): void {
    this.waiting.delete(work);
  }

  get size(): number {
    return this.waiting.size;
  }

  waitingInQueue(queue: QueueId): number {
    return this.count((candidate) => candidate.queue === queue);
  }

  waitingOfTeam(team: TeamId): number {
    return this.count((candidate) => candidate.team === team);
  }

  round(): Round {
    const all = [...this.waiting.values()];
    const urgent = all.filter((candidate) => candidate.urgency === 'urgent');
    const others = all.filter((candidate) => candidate.urgency !== 'urgent');
    const inOrder = [...urgent, ...others];
    return {
      next: () => inOrder.shift(),
      reportBlocked: () => undefined,
      requeue: (candidate) => {
        if (this.waiting.has(candidate.work)) {
          inOrder.unshift(candidate);
        }
      },
    };
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

  excessOf(): number {
    return 0;
  }

  private count(matches: (candidate: Candidate) => boolean): number {
    return [...this.waiting.values()].filter(matches).length;
  }
}
