/**
 * Decides whether a member may act as the owner of a shard now. `docs/design/ownership.md` explains
 * why this is safe. All instants are readings of this member's own clock.
 */

import type { Epoch, Incarnation, MemberId, ShardId } from '@bamboowell/types/ids';
import { deadlineAfter, hasPassed, type Deadline, type Instant } from '@bamboowell/types/time';
import { FRESHNESS_WINDOW_MILLIS, HANDOVER_DELAY_MILLIS, MAX_LEASE_MILLIS } from './bounds.js';
import type { AppendedClaim } from './claim-ledger.js';
import type { Ownership } from './claims.js';

/** What a member reported about itself. */
export interface MemberStatement {
  readonly member: MemberId;
  readonly incarnation: Incarnation;
  /**
   * The statement was made at or after this instant of the receiver's clock: the time when the
   * receiver sent the newest of its heartbeats that `member` had received before it made the
   * statement. The time of receipt proves nothing, because a message may have waited in a buffer.
   */
  readonly madeAfter: Instant;
  /** Whether the log has recently answered the member. */
  readonly logAnswers: boolean;
  /** The shards that the member may still win with a claim whose outcome it doesn't know. */
  readonly unresolvedClaims: readonly ShardId[];
  /** The epoch of each shard whose stream this incarnation has read to its end. */
  readonly epochs: ReadonlyMap<ShardId, Epoch>;
  /** The member has left: this incarnation will never own or claim a shard again. */
  readonly left: boolean;
}

/**
 * Why an owner is stale.
 * - `not_read`: the log was not read since the start or a pause of this process.
 * - `log_silent_here`: the last read of the log is too old.
 * - `alone`: the log does not answer, and no other member can confirm the ownership.
 * - `member_silent`: a member has made no recent statement.
 * - `log_answers_member`: the log answers another member, which could claim the shard.
 * - `unresolved_claim`: a member doesn't know the outcome of its claim of the shard.
 * - `member_unsettled`: a member has not read the shard's stream since it restarted, and what its
 *   earlier incarnations started may still run.
 * - `higher_epoch`: a member has reported a higher epoch of the shard.
 */
export type Staleness =
  | 'not_read'
  | 'log_silent_here'
  | 'alone'
  | 'member_silent'
  | 'log_answers_member'
  | 'unresolved_claim'
  | 'member_unsettled'
  | 'higher_epoch';

/** Whether the member is the owner, and until when it may act as such. */
export type OwnershipStatus =
  | { readonly kind: 'not_owner' }
  | { readonly kind: 'stale'; readonly epoch: Epoch; readonly why: Staleness }
  | {
      readonly kind: 'fresh';
      readonly epoch: Epoch;
      /** The owner is stale from this deadline on, unless there is new evidence by then. */
      readonly freshUntil: Deadline;
      /**
       * No earlier owner is fresh from this deadline on. Before it, work may be sent only to
       * workers that were attached with this epoch, because those refuse lower epochs.
       */
      readonly exclusiveFrom: Deadline;
    };

interface KnownMember {
  readonly statement: MemberStatement;
  /** All that earlier incarnations of the member started has stopped from this deadline on. */
  readonly settledFrom: Deadline;
}

/** Until when the evidence shows that the member is still the owner, or what is missing. */
type Evidence =
  | { readonly kind: 'valid'; readonly until: Deadline }
  | { readonly kind: 'missing'; readonly why: Staleness };

interface Owned {
  readonly epoch: Epoch;
  readonly exclusiveFrom: Deadline;
}

/** Tracks whether one member may act as the owner of one shard. */
export class OwnershipFreshness {
  private fold: Ownership | undefined;
  private owned: Owned | undefined;
  private releasedEpoch: Epoch | undefined;
  private readAt: Instant | undefined;
  private isLogUnavailable = false;
  private highestReportedEpoch = 0;
  private expectedMembers: ReadonlySet<MemberId> = new Set();
  private readonly known = new Map<MemberId, KnownMember>();

  constructor(
    private readonly self: MemberId,
    private readonly shard: ShardId,
  ) {}

  /** Sets the members of the region that must be heard from while the log does not answer. */
  setExpectedMembers(members: Iterable<MemberId>): void {
    this.expectedMembers = new Set([...members].filter((member) => member !== this.self));
  }

  /**
   * Records that the fold includes the stream's end as of a read that was sent at `readAt`. `claim`
   * is the claim with which this incarnation won the fold's epoch (`ClaimLedger.wonClaim`).
   * A member does not act on a claim of its earlier incarnation.
   */
  recordRead(
    readAt: Instant,
    fold: Ownership,
    claim: AppendedClaim | undefined,
    now: Instant,
  ): void {
    this.readAt = readAt;
    this.isLogUnavailable = false;
    this.fold = fold;
    this.owned = this.ownedNow(fold, claim, now);
  }

  /** Ends ownership of the current epoch for good. Called before the release is appended. */
  startRelease(): void {
    this.releasedEpoch = this.owned?.epoch;
    this.owned = undefined;
  }

