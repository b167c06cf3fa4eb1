/** The rule of order that gives each team its share of a full fleet. */

import type { QueueId, TeamId, WorkId } from '@bamboowell/types/ids';
import type { Resources } from '@bamboowell/types/resources';
import { deadlineAfter, hasPassed, type Deadline, type Instant } from '@bamboowell/types/time';
import { DominantShares } from './dominant-shares.js';
import { FairRound } from './fair-round.js';
import { Hold, HOLD_MILLIS } from './hold.js';
import { Ordering, type Candidate, type Round, type TeamUsage } from './ordering.js';
import { WaitingTeams } from './waiting-teams.js';

/** Age from which a candidate is overdue. */
export const OVERDUE_MILLIS = 300_000;
/** One in so many returned candidates is the oldest overdue one, whatever its team's share. */
export const OVERDUE_TURN = 32;

/**
 * Weighted dominant-resource fairness. Urgent work goes first; then the team with the smallest
 * weighted dominant share; within a team ordinary before patient, then the oldest. Overdue work
 * has every `OVERDUE_TURN`-th turn. First or overdue work that fits nowhere holds back other work
 * for a bounded time, so that gangs and large tasks are not starved by small ones.
 */
export class FairShare extends Ordering {
  private readonly waiting = new WaitingTeams();
  private readonly shares = new DominantShares();
  private held: Hold | undefined;
  /** Work whose hold ended without a start, and until when it gets no other. */
  private readonly noHoldUntil = new Map<WorkId, Deadline>();
  private turns = 0;

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

  waitingIn(queue: QueueId): number {
    return this.waiting.waitingIn(queue);
  }

  waitingOf(team: TeamId): number {
    return this.waiting.waitingOf(team);
  }

  round(now: Instant): Round {
    this.refreshHold(now);
    return new FairRound({
      waiting: this.waiting,
      shares: this.shares,
      hold: () => this.held,
      isOverdue: (candidate) => isOverdue(candidate, now),
      isOverdueTurn: () => this.isOverdueTurn(),
      firstIsBlocked: (candidate) => {
        this.beginHold(candidate, now);
      },
    });
  }

  addUsage(team: TeamId, amount: Resources): void {
    this.shares.addUsage(team, amount);
    this.held?.addUsage(amount);
  }

  setElsewhere(usage: readonly TeamUsage[]): void {
    this.shares.setElsewhere(usage);
  }

  setShares(shares: ReadonlyMap<TeamId, number>): void {
    this.shares.setWeights(shares);
  }

  setCapacity(capacity: Resources): void {
    this.shares.setCapacity(capacity);
  }

  /** The work for which room is kept, if any. */
  get holdsFor(): WorkId | undefined {
    return this.held?.work;
  }

  /** The team's weighted dominant share; 1 is the whole fleet at weight 1. */
  shareOf(team: TeamId): number {
    return this.shares.of(team);
  }

  private isOverdueTurn(): boolean {
    this.turns = (this.turns + 1) % OVERDUE_TURN;
    return this.turns === 0;
  }

  private beginHold(candidate: Candidate, now: Instant): void {
    const noHoldUntil = this.noHoldUntil.get(candidate.work);
    const mayHold = noHoldUntil === undefined || hasPassed(noHoldUntil, now);
    if (this.held === undefined && mayHold && isOverdue(candidate, now)) {
      this.held = new Hold(candidate, now);
    }
  }

  private refreshHold(now: Instant): void {
    if (this.held !== undefined && !this.held.continuesAt(now)) {
      this.noHoldUntil.set(this.held.work, deadlineAfter(now, HOLD_MILLIS));
      this.held = undefined;
    }
  }
}

function isOverdue(candidate: Candidate, now: Instant): boolean {
  return hasPassed(deadlineAfter(candidate.waitingSince, OVERDUE_MILLIS), now);
}
