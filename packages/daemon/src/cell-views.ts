/** Derives from the state of the cell the view that each shard's owner needs. */

import type { CellFold } from '@bamboowell/state/cell-fold';
import { brandAs, type ShardId, type TeamId } from '@bamboowell/types/ids';
import type { Resources } from '@bamboowell/types/resources';
import type { CellView, Holding } from '@bamboowell/owner/messages';

/**
 * One view for each shard. Every data centre is a shard. Shards of removed data centres are
 * included, because their owners must still learn of lowered limits.
 */
export function viewsOf(fold: CellFold): ReadonlyMap<ShardId, CellView> {
  const { configuration } = fold;
  const totals = new Map<TeamId, Resources>();
  for (const team of configuration.teams.keys()) {
    totals.set(team, fold.totalHeldOf(team));
  }
  const views = new Map<ShardId, CellView>();
  const declared = [...configuration.dataCentres.keys()].map((id) => brandAs<ShardId>(id));
  for (const shard of new Set([...declared, ...fold.knownShards])) {
    views.set(shard, {
      configuration,
      epoch: fold.epochOf(shard),
      holdings: holdingsOf(fold, shard, totals),
    });
  }
  return views;
}

/** The shard's holdings by team, with an entry also for teams of which it holds nothing. */
function holdingsOf(
  fold: CellFold,
  shard: ShardId,
  totals: ReadonlyMap<TeamId, Resources>,
): ReadonlyMap<TeamId, Holding> {
  const holdings = new Map<TeamId, Holding>();
  for (const [team, total] of totals) {
    holdings.set(team, {
      held: fold.holdingOf(shard, team),
      total,
      allowed: fold.allowedOf(shard, team),
    });
  }
  for (const [team, held] of fold.holdingsOf(shard)) {
    holdings.set(team, {
      held,
      total: totals.get(team) ?? fold.totalHeldOf(team),
      allowed: fold.allowedOf(shard, team),
    });
  }
  return holdings;
}