  /** Records that the log does not answer this member. */
  recordLogFailure(): void {
    this.isLogUnavailable = true;
  }

  /** Records a member's statement. Drops it if a newer one of the same incarnation is known. */
  recordStatement(statement: MemberStatement, now: Instant): void {
    this.highestReportedEpoch = Math.max(
      this.highestReportedEpoch,
      statement.epochs.get(this.shard) ?? 0,
    );
    const before = this.known.get(statement.member);
    if (before?.statement.incarnation === statement.incarnation) {
      if (statement.madeAfter >= before.statement.madeAfter) {
        this.known.set(statement.member, { ...before, statement });
      }
      return;
    }
    const settledFrom = deadlineAfter(now, MAX_LEASE_MILLIS);
    this.known.set(statement.member, { statement, settledFrom });
  }

  /**
   * Discards the evidence from before a pause of this process, during which its clock may have
   * stopped. Only the statements of members that have left stay valid.
   */
  resetAfterPause(): void {
    this.readAt = undefined;
    for (const [member, entry] of this.known) {
      if (!entry.statement.left) {
        this.known.delete(member);
      }
    }
  }

  /** Whether this member owns the shard now and may act as its owner. */
  status(now: Instant): OwnershipStatus {
    const owned = this.owned;
    if (owned === undefined) {
      return { kind: 'not_owner' };
    }
    const { epoch, exclusiveFrom } = owned;
    if (this.highestReportedEpoch > epoch) {
      return { kind: 'stale', epoch, why: 'higher_epoch' };
    }
    const evidence = this.evidence(epoch, now);
    return evidence.kind === 'valid'
      ? { kind: 'fresh', epoch, freshUntil: evidence.until, exclusiveFrom }
      : { kind: 'stale', epoch, why: evidence.why };
  }

  private ownedNow(
    fold: Ownership,
    claim: AppendedClaim | undefined,
    now: Instant,
  ): Owned | undefined {
    if (fold.owner !== this.self || claim === undefined || fold.epoch === this.releasedEpoch) {
      return undefined;
    }
    if (this.owned?.epoch === fold.epoch) {
      return this.owned;
    }
    const wait = claim.afterRelease ? 0 : HANDOVER_DELAY_MILLIS;
    return { epoch: fold.epoch, exclusiveFrom: deadlineAfter(now, wait) };
  }

  private evidence(epoch: Epoch, now: Instant): Evidence {
    const byLog = this.evidenceOfLog(now);
    if (byLog.kind === 'valid' || !this.isLogUnavailable || this.fold === undefined) {
      return byLog;
    }
    return this.evidenceOfMembers(epoch, now);
  }

  private evidenceOfLog(now: Instant): Evidence {
    if (this.readAt === undefined) {
      return { kind: 'missing', why: 'not_read' };
    }
    const until = deadlineAfter(this.readAt, FRESHNESS_WINDOW_MILLIS);
    return hasPassed(until, now)
      ? { kind: 'missing', why: 'log_silent_here' }
      : { kind: 'valid', until };
  }

  private evidenceOfMembers(epoch: Epoch, now: Instant): Evidence {
    const each = [...this.expectedMembers].map((member) => this.evidenceOf(member, epoch, now));
    const missing = each.find(({ kind }) => kind === 'missing');
    if (missing !== undefined) {
      return missing;
    }
    const ends = each.flatMap((evidence) => (evidence.kind === 'valid' ? [evidence.until] : []));
    const [first, ...rest] = ends;
    return first === undefined
      ? { kind: 'missing', why: 'alone' }
      : { kind: 'valid', until: rest.reduce((least, end) => (end < least ? end : least), first) };
  }

  private evidenceOf(member: MemberId, epoch: Epoch, now: Instant): Evidence {
    const known = this.known.get(member);
    if (known === undefined) {
      return { kind: 'missing', why: 'member_silent' };
    }
    const { statement, settledFrom } = known;
    const until = deadlineAfter(statement.madeAfter, FRESHNESS_WINDOW_MILLIS);
    if (hasPassed(until, now) && !statement.left) {
      return { kind: 'missing', why: 'member_silent' };
    }
    const why = stalenessFrom(statement, this.shard, hasPassed(settledFrom, now));
    if (why !== undefined) {
      return { kind: 'missing', why };
    }
    return statement.left
      ? { kind: 'valid', until: deadlineAfter(now, FRESHNESS_WINDOW_MILLIS) }
      : { kind: 'valid', until };
  }
}

/** Why the statement forbids the owner that receives it to act without the log, if it does. */
function stalenessFrom(
  statement: MemberStatement,
  shard: ShardId,
  settled: boolean,
): Staleness | undefined {
  if (statement.unresolvedClaims.includes(shard)) {
    return 'unresolved_claim';
  }
  if (statement.left) {
    return undefined;
  }
  if (statement.logAnswers) {
    return 'log_answers_member';
  }
  return statement.epochs.has(shard) || settled ? undefined : 'member_unsettled';
}
