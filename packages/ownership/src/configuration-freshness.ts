/** Whether a member may accept work for teams with the configuration that it has. */

import type { MemberId, Offset } from '@bamboowell/types/ids';
import { deadlineAfter, hasPassed, type Deadline, type Instant } from '@bamboowell/types/time';
import { CONFIGURATION_FRESHNESS_WINDOW_MILLIS } from './bounds.js';

/** What a member said of its configuration. */
export interface ConfigurationStatement {
  readonly member: MemberId;
  /** The statement was made at or after this instant of the hearer's clock. */
  readonly madeAfter: Instant;
  readonly logAnswers: boolean;
  /** All entries of the stream `cell` below this offset are folded. */
  readonly upTo: Offset;
  /** The member has left for good; its last word stays good for ever. */
  readonly left: boolean;
}

export type ConfigurationStatus =
  | { readonly kind: 'fresh'; readonly freshUntil: Deadline }
  | {
      readonly kind: 'stale';
      readonly why: 'not_read' | 'member_silent' | 'log_answers_member' | 'behind' | 'alone';
      /** The members that are silent, ahead, or answered by the log. */
      readonly members: readonly MemberId[];
    };

export class ConfigurationFreshness {
  private upTo: Offset | undefined;
  private readAt: Instant | undefined;
  private logIsSilent = false;
  /** The highest offset that each member ever told of; a restarted one may have forgotten it. */
  private readonly highest = new Map<MemberId, Offset>();
  private others: ReadonlySet<MemberId> = new Set();
  private readonly statements = new Map<MemberId, ConfigurationStatement>();

  constructor(private readonly self: MemberId) {}

  /** The members of every region, which must be heard while the log does not answer. */
  setExpectedMembers(members: Iterable<MemberId>): void {
    this.others = new Set([...members].filter((member) => member !== this.self));
  }

  /** The fold holds the end of the stream `cell` as of a read that was sent at `readAt`. */
  recordRead(readAt: Instant, upTo: Offset): void {
    this.readAt = readAt;
    this.upTo = upTo;
    this.logIsSilent = false;
  }

  /** A peer handed over the configuration up to this offset. Offsets only grow. */
  recordHandover(upTo: Offset): void {
    if (this.upTo === undefined || upTo > this.upTo) {
      this.upTo = upTo;
    }
  }

  recordLogFailure(): void {
    this.logIsSilent = true;
  }

  recordStatement(statement: ConfigurationStatement): void {
    const highest = this.highest.get(statement.member);
    if (highest === undefined || statement.upTo > highest) {
      this.highest.set(statement.member, statement.upTo);
    }
    const before = this.statements.get(statement.member);
    if (before === undefined || statement.madeAfter >= before.madeAfter) {
      this.statements.set(statement.member, statement);
    }
  }

  /** This process was paused: what was known before is void. */
  resetAfterPause(): void {
    this.readAt = undefined;
    this.statements.clear();
  }

  status(now: Instant): ConfigurationStatus {
    const byLog = this.readAt && deadlineAfter(this.readAt, CONFIGURATION_FRESHNESS_WINDOW_MILLIS);
    if (byLog !== undefined && !hasPassed(byLog, now)) {
      return { kind: 'fresh', freshUntil: byLog };
    }
    if (!this.logIsSilent || this.upTo === undefined) {
      return { kind: 'stale', why: 'not_read', members: [] };
    }
    return this.byMembers(this.upTo, now);
  }

  private byMembers(upTo: Offset, now: Instant): ConfigurationStatus {
    const heard = [...this.others].flatMap((member) => this.heardOf(member, now));
    if (heard.length < this.others.size) {
      const names = new Set(heard.map(({ member }) => member));
      const silent = [...this.others].filter((member) => !names.has(member));
      return { kind: 'stale', why: 'member_silent', members: silent };
    }
    const answered = heard.filter(({ logAnswers, left }) => logAnswers && !left);
    if (answered.length > 0) {
      const members = answered.map(({ member }) => member);
      return { kind: 'stale', why: 'log_answers_member', members };
    }
    const ahead = [...this.highest].filter(([, offset]) => offset > upTo);
    if (ahead.length > 0) {
      return { kind: 'stale', why: 'behind', members: ahead.map(([member]) => member) };
    }
    return freshBy(heard, now);
  }

  private heardOf(member: MemberId, now: Instant): ConfigurationStatement[] {
    const statement = this.statements.get(member);
    if (statement === undefined) {
      return [];
    }
    const end = deadlineAfter(statement.madeAfter, CONFIGURATION_FRESHNESS_WINDOW_MILLIS);
    return statement.left || !hasPassed(end, now) ? [statement] : [];
  }
}

function freshBy(statements: readonly ConfigurationStatement[], now: Instant): ConfigurationStatus {
  if (statements.length === 0) {
    return { kind: 'stale', why: 'alone', members: [] };
  }
  const instants = statements.map(({ madeAfter: at, left }) => (left ? now : at));
  const oldest = instants.reduce((least, at) => (at < least ? at : least), now);
  return {
    kind: 'fresh',
    freshUntil: deadlineAfter(oldest, CONFIGURATION_FRESHNESS_WINDOW_MILLIS),
  };
}
