/**
 * Folds the records of the stream `cell` into the configuration and the holdings: how much of each
 * team's upper limit each shard holds. Every reader that folds the same entries has the same state.
 */

import { match } from 'ts-pattern';
import type { Configuration, DataCentre, Key, Queue, Team } from '@bamboowell/types/declarations';
import {
  brandAs,
  type Epoch,
  type ShardId,
  type TeamId,
  type Version,
} from '@bamboowell/types/ids';
import type { CellRecord, VoidReason } from '@bamboowell/types/records';
import {
  add,
  fits,
  isZero,
  NO_RESOURCES,
  resourcesOf,
  subtract,
  type Resources,
} from '@bamboowell/types/resources';
import { reductionsPerShard } from '@bamboowell/policy/holdings';
import { applyChanges, EMPTY_CONFIGURATION } from './configuration.js';
import { Fold, type FoldPosition } from './fold.js';

type FoldedRecord = Exclude<CellRecord, { kind: 'checkpoint' }>;

/** A plain copy of the state for a checkpoint. Taken between entries, never within one. */
export interface CellSnapshot extends FoldPosition {
  readonly version: Version;
  readonly teams: readonly Team[];
  readonly queues: readonly Queue[];
  readonly keys: readonly Key[];
  readonly dataCentres: readonly DataCentre[];
  readonly epochs: readonly (readonly [ShardId, Epoch])[];
  readonly holdings: readonly (readonly [ShardId, readonly (readonly [TeamId, Resources])[]])[];
  readonly ceilings: readonly (readonly [TeamId, readonly (readonly [ShardId, Resources])[]])[];
}

export class CellFold extends Fold<FoldedRecord> {
  private current: Configuration = EMPTY_CONFIGURATION;
  private readonly epochs = new Map<ShardId, Epoch>();
  private readonly holdings = new Map<ShardId, Map<TeamId, Resources>>();
  /** For teams that hold more than their lowered limit: the most that each shard may still use. */
  private readonly ceilings = new Map<TeamId, ReadonlyMap<ShardId, Resources>>();

  get configuration(): Configuration {
    return this.current;
  }

  /** Shards that ever had an owner, including those of removed data centres. */
  get knownShards(): IterableIterator<ShardId> {
    return this.epochs.keys();
  }

  /** The part of the team's limit that the shard holds. */
  holdingOf(shard: ShardId, team: TeamId): Resources {
    return this.holdings.get(shard)?.get(team) ?? NO_RESOURCES;
  }

  /** The parts of the teams' limits that the shard holds. */
  holdingsOf(shard: ShardId): ReadonlyMap<TeamId, Resources> {
    return this.holdings.get(shard) ?? new Map<TeamId, Resources>();
  }

  /**
   * The most of the team's limit that the shard may use: its holding, or less if the limit was
   * lowered below the sum of all holdings.
   */
  allowedOf(shard: ShardId, team: TeamId): Resources {
    const held = this.holdingOf(shard, team);
    const ceiling = this.ceilings.get(team)?.get(shard);
    return ceiling === undefined
      ? held
      : resourcesOf((dimension) => Math.min(held[dimension], ceiling[dimension]));
  }

  /** The sum of the team's holdings over all shards. */
  totalHeldOf(team: TeamId): Resources {
    let total = NO_RESOURCES;
    for (const held of this.holdings.values()) {
      total = add(total, held.get(team) ?? NO_RESOURCES);
    }
    return total;
  }

  /** The epoch whose owner last took over the shard's holdings; 0 if none has. */
  epochOf(shard: ShardId): Epoch {
    return this.epochs.get(shard) ?? brandAs<Epoch>(0);
  }

  snapshot(): CellSnapshot {
    return {
      ...this.position(),
      version: this.current.version,
      teams: [...this.current.teams.values()],
      queues: [...this.current.queues.values()],
      keys: [...this.current.keys.values()],
      dataCentres: [...this.current.dataCentres.values()],
      epochs: [...this.epochs],
      holdings: [...this.holdings].map(([shard, held]) => [shard, [...held]]),
      ceilings: [...this.ceilings].map(([team, ofShards]) => [team, [...ofShards]]),
    };
  }

