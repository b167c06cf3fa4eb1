/** The task that keeps the routing table: the configuration and the owner of each shard. */

import { match } from 'ts-pattern';
import type { Clock } from '@bamboowell/kernel/clock';
import type { Reply } from '@bamboowell/kernel/ask';
import { Task } from '@bamboowell/kernel/task';
import type { MembersEvent, MemberView } from '@bamboowell/membership/members-messages';
import { EMPTY_CONFIGURATION } from '@bamboowell/state/configuration';
import type { Configuration } from '@bamboowell/types/declarations';
import { brandAs, type Epoch, type MemberId, type ShardId } from '@bamboowell/types/ids';
import type { Deadline } from '@bamboowell/types/time';
import type { CellEvent } from './cell-messages.js';

/** The owner of a shard and its load. */
export interface RoutingEntry {
  readonly member: MemberId;
  readonly epoch: Epoch;
  readonly running: number;
  readonly waiting: number;
}

/** An immutable copy of the task's state. */
export interface RoutingTable {
  readonly configuration: Configuration;
  readonly freshUntil: Deadline;
  /** Owners on other daemons, as their heartbeats state. */
  readonly owners: ReadonlyMap<ShardId, RoutingEntry>;
  /** Shards that this daemon owns. */
  readonly local: ReadonlyMap<ShardId, RoutingEntry>;
  readonly members: readonly MemberView[];
}

export type RoutingMessage =
  | { readonly kind: 'cell'; readonly event: CellEvent }
  | { readonly kind: 'members'; readonly event: MembersEvent }
  /** The shards that this daemon owns. The reporter sends them after each message it receives. */
  | { readonly kind: 'owned'; readonly shards: ReadonlyMap<ShardId, RoutingEntry> }
  | { readonly kind: 'read'; readonly reply: Reply<RoutingTable> };

export class RoutingTask extends Task<RoutingMessage> {
  private configuration: Configuration = EMPTY_CONFIGURATION;
  private freshUntil = brandAs<Deadline>(0);
  private members: ReadonlyMap<MemberId, MemberView> = new Map();
  private local: ReadonlyMap<ShardId, RoutingEntry> = new Map();

  constructor(clock: Clock) {
    super('routing', clock);
  }

  protected receive(message: RoutingMessage): void {
    match(message)
      .with({ kind: 'cell' }, ({ event }) => {
        this.handleCellEvent(event);
      })
      .with({ kind: 'members' }, ({ event }) => {
        this.handleMembersEvent(event);
      })
      .with({ kind: 'owned' }, ({ shards }) => {
        this.local = shards;
      })
      .with({ kind: 'read' }, ({ reply }) => {
        reply(this.table());
      })
      .exhaustive();
  }

  private handleCellEvent(event: CellEvent): void {
    match(event)
      .with({ kind: 'cell' }, ({ configuration }) => {
        this.configuration = configuration;
      })
      .with({ kind: 'freshness' }, ({ freshUntil }) => {
        this.freshUntil = freshUntil;
      })
      .with({ kind: 'settled' }, () => undefined)
      .exhaustive();
  }

  private handleMembersEvent(event: MembersEvent): void {
    match(event)
      .with({ kind: 'view' }, ({ members }) => {
        this.members = new Map(members.map((view) => [view.member, view]));
      })
      .with({ kind: 'heard' }, ({ view }) => {
        this.members = new Map([...this.members, [view.member, view]]);
      })
      .with({ kind: 'paused' }, () => undefined)
      .exhaustive();
  }

  private table(): RoutingTable {
    const members = [...this.members.values()];
    return {
      configuration: this.configuration,
      freshUntil: this.freshUntil,
      owners: ownersOf(members),
      local: this.local,
      members,
    };
  }
}

/** The owner of each shard: the connected member that states the highest epoch. */
function ownersOf(members: readonly MemberView[]): ReadonlyMap<ShardId, RoutingEntry> {
  const owners = new Map<ShardId, RoutingEntry>();
  for (const { member, heard, connected } of members) {
    for (const { shard, epoch, running, waiting } of heard?.heartbeat.owned ?? []) {
      const known = owners.get(shard);
      if (connected && (known === undefined || known.epoch < epoch)) {
        owners.set(shard, { member, epoch, running, waiting });
      }
    }
  }
  return owners;
}
