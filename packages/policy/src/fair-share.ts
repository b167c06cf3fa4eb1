/** The rule of order that gives each team its share of a full fleet. */

import { brandAs, type QueueId, type TeamId, type WorkId } from '@bamboowell/types/ids';
import { DIMENSIONS, type Resources } from '@bamboowell/types/resources';
import { deadlineAfter, hasPassed, type Deadline, type Instant } from '@bamboowell/types/time';
import { DominantShares } from './dominant-shares.js';
import { FairRound } from './fair-round.js';
import { CapacityHold, MAX_HOLD_MILLIS } from './capacity-hold.js';
import { Ordering, type Candidate, type Round, type TeamUsage } from './ordering.js';
import { WaitingSet } from './waiting-set.js';

/** Age from which a candidate is overdue. */
export const OVERDUE_MILLIS = 300_000;
/** Age from which room may be held for a candidate that fits nowhere. */
export const HOLD_AFTER_MILLIS = 60_000;
/** Length of time after which a team's oldest overdue candidate goes before its other work again. */
export const OVERDUE_TURN_INTERVAL_MILLIS = 60_000;

/**
 * Weighted dominant-resource fairness. Urgent work goes first; then the team with the smallest
 * weighted dominant share; within a team ordinary before patient, then the oldest. The oldest
 * overdue work goes before the rest of its team from time to time, and before all other teams if its
 * team has had no start for as long. First work that has waited and fits nowhere holds back other work for a
 * bounded time, so that gangs and large tasks are not starved by small ones.
 */
export class FairShare extends Ordering {
  private readonly waiting = new WaitingSet();
  private readonly shares = new DominantShares();
  private held: CapacityHold | undefined;
  /** Work whose hold ended without a start, and until when it gets no other. */
  private readonly noHoldUntil = new Map<WorkId, Deadline>();
  /** When each team's overdue work has its next turn. */
  private readonly overdueTurns = new Map<TeamId, Deadline>();
  private readonly lastStarts = new Map<TeamId, Instant>();
  private roundAt: Instant = brandAs<Instant>(0);

  put(candidate: Candidate): void {
    this.waiting.put(candidate);
  }

  remove(work: WorkId): void {
    this.waiting.remove(work);
    this.noHoldUntil.delete(work);
    if (this.held?.work === work) {
      this.held = undefined;
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
    this.roundAt = now;
    this.shares.advance(now);
    this.refreshHold(now);
    return new FairRound({
      waiting: this.waiting,
      shares: this.shares,
      hold: () => this.held,
      isOverdue: (candidate) => hasWaited(candidate, OVERDUE_MILLIS, now),
      isStarved: (team) => this.isWithoutStart(team, now),
      isOverdueTurnDue: (team) => this.isOverdueTurn(team, now),
      recordOverdueTurn: (team) => {
        this.overdueTurns.set(team, deadlineAfter(now, OVERDUE_TURN_INTERVAL_MILLIS));
      },
      requestHold: (candidate) => {
        this.beginHold(candidate, now);
      },
    });
  }

  addUsage(team: TeamId, amount: Resources): void {
    this.shares.addUsage(team, amount);
    this.held?.addUsage(amount);
    if (DIMENSIONS.some((dimension) => amount[dimension] > 0)) {
      this.lastStarts.set(team, this.roundAt);
    }
  }

  setRemoteUsage(usage: readonly TeamUsage[]): void {
    this.shares.setRemoteUsage(usage);
  }

  setWeights(shares: ReadonlyMap<TeamId, number>): void {
    this.shares.setWeights(shares);
  }

  setCapacity(capacity: Resources): void {
    this.shares.setCapacity(capacity);
  }

  /** The work for which room is kept, if any. */
  get heldWork(): WorkId | undefined {
    return this.held?.work;
  }

  /** The team's weighted dominant share; 1 is the whole fleet at weight 1. */
  shareOf(team: TeamId): number {
    return this.shares.shareOf(team);
  }

  /** How far the team is above the common share, for preemption; negative below it. */
  excessOf(team: TeamId): number {
    return this.shares.excessOf(team);
  }

  private isOverdueTurn(team: TeamId, now: Instant): boolean {
    const next = this.overdueTurns.get(team);
    return next === undefined || hasPassed(next, now);
  }

  private isWithoutStart(team: TeamId, now: Instant): boolean {
    const lastStart = this.lastStarts.get(team);
    return lastStart === undefined || hasPassed(deadlineAfter(lastStart, OVERDUE_MILLIS), now);
  }

  private beginHold(candidate: Candidate, now: Instant): void {
    const noHoldUntil = this.noHoldUntil.get(candidate.work);
    const mayHold = noHoldUntil === undefined || hasPassed(noHoldUntil, now);
    if (this.held === undefined && mayHold && hasWaited(candidate, HOLD_AFTER_MILLIS, now)) {
      this.held = new CapacityHold(candidate, now);
    }
  }

  private refreshHold(now: Instant): void {
    if (this.held !== undefined && !this.held.advance(now)) {
      this.noHoldUntil.set(this.held.work, deadlineAfter(now, MAX_HOLD_MILLIS));
      this.held = undefined;
    }
  }
}

function hasWaited(candidate: Candidate, millis: number, now: Instant): boolean {
  return hasPassed(deadlineAfter(candidate.waitingSince, millis), now);
}