  static restore(snapshot: CellSnapshot): CellFold {
    const fold = new CellFold();
    fold.restorePosition(snapshot);
    fold.current = {
      version: snapshot.version,
      teams: byId(snapshot.teams),
      queues: byId(snapshot.queues),
      keys: byId(snapshot.keys),
      dataCentres: byId(snapshot.dataCentres),
    };
    for (const [shard, epoch] of snapshot.epochs) {
      fold.epochs.set(shard, epoch);
    }
    for (const [team, ofShards] of snapshot.ceilings) {
      fold.ceilings.set(team, new Map(ofShards));
    }
    for (const [shard, held] of snapshot.holdings) {
      fold.holdings.set(shard, new Map(held));
    }
    return fold;
  }

  protected override effectOf(record: FoldedRecord): VoidReason | undefined {
    return match(record)
      .with({ kind: 'change' }, (change) => this.change(change))
      .with({ kind: 'inherit' }, ({ shard, epoch }) => this.inherit(shard, epoch))
      .with({ kind: 'take' }, (take) => this.take(take))
      .with({ kind: 'give_back' }, (giveBack) => this.giveBack(giveBack))
      .exhaustive();
  }

  private change(change: Extract<CellRecord, { kind: 'change' }>): VoidReason | undefined {
    if (change.base !== this.current.version) {
      return 'stale_base';
    }
    const result = applyChanges(this.current, change.changes);
    if (result.kind === 'invalid') {
      return 'invalid_change';
    }
    this.current = result.configuration;
    this.setCeilings();
    return undefined;
  }

  private inherit(shard: ShardId, epoch: Epoch): VoidReason | undefined {
    if (epoch <= this.epochOf(shard)) {
      return 'stale_epoch';
    }
    this.epochs.set(shard, epoch);
    return undefined;
  }

  private take(take: Extract<CellRecord, { kind: 'take' }>): VoidReason | undefined {
    if (take.epoch !== this.epochOf(take.shard)) {
      return 'stale_epoch';
    }
    const team = this.current.teams.get(take.team);
    if (team === undefined) {
      return 'unknown_team';
    }
    if (!fits(add(this.totalHeldOf(take.team), take.amount), team.limit)) {
      return 'over_limit';
    }
    this.setHolding(take.shard, take.team, add(this.holdingOf(take.shard, take.team), take.amount));
    return undefined;
  }

  private giveBack(giveBack: Extract<CellRecord, { kind: 'give_back' }>): VoidReason | undefined {
    if (giveBack.epoch !== this.epochOf(giveBack.shard)) {
      return 'stale_epoch';
    }
    const held = this.holdingOf(giveBack.shard, giveBack.team);
    if (!fits(giveBack.amount, held)) {
      return 'not_held';
    }
    this.setHolding(giveBack.shard, giveBack.team, subtract(held, giveBack.amount));
    this.liftCeilings(giveBack.team);
    return undefined;
  }

  /** Computes for each team how much every shard may still use under the current limits. */
  private setCeilings(): void {
    const teams = new Set([...this.holdings.values()].flatMap((held) => [...held.keys()]));
    for (const team of teams) {
      this.setCeilingsOf(team);
    }
  }

  private setCeilingsOf(team: TeamId): void {
    const limit = this.current.teams.get(team)?.limit ?? NO_RESOURCES;
    if (fits(this.totalHeldOf(team), limit)) {
      this.ceilings.delete(team);
      return;
    }
    const held = new Map(
      [...this.holdings.keys()].map((shard) => [shard, this.holdingOf(shard, team)]),
    );
    const reductions = reductionsPerShard(limit, held);
    const ceilings = [...held].map(
      ([shard, amount]) =>
        [shard, subtract(amount, reductions.get(shard) ?? NO_RESOURCES)] as const,
    );
    this.ceilings.set(team, new Map(ceilings));
  }

  /** Removes the team's ceilings once its holdings are within its limit again. */
  private liftCeilings(team: TeamId): void {
    if (fits(this.totalHeldOf(team), this.current.teams.get(team)?.limit ?? NO_RESOURCES)) {
      this.ceilings.delete(team);
    }
  }

  private setHolding(shard: ShardId, team: TeamId, amount: Resources): void {
    const held = this.holdings.get(shard) ?? new Map<TeamId, Resources>();
    this.holdings.set(shard, held);
    if (isZero(amount)) {
      held.delete(team);
    } else {
      held.set(team, amount);
    }
  }
}

function byId<Item extends { readonly id: string }>(items: readonly Item[]): Map<Item['id'], Item> {
  return new Map(items.map((item) => [item.id, item]));
}
