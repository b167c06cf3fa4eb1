/** Decides whether a member should claim a shard now. */

import { nextEpoch, type Epoch, type MemberId, type ShardId } from '@bamboowell/types/ids';
import { deadlineAfter, hasPassed, type Deadline, type Instant } from '@bamboowell/types/time';
import { CLAIM_STAGGER_MILLIS } from './bounds.js';
import { electorateOf, isMajority, votesAgainst, type Voters, type Votes } from './electorate.js';
import { claimOrder } from './shard-assignment.js';

/** The owner of a shard according to the fold of its stream. */
export interface Ownership {
  readonly epoch: Epoch;
  /** Null before the first claim and after a release. */
  readonly owner: MemberId | null;
}

/** A member of the region that may claim shards. */
export interface Candidate {
  readonly member: MemberId;
  /** Heard from and not suspected, or this member itself. */
  readonly live: boolean;
  /** A leaving member gets no new shards. */
  readonly leaving: boolean;
}

/** What a member knows when it plans a claim. */
export interface ClaimView {
  readonly self: MemberId;
  readonly shard: ShardId;
  /** All shards of the region, over which ownership is balanced. */
  readonly shards: readonly ShardId[];
  readonly fold: Ownership;
  /** Whether the fold includes the log's tail as of at most `FRESHNESS_WINDOW_MILLIS` ago. */
  readonly foldIsFresh: boolean;
  /** Whether this incarnation is the one that claimed `fold.epoch`. */
  readonly claimedBySelf: boolean;
  /** Whether the outcome of an earlier claim of this member for the shard is still unknown. */
  readonly claimUnresolved: boolean;
  readonly candidates: readonly Candidate[];
  readonly voters: Voters;
  readonly votes: Votes;
  /** When this member first saw the shard claimable in this epoch; see `ClaimSchedule`. */
  readonly claimableSince: Instant;
  readonly now: Instant;
}

/** A claim, or why none is made. `turn` ends at `until`; other waits end when the view changes. */
export type ClaimPlan =
  | { readonly kind: 'claim'; readonly epoch: Epoch; readonly votes: readonly MemberId[] }
  | { readonly kind: 'wait'; readonly why: 'turn'; readonly until: Deadline }
  | {
      readonly kind: 'wait';
      readonly why: 'owned' | 'not_fresh' | 'unresolved' | 'leaving' | 'no_majority';
    };

/** Plans a claim. Safe for any view: a wrong claim costs no more than a change of owner. */
export function planClaim(view: ClaimView): ClaimPlan {
  const obstacle = obstacleTo(view);
  if (obstacle !== undefined) {
    return { kind: 'wait', why: obstacle };
  }
  const turn = turnStartOf(view);
  if (!hasPassed(turn, view.now)) {
    return { kind: 'wait', why: 'turn', until: turn };
  }
  return { kind: 'claim', epoch: nextEpoch(view.fold.epoch), votes: votesFor(view) };
}

/** Whether some member may claim the shard, according to this view. */
export function isClaimable(view: Omit<ClaimView, 'claimableSince'>): boolean {
  const { owner } = view.fold;
  if (owner === null) {
    return true;
  }
  if (owner === view.self) {
    return !view.claimedBySelf;
  }
  const electorate = electorateOf(view.voters, owner, view.self);
  return isMajority(votesAgainst(owner, electorate, view.votes).length, electorate);
}

type Obstacle = 'owned' | 'not_fresh' | 'unresolved' | 'leaving' | 'no_majority';

function obstacleTo(view: ClaimView): Obstacle | undefined {
  if (!view.foldIsFresh) {
    return 'not_fresh';
  }
  if (view.claimUnresolved) {
    return 'unresolved';
  }
  if (view.candidates.some(({ member, leaving }) => member === view.self && leaving)) {
    return 'leaving';
  }
  if (isClaimable(view)) {
    return undefined;
  }
  return isSuspected(view) ? 'no_majority' : 'owned';
}

function isSuspected(view: ClaimView): boolean {
  const { owner } = view.fold;
  return owner !== null && view.votes.get(view.self)?.has(owner) === true;
}

/**
 * When this member may claim. Each member waits `CLAIM_STAGGER_MILLIS` longer than the one before
 * it in the claim order, so that members don't claim a shard at the same time.
 */
function turnStartOf(view: ClaimView): Deadline {
  if (view.fold.owner === view.self) {
    return deadlineAfter(view.claimableSince, 0);
  }
  const eligible = view.candidates.filter(
    ({ member, live, leaving }) =>
      member === view.self || (live && !leaving && member !== view.fold.owner),
  );
  const order = claimOrder(
    view.shard,
    view.shards,
    eligible.map(({ member }) => member),
  );
  const rank = Math.max(0, order.indexOf(view.self));
  return deadlineAfter(view.claimableSince, rank * CLAIM_STAGGER_MILLIS);
}

/** The votes that the claim names. An empty list means that the shard had no owner. */
function votesFor(view: ClaimView): readonly MemberId[] {
  const { owner } = view.fold;
  if (owner === null) {
    return [];
  }
  if (owner === view.self) {
    return [view.self];
  }
  return votesAgainst(owner, electorateOf(view.voters, owner, view.self), view.votes);
}

/** Remembers since when a shard is claimable, so that the stagger counts from a fixed instant. */
export class ClaimSchedule {
  private claimable: { readonly epoch: Epoch; readonly at: Instant } | undefined;

  /** Plans a claim from the view and the instant at which the shard became claimable. */
  plan(view: Omit<ClaimView, 'claimableSince'>): ClaimPlan {
    if (!isClaimable(view)) {
      this.claimable = undefined;
    } else if (this.claimable?.epoch !== view.fold.epoch) {
      this.claimable = { epoch: view.fold.epoch, at: view.now };
    }
    return planClaim({ ...view, claimableSince: this.claimable?.at ?? view.now });
  }
}
