/** Ordering that gives each team its fair share of a full fleet. */

import { brandAs, type QueueId, type TeamId, type WorkId } from '@bamboowell/types/ids';
import { DIMENSIONS, type Resources } from '@bamboowell/types/resources';
import { deadlineAfter, hasPassed, type Deadline, type Instant } from '@bamboowell/types/time';
import { DominantShares } from './dominant-shares.js';
import { FairRound } from './fair-round.js';
import { CapacityHold, MAX_HOLD_MILLIS } from './capacity-hold.js';
import { Ordering, type Candidate, type Round, type TeamUsage } from './ordering.js';
import { WaitingSet } from './waiting-set.js';

/** Waiting time after which a candidate is overdue. */
export const OVERDUE_MILLIS = 300_000;
/** Waiting time after which a candidate that fits on no worker may get a capacity hold. */
export const HOLD_AFTER_MILLIS = 60_000;
/** Minimum interval between overdue candidates of a team that go before its other work. */
export const OVERDUE_TURN_INTERVAL_MILLIS = 60_000;

/**
 * Weighted dominant-resource fairness. Urgent work goes first, then the team with the lowest rank
 * by weighted dominant share; within a team ordinary work goes before patient work, then by age.
 * The oldest overdue work of a team goes before its other work once per
 * `OVERDUE_TURN_INTERVAL_MILLIS`, and before other teams if its team is starved, that is without a
 * start for `OVERDUE_MILLIS`. Work at the head of the order, or of a starved team, that has waited
 * for `HOLD_AFTER_MILLIS` and fits on no worker gets a capacity hold for a bounded time, so that
 * small tasks do not starve gangs and large tasks.
 */
export class FairShare extends Ordering {
  private readonly waiting = new WaitingSet();
  private readonly shares = new DominantShares();
  private activeHold: CapacityHold | undefined;
  /** Work whose hold ended without a start, and the time until which it gets no other hold. */
  private readonly noHoldUntil = new Map<WorkId, Deadline>();
  /** When the next overdue work of each team may go before its other work. */
  private readonly overdueTurns = new Map<TeamId, Deadline>();
  private readonly lastStarts = new Map<TeamId, Instant>();
  private roundStartedAt: Instant = brandAs<Instant>(0);

  put(candidate: Candidate): void {
    this.waiting.put(candidate);
  }

  remove(work: WorkId): void {
    this.waiting.remove(work);
    this.noHoldUntil.delete(work);
    if (this.activeHold?.work === work) {
      this.activeHold = undefined;
    }
  }

  get size(): number {
    return this.waiting.size;
  }

  waitingInQueue(queue: QueueId): number {
    return this.waiting.waitingInQueue(queue);
  }

  waitingOfTeam(team: TeamId): number {
    return this.waiting.waitingOfTeam(team);
  }

  round(now: Instant): Round {
    this.roundStartedAt = now;
    this.shares.advance(now);
    this.advanceHold(now);
    return new FairRound({
      waiting: this.waiting,
      shares: this.shares,
      hold: () => this.activeHold,
      isOverdue: (candidate) => hasWaited(candidate, OVERDUE_MILLIS, now),
      isStarved: (team) => this.isStarved(team, now),
      isOverdueTurnDue: (team) => this.isOverdueTurnDue(team, now),
      recordOverdueTurn: (team) => {
        this.overdueTurns.set(team, deadlineAfter(now, OVERDUE_TURN_INTERVAL_MILLIS));
      },
      requestHold: (candidate) => {
        this.beginHold(candidate, now);
      },
      releaseHold: ({ work }) => {
        if (this.activeHold?.work === work) {
          this.activeHold = undefined;
        }
      },
    });
  }

  addUsage(team: TeamId, amount: Resources): void {
    this.shares.addUsage(team, amount);
    this.activeHold?.addUsage(amount);
    if (DIMENSIONS.some((dimension) => amount[dimension] > 0)) {
      this.lastStarts.set(team, this.roundStartedAt);
    }
  }

  setRemoteUsage(usage: readonly TeamUsage[]): void {
    this.shares.setRemoteUsage(usage);
  }

  setWeights(weights: ReadonlyMap<TeamId, number>): void {
    this.shares.setWeights(weights);
  }

  setCapacity(capacity: Resources): void {
    this.shares.setCapacity(capacity);
  }

  /** The work that has the capacity hold, if any. */
  get heldWork(): WorkId | undefined {
    return this.activeHold?.work;
  }

  /** The team's weighted dominant share; 1 is the whole fleet at weight 1. */
  shareOf(team: TeamId): number {
    return this.shares.shareOf(team);
  }

  /**
   * Difference between the team's share and the equal weighted share, for preemption; negative
   * below it.
   */
  excessOf(team: TeamId): number {
    return this.shares.excessOf(team);
  }

  private isOverdueTurnDue(team: TeamId, now: Instant): boolean {
    const next = this.overdueTurns.get(team);
    return next === undefined || hasPassed(next, now);
  }

  private isStarved(team: TeamId, now: Instant): boolean {
    const lastStart = this.lastStarts.get(team);
    return lastStart === undefined || hasPassed(deadlineAfter(lastStart, OVERDUE_MILLIS), now);
  }

  private beginHold(candidate: Candidate, now: Instant): void {
    const noHoldUntil = this.noHoldUntil.get(candidate.work);
    const mayHold = noHoldUntil === undefined || hasPassed(noHoldUntil, now);
    if (this.activeHold === undefined && mayHold && hasWaited(candidate, HOLD_AFTER_MILLIS, now)) {
      this.activeHold = new CapacityHold(candidate, now);
    }
  }

  private advanceHold(now: Instant): void {
    if (this.activeHold !== undefined && !this.activeHold.advance(now)) {
      this.noHoldUntil.set(this.activeHold.work, deadlineAfter(now, MAX_HOLD_MILLIS));
      this.activeHold = undefined;
    }
  }
}

function hasWaited(candidate: Candidate, millis: number, now: Instant): boolean {
  return hasPassed(deadlineAfter(candidate.waitingSince, millis), now);
}
