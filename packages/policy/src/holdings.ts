/**
 * Distribution of a team's limit over shards: how much a shard acquires, gives back when idle, and
 * loses when the limit is lowered.
 */

import type { ShardId, TeamId } from '@bamboowell/types/ids';
import {
  add,
  DIMENSIONS,
  fits,
  isZero,
  NO_RESOURCES,
  positivePart,
  resourcesOf,
  subtract,
  type Dimension,
  type Resources,
} from '@bamboowell/types/resources';
import { deadlineAfter, hasPassed, type Deadline, type Instant } from '@bamboowell/types/time';

/** Number of equal chunks of a limit; a shard acquires one chunk more than it needs. */
export const CHUNKS_PER_LIMIT = 32;
/** Time after which an amount that was idle throughout is given back. */
export const IDLE_WINDOW_MILLIS = 30_000;

/** A team's limit, and the parts of it that all shards together and this shard hold. */
export interface LimitState {
  readonly limit: Resources;
  readonly heldByAll: Resources;
  readonly heldHere: Resources;
}

/**
 * The amount to acquire so that `needed` can start in addition to `inUse`: the missing amount, and
 * one chunk more as far as the limit allows. Zero if nothing is missing. `undefined` if the rest of
 * the limit does not cover the missing amount, or if the shards hold more than the limit in any
 * dimension, as after the limit was lowered.
 */
export function amountToAcquire(
  state: LimitState,
  inUse: Resources,
  needed: Resources,
): Resources | undefined {
  const missing = positivePart(subtract(add(inUse, needed), state.heldHere));
  if (isZero(missing)) {
    return NO_RESOURCES;
  }
  const remaining = positivePart(subtract(state.limit, state.heldByAll));
  if (!fits(missing, remaining) || !fits(state.heldByAll, state.limit)) {
    return undefined;
  }
  const chunk = chunkOf(state.limit);
  return resourcesOf((dimension) =>
    missing[dimension] === 0
      ? 0
      : Math.min(remaining[dimension], missing[dimension] + chunk[dimension]),
  );
}

/** The part of a limit that a shard acquires beyond its present need. */
export function chunkOf(limit: Resources): Resources {
  return resourcesOf((dimension) => Math.ceil(limit[dimension] / CHUNKS_PER_LIMIT));
}

/** The maximum in use since the window began, in each dimension. */
interface UseWindow {
  readonly maxInUse: Resources;
  readonly endsAt: Deadline;
}

/** An idle amount of a team's limit, to be given back. */
export interface IdleAmount {
  readonly team: TeamId;
  readonly amount: Resources;
}

/** The amounts of a team's limit that a shard holds and uses. */
export interface TeamHolding {
  readonly team: TeamId;
  readonly held: Resources;
  readonly inUse: Resources;
}

/** Finds holdings that were idle throughout `IDLE_WINDOW_MILLIS`. */
export class IdleHoldings {
  private readonly windows = new Map<TeamId, UseWindow>();

  /** Records the amount in use; must be called whenever it grows. */
  recordUse({ team, inUse }: TeamHolding, now: Instant): void {
    const window = this.windows.get(team) ?? windowFrom(inUse, now);
    this.windows.set(team, { ...window, maxInUse: maximumOf(window.maxInUse, inUse) });
  }

  /**
   * Returns the amounts to give back now, and begins a new window for each team whose window has
   * ended.
   */
  collectIdle(holdings: Iterable<TeamHolding>, now: Instant): IdleAmount[] {
    const found: IdleAmount[] = [];
    for (const holding of holdings) {
      this.recordUse(holding, now);
      const idle = this.idleOf(holding, now);
      if (!isZero(idle)) {
        found.push({ team: holding.team, amount: idle });
      }
    }
    return found;
  }

  /** The earliest end of a window, if there is one. */
  nextDeadline(): Deadline | undefined {
    let next: Deadline | undefined;
    for (const { endsAt } of this.windows.values()) {
      next = next === undefined || endsAt < next ? endsAt : next;
    }
    return next;
  }

  forget(team: TeamId): void {
    this.windows.delete(team);
  }

  private idleOf({ team, held, inUse }: TeamHolding, now: Instant): Resources {
    const window = this.windows.get(team);
    if (window === undefined || !hasPassed(window.endsAt, now)) {
      return NO_RESOURCES;
    }
    this.windows.set(team, windowFrom(inUse, now));
    return positivePart(subtract(held, window.maxInUse));
  }
}

function windowFrom(inUse: Resources, now: Instant): UseWindow {
  return { maxInUse: inUse, endsAt: deadlineAfter(now, IDLE_WINDOW_MILLIS) };
}

function maximumOf(left: Resources, right: Resources): Resources {
  return resourcesOf((dimension) => Math.max(left[dimension], right[dimension]));
}

/**
 * The amount that each shard must give up when the shards hold more than a lowered limit: in
 * proportion to what it holds, so that exactly the limit is left. The result does not depend on the
 * order of the map, so that every reader of the same state computes the same amounts. Shards that
 * give up nothing are left out.
 */
export function reductionsPerShard(
  limit: Resources,
  holdings: ReadonlyMap<ShardId, Resources>,
): Map<ShardId, Resources> {
  const shards = [...holdings.keys()].sort();
  let reductions = new Map<ShardId, Resources>();
  for (const dimension of DIMENSIONS) {
    reductions = reduceIn(dimension, limit, shards, holdings, reductions);
  }
  return reductions;
}

function reduceIn(
  dimension: Dimension,
  limit: Resources,
  shards: readonly ShardId[],
  holdings: ReadonlyMap<ShardId, Resources>,
  reductions: ReadonlyMap<ShardId, Resources>,
): Map<ShardId, Resources> {
  const result = new Map(reductions);
  const heldBy = (shard: ShardId) => holdings.get(shard)?.[dimension] ?? 0;
  let heldByRest = shards.reduce((total, shard) => total + heldBy(shard), 0);
  let excess = Math.max(0, heldByRest - limit[dimension]);
  for (const shard of shards) {
    const held = heldBy(shard);
    const amount = held === 0 ? 0 : Math.ceil((excess * held) / heldByRest);
    excess -= amount;
    heldByRest -= held;
    if (amount > 0) {
      result.set(shard, { ...(result.get(shard) ?? NO_RESOURCES), [dimension]: amount });
    }
  }
  return result;
}
