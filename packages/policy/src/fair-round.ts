/** One scheduling round over the waiting work in fair-share order. */

import type { TeamId, WorkId } from '@bamboowell/types/ids';
import type { Urgency } from '@bamboowell/types/work';
import type { Candidate, BlockReason, Round, Size } from './ordering.js';
import type { DominantShares } from './dominant-shares.js';
import type { CapacityHold } from './capacity-hold.js';
import { BucketPass } from './bucket-pass.js';
import { BlockedSizes } from './blocked-sizes.js';
import { isOlder, type WaitingEntry } from './waiting-list.js';
import type { WaitingTeam, WaitingSet } from './waiting-set.js';

/** State of the ordering that outlives a round. */
export interface RoundContext {
  readonly waiting: WaitingSet;
  readonly shares: DominantShares;
  /** The hold in force, if any. */
  hold(): CapacityHold | undefined;
  /** Whether the candidate has waited for `OVERDUE_MILLIS` or longer. */
  isOverdue(candidate: Candidate): boolean;
  /** Whether no work of the team has started for `OVERDUE_MILLIS` or longer. */
  isStarved(team: TeamId): boolean;
  /** Whether the team's oldest overdue candidate may now go before its other work. */
  isOverdueTurnDue(team: TeamId): boolean;
  /** Records that the team's oldest overdue candidate went before its other work. */
  recordOverdueTurn(team: TeamId): void;
  /** Requests a capacity hold for a candidate that may get one and fits on no worker. */
  requestHold(candidate: Candidate): void;
  /** Ends the capacity hold of a candidate that capacity alone doesn't help, if it has one. */
  releaseHold(candidate: Candidate): void;
}

/** The passes over the waiting work of one team, by urgency. */
interface TeamPass {
  readonly team: WaitingTeam;
  readonly urgent: BucketPass;
  readonly ordinary: BucketPass;
  readonly patient: BucketPass;
}

/** The next entry of a pass, with the pass and its team. */
interface Head {
  readonly teamPass: TeamPass;
  readonly pass: BucketPass;
  readonly entry: WaitingEntry;
}

export class FairRound implements Round {
  private readonly blockedSizes = new BlockedSizes();
  private readonly returned = new Set<WorkId>();
  private readonly teams: TeamPass[];
  /**
   * Work that may get a capacity hold: the first of each urgency in this round, and that of starved
   * teams.
   */
  private readonly holdCandidates = new Set<WorkId>();
  private readonly seenUrgencies = new Set<Urgency>();

  constructor(private readonly context: RoundContext) {
    this.teams = [...context.waiting.teams()].map((team) => this.passOf(team));
  }

  next(): Candidate | undefined {
    const urgent = this.fairest((team) => headOf(team, 'urgent'));
    if (urgent !== undefined) {
      return this.take(urgent);
    }
    const held = this.entryWithHold();
    if (held !== undefined) {
      return this.offer(held);
    }
    const starved = this.starvedHead();
    if (starved !== undefined) {
      this.holdCandidates.add(starved.entry.candidate.work);
      return this.take(starved);
    }
    const fairest = this.fairest((team) => headOf(team, 'ordinary') ?? headOf(team, 'patient'));
    return fairest === undefined ? undefined : this.take(this.headOrOverdue(fairest));
  }

  reportBlocked(candidate: Candidate, reason: BlockReason): void {
    this.blockedSizes.add(candidate, reason);
    if (reason !== 'no_worker_fits') {
      this.context.releaseHold(candidate);
    } else if (this.holdCandidates.has(candidate.work)) {
      this.context.requestHold(candidate);
    }
  }

  requeue(candidate: Candidate): void {
    const entry = this.context.waiting.get(candidate.work);
    const teamPass = this.teams.find(({ team }) => team.id === candidate.team);
    if (entry !== undefined && teamPass !== undefined) {
      this.returned.delete(candidate.work);
      teamPass[entry.candidate.urgency].requeue(entry);
    }
  }

