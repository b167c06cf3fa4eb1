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

  /** @param seed of the random choices between shards. */
  constructor(
    private readonly region: RegionId,
    seed: number,
  ) {
    this.generator = xoroshiro128plus(seed);
  }

  /**
   * A repeated submission of durable work must reach the same shard, so its shard depends only on
   * the team, the request id and the region's shards. A quick call goes to a less loaded shard.
   */
  shardFor(request: WorkRequest, team: TeamId, table: RoutingTable): Result<ShardId> {
    const { configuration } = table;
    if (request.dataCentre !== null) {
      return configuration.dataCentres.has(request.dataCentre)
        ? done(brandAs<ShardId>(request.dataCentre))
        : refused('malformed', `there is no data centre ${request.dataCentre}`, 'dataCentre');
    }
    const shards = [...configuration.dataCentres.values()]
      .filter(({ region }) => region === this.region)
      .map(({ id }) => brandAs<ShardId>(id));
    const isCall = request.shape.kind === 'quick_call';
    const chosen = isCall ? shardForCall(this.loadsOf(shards, table), this.generator) : undefined;
    const shard = chosen ?? shardForWork(team, request.requestId, shards);
    return shard === undefined
      ? refused('no_owner', `no data centre of region ${this.region} is declared`)
      : done(shard);
  }

  private loadsOf(shards: readonly ShardId[], { owners, local }: RoutingTable): ShardLoad[] {
    return shards.map((shard) => {
      const entry = owners.get(shard) ?? local.get(shard);
      const load = entry === undefined ? 0 : entry.running + entry.waiting;
      return { shard, reachable: entry !== undefined, load };
    });
  }
}
