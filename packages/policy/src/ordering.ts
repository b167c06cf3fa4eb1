/** In which order waiting work is tried. */

import type { QueueId, TeamId, WorkId } from '@bamboowell/types/ids';
import type { Resources } from '@bamboowell/types/resources';
import type { Instant } from '@bamboowell/types/time';
import type { Urgency } from '@bamboowell/types/work';

/** What must find room at once. */
export interface Size {
  /** Size of one task. */
  readonly demand: Resources;
  /** Tasks that must start together: all of a gang, one otherwise. */
  readonly gangSize: number;
}

/** Work that has tasks to start. */
export interface Candidate extends Size {
  readonly work: WorkId;
  readonly team: TeamId;
  readonly queue: QueueId;
  readonly urgency: Urgency;
  readonly waitingSince: Instant;
}

/** Why a candidate was passed over. */
export type BlockReason = 'no_worker_fits' | 'team_limit_reached';

/** One pass over the waiting work. */
export interface Round {
  /** The next candidate to try, or none. Returns none that was returned before in this round. */
  next(): Candidate | undefined;
  /** The candidate could not start; others that need at least as much may be left out too. */
  reportBlocked(candidate: Candidate, obstacle: BlockReason): void;
  /**
   * The candidate was started in part and has more tasks to start: it may be returned again in
   * this round, at its place in the order, while it stays in the set of waiting work.
   */
  requeue(candidate: Candidate): void;
}

/** What a team has running, for fair shares. */
export interface TeamUsage {
  readonly team: TeamId;
  readonly running: Resources;
}

/** A rule of order. It owns the set of waiting work. */
export abstract class Ordering {
  abstract put(candidate: Candidate): void;
  abstract remove(work: WorkId): void;
  abstract readonly size: number;
  abstract waitingInQueue(queue: QueueId): number;
  abstract waitingOfTeam(team: TeamId): number;
  abstract round(now: Instant): Round;

  /** A team's tasks started (positive) or ended (negative amounts) here. */
  abstract addUsage(team: TeamId, amount: Resources): void;

  /** What teams have running in other shards; replaces what was said before. May be stale. */
  abstract setRemoteUsage(usage: readonly TeamUsage[]): void;

  /** Weights of the teams; a team without one has weight 1. */
  abstract setWeights(shares: ReadonlyMap<TeamId, number>): void;

  /** Size of the whole fleet, against which dominant shares are taken. */
  abstract setCapacity(capacity: Resources): void;

  /** How far the team is above its share, for preemption; not positive at or below it. */
  abstract excessOf(team: TeamId): number;
}

/** First come, first served, urgent work first. The baseline that other rules are measured against. */
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
