/**
 * Decides, from what the region's members report, whether this member may act as the owner of a
 * shard and whether it should claim the shard.
 */

import { match } from 'ts-pattern';
import type { MembersEvent, MemberView } from '@bamboowell/membership/members-messages';
import {
  candidatesOf,
  expectedMembers,
  statementOf,
  votersOf,
  votesOf,
  type OwnMember,
} from '@bamboowell/membership/ownership-inputs';
import { FRESHNESS_WINDOW_MILLIS } from '@bamboowell/ownership/bounds';
import { ClaimLedger } from '@bamboowell/ownership/claim-ledger';
import { ClaimSchedule, type ClaimPlan, type Ownership } from '@bamboowell/ownership/claims';
import {
  OwnershipFreshness,
  type OwnershipStatus,
} from '@bamboowell/ownership/ownership-freshness';
import { brandAs, type Epoch, type ShardId } from '@bamboowell/types/ids';
import { deadlineAfter, hasPassed, type Instant } from '@bamboowell/types/time';

type View = Extract<MembersEvent, { kind: 'view' }>;

export interface ClaimPlannerOptions {
  readonly self: OwnMember;
  readonly shard: ShardId;
}

const NO_VIEW: View = {
  kind: 'view',
  members: [],
  suspects: new Set(),
  leaving: false,
  isListRead: false,
  at: brandAs<Instant>(0),
};

export class ClaimPlanner {
  readonly ledger = new ClaimLedger();
  private readonly freshness: OwnershipFreshness;
  private readonly schedule = new ClaimSchedule();
  private view: View = NO_VIEW;
  private isLeaving = false;
  private readAt: Instant | undefined;
  private shards: readonly ShardId[];

  constructor(private readonly options: ClaimPlannerOptions) {
    this.freshness = new OwnershipFreshness(options.self.member, options.shard);
    this.shards = [options.shard];
  }

  /** Sets all shards of the region; their ownership is balanced over its members. */
  setShards(shards: readonly ShardId[]): void {
    this.shards = shards;
  }

  setLeaving(): void {
    this.isLeaving = true;
  }

  handleMembersEvent(event: MembersEvent, now: Instant): void {
    match(event)
      .with({ kind: 'view' }, (view) => {
        this.view = view;
        this.freshness.setExpectedMembers(expectedMembers(view, this.options.self).region);
      })
      .with({ kind: 'heard' }, ({ view }) => {
        this.handleHeartbeat(view, now);
      })
      .with({ kind: 'paused' }, () => {
        this.readAt = undefined;
        this.freshness.resetAfterPause();
      })
      .exhaustive();
  }

  recordRead(readAt: Instant, fold: Ownership, now: Instant): void {
    this.readAt = readAt;
    const claim = this.ledger.wonClaim(this.options.shard, fold.epoch);
    this.freshness.recordRead(readAt, fold, claim, now);
  }

  recordLogFailure(): void {
    this.freshness.recordLogFailure();
  }

  /** Ends ownership of the current epoch for good. Must be called before the release is appended. */
  startRelease(): void {
    this.freshness.startRelease();
  }

  status(now: Instant): OwnershipStatus {
    return this.freshness.status(now);
  }

  plan(fold: Ownership, claimedBySelf: boolean, now: Instant): ClaimPlan {
    const { self, shard } = this.options;
    return this.schedule.plan({
      self: self.member,
      shard,
      shards: this.shards,
      fold,
      foldIsFresh: this.hasRecentRead(now),
      claimedBySelf,
      claimUnresolved: this.ledger.isUnresolved(shard),
      candidates: candidatesOf(this.viewWithOwnLeaving(), self),
      voters: votersOf(this.view, self),
      votes: votesOf(this.view, self),
      now,
    });
  }

  /**
   * Whether every other member of the region has read the epoch from the log or has left. Not known before
   * the VM list has been read: a member that is silent is missing until then.
   */
  isKnownToAll(epoch: Epoch): boolean {
    if (!this.view.isListRead) {
      return false;
    }
    const expected = new Set(expectedMembers(this.view, this.options.self).region);
    for (const { member, heard } of this.view.members) {
      const known = heard?.heartbeat.epochs.find(({ shard }) => shard === this.options.shard);
      const hasLeft = heard?.heartbeat.phase === 'left';
      if (hasLeft || (known !== undefined && known.epoch >= epoch)) {
        expected.delete(member);
      }
    }
    return expected.size === 0;
  }

  private hasRecentRead(now: Instant): boolean {
    return (
      this.readAt !== undefined &&
      !hasPassed(deadlineAfter(this.readAt, FRESHNESS_WINDOW_MILLIS), now)
    );
  }

  private viewWithOwnLeaving(): View {
    return { ...this.view, leaving: this.view.leaving || this.isLeaving };
  }

  private handleHeartbeat(view: MemberView, now: Instant): void {
    const others = this.view.members.filter(({ member }) => member !== view.member);
    this.view = { ...this.view, members: [...others, view] };
    const statement = statementOf(view);
    if (statement !== undefined) {
      this.freshness.recordStatement(statement, now);
    }
  }
}
