/** Decides with the region's members whether this member owns a shard or should claim it. */

import { match } from 'ts-pattern';
import type { MembersEvent, MemberView } from '@bamboowell/membership/members-messages';
import { ClaimLedger } from '@bamboowell/ownership/claim-ledger';
import {
  ClaimWatch,
  type Candidate,
  type ClaimPlan,
  type Ownership,
} from '@bamboowell/ownership/claims';
import type { Voters, Votes } from '@bamboowell/ownership/electorate';
import { Freshness, type Standing } from '@bamboowell/ownership/freshness';
import { FRESH_MILLIS } from '@bamboowell/ownership/bounds';
import type { Epoch, MemberId, RegionId, ShardId } from '@bamboowell/types/ids';
import { deadlineAfter, hasPassed, type Instant } from '@bamboowell/types/time';

export interface ClaimPlannerOptions {
  readonly self: MemberId;
  readonly region: RegionId;
  readonly shard: ShardId;
}

export class ClaimPlanner {
  readonly ledger = new ClaimLedger();
  private readonly freshness: Freshness;
  private readonly watch = new ClaimWatch();
  private members: readonly MemberView[] = [];
  /** Members of other regions. */
  private witnesses: readonly MemberView[] = [];
  private suspects: ReadonlySet<MemberId> = new Set();
  private leaving = false;
  private readAt: Instant | undefined;
  private shards: readonly ShardId[];

  constructor(private readonly options: ClaimPlannerOptions) {
    this.freshness = new Freshness(options.self, options.shard);
    this.shards = [options.shard];
  }

  /** All shards of the region, over which ownership is balanced. */
  setShards(shards: readonly ShardId[]): void {
    this.shards = shards;
  }

  setLeaving(): void {
    this.leaving = true;
  }

  membersEvent(event: MembersEvent, now: Instant): void {
    match(event)
      .with({ kind: 'view' }, ({ members, suspects, leaving }) => {
        this.members = members.filter((view) => this.isInRegion(view));
        this.witnesses = members.filter((view) => !this.isInRegion(view));
        this.suspects = suspects;
        this.leaving ||= leaving;
        this.freshness.expect(this.members.filter(hasNotLeft).map(({ member }) => member));
      })
      .with({ kind: 'heard' }, ({ view }) => {
        this.heard(view, now);
      })
      .with({ kind: 'paused' }, () => {
        this.readAt = undefined;
        this.freshness.paused();
      })
      .exhaustive();
  }

  caughtUp(readAt: Instant, fold: Ownership, now: Instant): void {
    this.readAt = readAt;
    const claim = this.ledger.wonClaim(this.options.shard, fold.epoch);
    this.freshness.caughtUp(readAt, fold, claim, now);
  }

  logUnavailable(): void {
    this.freshness.logUnavailable();
  }

  releasing(): void {
    this.freshness.releasing();
  }

  standing(now: Instant): Standing {
    return this.freshness.standing(now);
  }

  plan(fold: Ownership, claimedBySelf: boolean, now: Instant): ClaimPlan {
    const { self, shard } = this.options;
    return this.watch.plan({
      self,
      shard,
      shards: this.shards,
      fold,
      foldIsFresh:
        this.readAt !== undefined && !hasPassed(deadlineAfter(this.readAt, FRESH_MILLIS), now),
      claimedBySelf,
      claimUnresolved: this.ledger.isUnresolved(shard),
      candidates: this.candidates(),
      voters: this.voters(),
      votes: this.votes(),
      now,
    });
  }

  /** Whether every other member of the region has read of the epoch or has left. */
  isKnownToAll(epoch: Epoch): boolean {
    return this.members.filter(hasNotLeft).every(({ heard }) => {
      const known = heard?.heartbeat.epochs.find(({ shard }) => shard === this.options.shard);
      return known !== undefined && known.epoch >= epoch;
    });
  }

  private heard({ member, heard }: MemberView, now: Instant): void {
    const isKnown = this.members.some((view) => view.member === member);
    if (heard?.madeAfter === undefined || !isKnown) {
      return;
    }
    const { incarnation, logAnswers, unresolvedClaims, epochs, phase } = heard.heartbeat;
    const statement = {
      member,
      incarnation,
      at: heard.madeAfter,
      logAnswers,
      unresolvedClaims,
      epochs: new Map(epochs.map(({ shard, epoch }) => [shard, epoch])),
      left: phase === 'left',
    };
    this.freshness.memberSays(statement, now);
    this.members = this.members.map((view) => (view.member === member ? { ...view, heard } : view));
  }

  private isInRegion({ listed, heard }: MemberView): boolean {
    const region = listed?.region ?? heard?.heartbeat.region;
    return region === this.options.region;
  }

  private candidates(): Candidate[] {
    const others = this.members.map(({ member, suspected, leaving, heard }) => ({
      member,
      live: heard !== undefined && !suspected,
      leaving: leaving || heard?.heartbeat.phase !== 'serving',
    }));
    return [...others, { member: this.options.self, live: true, leaving: this.leaving }];
  }

  private voters(): Voters {
    return {
      region: this.members.filter(hasNotLeft).map(({ member }) => member),
      witnesses: this.witnesses.filter(hasNotLeft).map(({ member }) => member),
    };
  }

  private votes(): Votes {
    const votes = new Map<MemberId, ReadonlySet<MemberId>>();
    for (const { member, heard, suspected } of [...this.members, ...this.witnesses]) {
      if (heard !== undefined && !suspected) {
        votes.set(member, new Set(heard.heartbeat.suspects));
      }
    }
    votes.set(this.options.self, this.suspects);
    return votes;
  }
}

function hasNotLeft({ heard }: MemberView): boolean {
  return heard?.heartbeat.phase !== 'left';
}
