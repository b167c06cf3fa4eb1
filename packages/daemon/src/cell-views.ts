/** Cuts the state of the cell into what each shard's owner needs. */

import type { CellFold } from '@bamboowell/state/cell-fold';
import { brandAs, type ShardId, type TeamId } from '@bamboowell/types/ids';
import type { Resources } from '@bamboowell/types/resources';
import type { CellView, Holding } from '@bamboowell/owner/messages';

/** One view for each data centre; every data centre is a shard. */
export function viewsOf(fold: CellFold): ReadonlyMap<ShardId, CellView> {
  const { configuration } = fold;
  const totals = new Map<TeamId, Resources>();
  for (const team of configuration.teams.keys()) {
    totals.set(team, fold.heldOf(team));
  }
  const views = new Map<ShardId, CellView>();
  for (const id of configuration.dataCentres.keys()) {
    const shard = brandAs<ShardId>(id);
    views.set(shard, {
      configuration,
      epoch: fold.epochOf(shard),
      holdings: holdingsOf(fold, shard, totals),
    });
  }
  return views;
}

/** What the shard holds of every team, also of those of which it holds nothing. */
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
      total: totals.get(team) ?? fold.heldOf(team),
      allowed: fold.allowedOf(shard, team),
    });
  }
  return holdings;
}
