/** Chooses the shard that takes a request. */

import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { WorkRequest } from '@bamboowell/front/backend';
import { shardForCall, shardForWork, type ShardLoad } from '@bamboowell/policy/routing';
import { brandAs, type RegionId, type ShardId, type TeamId } from '@bamboowell/types/ids';
import { done, refused, type Result } from '@bamboowell/types/verdict';
import type { RoutingTable } from './routing-task.js';

export class ShardChoice {
  private readonly generator: RandomGenerator;

  /** @param seed of the draws between shards. */
  constructor(
    private readonly region: RegionId,
    seed: number,
  ) {
    this.generator = xoroshiro128plus(seed);
  }

  /**
   * A repeat of durable work must reach the same shard, so that its choice rests on the request's
   * id alone. A quick call goes where there is less to do.
   */
  shardFor(order: WorkRequest, team: TeamId, table: RoutingTable): Result<ShardId> {
    const { configuration } = table;
    if (order.dataCentre !== null) {
      return configuration.dataCentres.has(order.dataCentre)
        ? done(brandAs<ShardId>(order.dataCentre))
        : refused('malformed', `there is no data centre ${order.dataCentre}`, 'dataCentre');
    }
    const shards = [...configuration.dataCentres.values()]
      .filter(({ region }) => region === this.region)
      .map(({ id }) => brandAs<ShardId>(id));
    const isCall = order.shape.kind === 'quick_call';
    const chosen = isCall ? shardForCall(this.loadsOf(shards, table), this.generator) : undefined;
    const shard = chosen ?? shardForWork(team, order.requestId, shards);
    return shard === undefined
      ? refused('no_owner', `no data centre of region ${this.region} is declared`)
      : done(shard);
  }

  private loadsOf(shards: readonly ShardId[], { owners, local }: RoutingTable): ShardLoad[] {
    return shards.map((shard) => {
      const place = owners.get(shard) ?? local.get(shard);
      const load = place === undefined ? 0 : place.running + place.waiting;
      return { shard, reachable: place !== undefined, load };
    });
  }
}
