/** The set of waiting work of a shard, by team and urgency. */

import type { QueueId, TeamId, WorkId } from '@bamboowell/types/ids';
import { fits } from '@bamboowell/types/resources';
import type { Urgency } from '@bamboowell/types/work';
import { WaitingBucket } from './waiting-bucket.js';
import type { Candidate } from './ordering.js';
import type { WaitingEntry } from './waiting-list.js';

/** The waiting work of one team. */
export interface WaitingTeam {
  readonly id: TeamId;
  readonly buckets: Readonly<Record<Urgency, WaitingBucket>>;
  size: number;
}

export class WaitingSet {
  private readonly entries = new Map<WorkId, WaitingEntry>();
  private readonly byTeam = new Map<TeamId, WaitingTeam>();
  private readonly queueSizes = new Map<QueueId, number>();
  private nextSequence = 0;

  get size(): number {
    return this.entries.size;
  }

  get(work: WorkId): WaitingEntry | undefined {
    return this.entries.get(work);
  }

  teams(): IterableIterator<WaitingTeam> {
    return this.byTeam.values();
  }

  waitingOfTeam(team: TeamId): number {
    return this.byTeam.get(team)?.size ?? 0;
  }

  waitingInQueue(queue: QueueId): number {
    return this.queueSizes.get(queue) ?? 0;
  }

  /**
   * Adds a candidate or replaces the one of the same work; an equal one keeps its place in the
   * order.
   */
  put(candidate: Candidate): void {
    const earlier = this.entries.get(candidate.work)?.candidate;
    if (earlier !== undefined && isSame(earlier, candidate)) {
      return;
    }
    this.remove(candidate.work);
    const entry = { candidate, sequence: this.nextSequence, waiting: true };
    this.nextSequence += 1;
    this.entries.set(candidate.work, entry);
    const team = this.teamOf(candidate.team);
    team.buckets[candidate.urgency].insert(entry);
    team.size += 1;
    this.queueSizes.set(candidate.queue, this.waitingInQueue(candidate.queue) + 1);
  }

  remove(work: WorkId): void {
    const entry = this.entries.get(work);
    if (entry === undefined) {
      return;
    }
    this.entries.delete(work);
    this.removeFromTeam(entry);
    this.removeFromQueue(entry.candidate.queue);
  }

  private teamOf(id: TeamId): WaitingTeam {
    const team = this.byTeam.get(id) ?? {
      id,
      buckets: {
        urgent: new WaitingBucket(),
        ordinary: new WaitingBucket(),
        patient: new WaitingBucket(),
      },
      size: 0,
    };
    this.byTeam.set(id, team);
    return team;
  }

  private removeFromTeam(entry: WaitingEntry): void {
    const { candidate } = entry;
    const team = this.teamOf(candidate.team);
    team.buckets[candidate.urgency].remove(entry);
    team.size -= 1;
    if (team.size === 0) {
      this.byTeam.delete(candidate.team);
    }
  }

  private removeFromQueue(queue: QueueId): void {
    const size = this.waitingInQueue(queue) - 1;
    this.queueSizes.set(queue, size);
    if (size === 0) {
      this.queueSizes.delete(queue);
    }
  }
}

function isSame(left: Candidate, right: Candidate): boolean {
  return (
    left.team === right.team &&
    left.queue === right.queue &&
    left.urgency === right.urgency &&
    left.gangSize === right.gangSize &&
    left.waitingSince === right.waitingSince &&
    fits(left.demand, right.demand) &&
    fits(right.demand, left.demand)
  );
}
