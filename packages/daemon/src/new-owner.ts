/** Creates the state machine of a shard's owner from the settings. */

import { match } from 'ts-pattern';
import { FRESHNESS_WINDOW_MILLIS } from '@bamboowell/ownership/bounds';
import { DEFAULT_OWNER_SETTINGS } from '@bamboowell/owner/settings';
import { ShardOwner } from '@bamboowell/owner/shard-owner';
import { BestFit } from '@bamboowell/policy/best-fit';
import { FairShare } from '@bamboowell/policy/fair-share';
import { FirstComeFirstServed, type Ordering } from '@bamboowell/policy/ordering';
import { FirstFit, type Placement } from '@bamboowell/policy/placement';
import { FullJitter } from '@bamboowell/policy/retry';
import type { ShardId } from '@bamboowell/types/ids';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { newWriterId, type Environment } from './environment.js';

/** Exclusive upper bound of the seeds for retry jitter. */
const SEED_LIMIT = 2 ** 31;

export function newOwner(environment: Environment, shard: ShardId): ShardOwner {
  const { settings } = environment;
  return new ShardOwner({
    shard,
    member: settings.memberId,
    writer: newWriterId(environment),
    backoff: new FullJitter(xoroshiro128plus(Math.floor(environment.random() * SEED_LIMIT))),
    placement: placementOf(settings.placement),
    ordering: orderingOf(settings.ordering),
    settings: {
      ...DEFAULT_OWNER_SETTINGS,
      ...settings.leases,
      freshnessWindowMillis: FRESHNESS_WINDOW_MILLIS,
    },
  });
}

function placementOf(name: 'best_fit' | 'first_fit'): Placement {
  return match(name)
    .with('best_fit', () => new BestFit())
    .with('first_fit', () => new FirstFit())
    .exhaustive();
}

function orderingOf(name: 'fair_share' | 'first_come_first_served'): Ordering {
  return match(name)
    .with('fair_share', () => new FairShare())
    .with('first_come_first_served', () => new FirstComeFirstServed())
    .exhaustive();
}
