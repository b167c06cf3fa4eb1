/** The task that assembles the report that this member sends with its heartbeats. */

import { match } from 'ts-pattern';
import type { Clock } from '@bamboowell/kernel/clock';
import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import { Task } from '@bamboowell/kernel/task';
import type { Report } from '@bamboowell/membership/heartbeat';
import type { MembersMessage } from '@bamboowell/membership/members-messages';
import {
  brandAs,
  type Epoch,
  type MemberId,
  type Offset,
  type ShardId,
  type Version,
} from '@bamboowell/types/ids';
import type { Instant } from '@bamboowell/types/time';
import type { RoutingMessage } from './routing-task.js';

/** What one shard's task reports. */
export interface ShardReport {
  readonly shard: ShardId;
  /** The shard's epoch; undefined until its stream has been read to the end. */
  readonly epoch: Epoch | undefined;
  readonly logAnswers: boolean;
  readonly hasUnresolvedClaim: boolean;
  /** Set while this member owns the shard. */
  readonly load: { readonly running: number; readonly waiting: number } | undefined;
  /** The instant at which all of the report was true. */
  readonly at: Instant;
}

export type ReporterMessage =
  | {
      readonly kind: 'cell';
      readonly version: Version;
      readonly cellUpTo: Offset;
      readonly logAnswers: boolean;
      readonly at: Instant;
    }
  | { readonly kind: 'shard'; readonly report: ShardReport }
  | {
      readonly kind: 'route';
      readonly routing: MailboxAddress<RoutingMessage>;
      readonly self: MemberId;
    }
  | { readonly kind: 'attach'; readonly members: MailboxAddress<MembersMessage> };

export class ReporterTask extends Task<ReporterMessage> {
  private version = brandAs<Version>(0);
  private cellUpTo = brandAs<Offset>(0);
  private logAnswers = true;
  private cellAt = brandAs<Instant>(0);
  private readonly shards = new Map<ShardId, ShardReport>();
  private members: MailboxAddress<MembersMessage> | undefined;
  private routing:
    { readonly address: MailboxAddress<RoutingMessage>; readonly self: MemberId } | undefined;

  constructor(clock: Clock) {
    super('reporter', clock);
  }

  protected receive(message: ReporterMessage): void {
    match(message)
      .with({ kind: 'cell' }, ({ version, cellUpTo, logAnswers, at }) => {
        this.version = version;
        this.cellUpTo = cellUpTo;
        this.logAnswers = logAnswers;
        this.cellAt = at;
      })
      .with({ kind: 'shard' }, ({ report }) => {
        this.shards.set(report.shard, report);
      })
      .with({ kind: 'route' }, ({ routing, self }) => {
        this.routing = { address: routing, self };
      })
      .with({ kind: 'attach' }, ({ members }) => {
        this.members = members;
      })
      .exhaustive();
    this.sendOwnedShards();
    this.members?.post({ kind: 'report', report: this.report(), at: this.oldestPart() });
  }

  private sendOwnedShards(): void {
    if (this.routing === undefined) {
      return;
    }
    const { address, self: member } = this.routing;
    const owned = this.report().owned.map(
      ({ shard, ...rest }) => [shard, { member, ...rest }] as const,
    );
    address.post({ kind: 'owned', shards: new Map(owned) });
  }

  /** The instant of the oldest part. Other members rely on all of the report having been true then. */
  private oldestPart(): Instant {
    const instants = [...this.shards.values()].map(({ at }) => at);
    return brandAs<Instant>(Math.min(this.cellAt, ...instants));
  }

  private report(): Report {
    const shards = [...this.shards.values()];
    return {
      logAnswers: this.logAnswers || shards.some((each) => each.logAnswers),
      version: this.version,
      cellUpTo: this.cellUpTo,
      unresolvedClaims: shards.filter((each) => each.hasUnresolvedClaim).map((each) => each.shard),
      epochs: shards.flatMap(({ shard, epoch }) => (epoch === undefined ? [] : [{ shard, epoch }])),
      owned: shards.flatMap(({ shard, epoch, load }) =>
        load === undefined || epoch === undefined ? [] : [{ shard, epoch, ...load }],
      ),
    };
  }
}