  private passOf(team: WaitingTeam): TeamPass {
    const pass = (urgency: Urgency) =>
      new BucketPass(team.buckets[urgency], {
        isOpen: (entry) => this.isOpen(entry),
        admits: (size) => this.admits(team.id, urgency, size),
      });
    return {
      team,
      urgent: pass('urgent'),
      ordinary: pass('ordinary'),
      patient: pass('patient'),
    };
  }

  private isOpen({ candidate, waiting }: WaitingEntry): boolean {
    return waiting && !this.returned.has(candidate.work);
  }

  private admits(team: TeamId, urgency: Urgency, size: Size): boolean {
    if (this.blockedSizes.isBlocked(team, size)) {
      return false;
    }
    const hold = this.context.hold();
    return urgency === 'urgent' || hold === undefined || hold.admits(size);
  }

  /** The head of the team with the lowest rank by share; the oldest one among equals. */
  private fairest(headIn: (team: TeamPass) => Head | undefined): Head | undefined {
    let best: Head | undefined;
    let bestRank = Number.POSITIVE_INFINITY;
    for (const teamPass of this.teams) {
      const head = headIn(teamPass);
      if (head === undefined) {
        continue;
      }
      const rank = this.context.shares.rankOf(teamPass.team.id, head.entry.candidate.demand);
      if (rank < bestRank || (rank === bestRank && olderOf(best, head) === head)) {
        best = head;
        bestRank = rank;
      }
    }
    return best;
  }

  private entryWithHold(): WaitingEntry | undefined {
    const hold = this.context.hold();
    const entry = hold === undefined ? undefined : this.context.waiting.get(hold.work);
    if (entry === undefined || !this.isOpen(entry)) {
      return undefined;
    }
    return this.blockedSizes.isBlocked(entry.candidate.team, entry.candidate) ? undefined : entry;
  }

  /** The oldest overdue work of all starved teams. */
  private starvedHead(): Head | undefined {
    let oldest: Head | undefined;
    for (const teamPass of this.teams) {
      if (this.context.isStarved(teamPass.team.id)) {
        oldest = olderOf(oldest, this.overdueHeadOf(teamPass));
      }
    }
    return oldest;
  }

  /** The oldest overdue work of the head's team if its turn is due, otherwise the head. */
  private headOrOverdue(head: Head): Head {
    const { id: team } = head.teamPass.team;
    const overdue = this.context.isOverdueTurnDue(team)
      ? this.overdueHeadOf(head.teamPass)
      : undefined;
    if (overdue === undefined || overdue.entry === head.entry) {
      return head;
    }
    this.context.recordOverdueTurn(team);
    return overdue;
  }

  private overdueHeadOf(teamPass: TeamPass): Head | undefined {
    const oldest = olderOf(headOf(teamPass, 'ordinary'), headOf(teamPass, 'patient'));
    const isOverdue = oldest !== undefined && this.context.isOverdue(oldest.entry.candidate);
    return isOverdue ? oldest : undefined;
  }

  private take({ pass, entry }: Head): Candidate {
    pass.take();
    return this.offer(entry);
  }

  private offer({ candidate }: WaitingEntry): Candidate {
    this.returned.add(candidate.work);
    if (!this.seenUrgencies.has(candidate.urgency)) {
      this.seenUrgencies.add(candidate.urgency);
      this.holdCandidates.add(candidate.work);
    }
    return candidate;
  }
}

function headOf(teamPass: TeamPass, urgency: Urgency): Head | undefined {
  const pass = teamPass[urgency];
  const entry = pass.peek();
  return entry === undefined ? undefined : { teamPass, pass, entry };
}

function olderOf(left: Head | undefined, right: Head | undefined): Head | undefined {
  if (left === undefined || right === undefined) {
    return left ?? right;
  }
  return isOlder(right.entry, left.entry) ? right : left;
}
