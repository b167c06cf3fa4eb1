/** Decides whether a member's configuration is recent enough to accept work with it. */

import type { MemberId, Offset } from '@bamboowell/types/ids';
import { deadlineAfter, hasPassed, type Deadline, type Instant } from '@bamboowell/types/time';
import { CONFIGURATION_FRESHNESS_WINDOW_MILLIS } from './bounds.js';

/** What a member reported about its configuration. */
export interface ConfigurationStatement {
  readonly member: MemberId;
  /** The statement was made at or after this instant of the receiver's clock. */
  readonly madeAfter: Instant;
  readonly logAnswers: boolean;
  /** The member's fold includes all entries of the stream `cell` below this offset. */
  readonly upTo: Offset;
  /** The member has left. Its last statement does not expire. */
  readonly left: boolean;
}

export type ConfigurationStatus =
  | { readonly kind: 'fresh'; readonly freshUntil: Deadline }
  | {
      readonly kind: 'stale';
      readonly why: 'not_read' | 'member_silent' | 'log_answers_member' | 'behind' | 'alone';
      /** The members that are silent, have newer configuration, or are answered by the log. */
      readonly members: readonly MemberId[];
    };

export class ConfigurationFreshness {
  private upTo: Offset | undefined;
  private readAt: Instant | undefined;
  private isLogUnavailable = false;
  /** The highest offset that each member ever reported. A restarted member may report less. */
  private readonly highestOffsets = new Map<MemberId, Offset>();
  private expectedMembers: ReadonlySet<MemberId> = new Set();
  private readonly statements = new Map<MemberId, ConfigurationStatement>();

  constructor(private readonly self: MemberId) {}

  /** Sets the members, of all regions, that must be heard from while the log does not answer. */
  setExpectedMembers(members: Iterable<MemberId>): void {
    this.expectedMembers = new Set([...members].filter((member) => member !== this.self));
  }

  /** Records that the fold includes the end of the stream `cell` as of a read sent at `readAt`. */
  recordRead(readAt: Instant, upTo: Offset): void {
    this.readAt = readAt;
    this.upTo = upTo;
    this.isLogUnavailable = false;
  }

  /** Records that a peer sent its configuration up to this offset. A lower offset has no effect. */
  recordHandover(upTo: Offset): void {
    if (this.upTo === undefined || upTo > this.upTo) {
      this.upTo = upTo;
    }
  }

  recordLogFailure(): void {
    this.isLogUnavailable = true;
  }

  recordStatement(statement: ConfigurationStatement): void {
    const highest = this.highestOffsets.get(statement.member);
    if (highest === undefined || statement.upTo > highest) {
      this.highestOffsets.set(statement.member, statement.upTo);
    }
    const before = this.statements.get(statement.member);
    if (before === undefined || statement.madeAfter >= before.madeAfter) {
      this.statements.set(statement.member, statement);
    }
  }

  /**
   * Discards the last read of the log and all statements, as they are from before a pause of this
   * process. Keeps the offsets, which only grow.
   */
  resetAfterPause(): void {
    this.readAt = undefined;
    this.statements.clear();
  }

  status(now: Instant): ConfigurationStatus {
    const byLog = this.readAt && deadlineAfter(this.readAt, CONFIGURATION_FRESHNESS_WINDOW_MILLIS);
    if (byLog !== undefined && !hasPassed(byLog, now)) {
      return { kind: 'fresh', freshUntil: byLog };
    }
    if (!this.isLogUnavailable || this.upTo === undefined) {
      return { kind: 'stale', why: 'not_read', members: [] };
    }
    return this.statusByMembers(this.upTo, now);
  }

  private statusByMembers(upTo: Offset, now: Instant): ConfigurationStatus {
    const heard = [...this.expectedMembers].flatMap((member) =>
      this.currentStatementOf(member, now),
    );
    if (heard.length < this.expectedMembers.size) {
      const names = new Set(heard.map(({ member }) => member));
      const silent = [...this.expectedMembers].filter((member) => !names.has(member));
      return { kind: 'stale', why: 'member_silent', members: silent };
    }
    const answered = heard.filter(({ logAnswers, left }) => logAnswers && !left);
    if (answered.length > 0) {
      const members = answered.map(({ member }) => member);
      return { kind: 'stale', why: 'log_answers_member', members };
    }
    const ahead = [...this.highestOffsets].filter(([, offset]) => offset > upTo);
    if (ahead.length > 0) {
      return { kind: 'stale', why: 'behind', members: ahead.map(([member]) => member) };
    }
    return freshFrom(heard, now);
  }

  private currentStatementOf(member: MemberId, now: Instant): ConfigurationStatement[] {
    const statement = this.statements.get(member);
    if (statement === undefined) {
      return [];
    }
    const end = deadlineAfter(statement.madeAfter, CONFIGURATION_FRESHNESS_WINDOW_MILLIS);
    return statement.left || !hasPassed(end, now) ? [statement] : [];
  }
}

function freshFrom(
  statements: readonly ConfigurationStatement[],
  now: Instant,
): ConfigurationStatus {
  if (statements.length === 0) {
    return { kind: 'stale', why: 'alone', members: [] };
  }
  const instants = statements.map(({ madeAfter, left }) => (left ? now : madeAfter));
  const oldest = instants.reduce((least, at) => (at < least ? at : least), now);
  return {
    kind: 'fresh',
    freshUntil: deadlineAfter(oldest, CONFIGURATION_FRESHNESS_WINDOW_MILLIS),
  };
}
