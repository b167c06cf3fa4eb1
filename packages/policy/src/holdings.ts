/** How much of a team's upper limit a shard takes ahead, gives back and sheds. */

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

/** A shard takes ahead one of so many equal parts of the limit. */
export const CHUNKS_PER_LIMIT = 32;
/** Length of time after which what lay idle all along is given back. */
export const IDLE_WINDOW_MILLIS = 30_000;

/** A team's limit, and what all shards together and this shard hold of it. */
export interface LimitState {
  readonly limit: Resources;
  readonly heldByAll: Resources;
  readonly heldHere: Resources;
}

/**
 * The amount to take so that `needed` can start on top of `inUse`: what is missing, and a chunk
 * ahead as far as the limit leaves it. `undefined` if the limit leaves too little for what is
 * missing, or is passed in any dimension, as after it was lowered; nothing if nothing is missing.
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
  const left = positivePart(subtract(state.limit, state.heldByAll));
  if (!fits(missing, left) || !fits(state.heldByAll, state.limit)) {
    return undefined;
  }
  const ahead = chunkOf(state.limit);
  return resourcesOf((dimension) =>
    missing[dimension] === 0 ? 0 : Math.min(left[dimension], missing[dimension] + ahead[dimension]),
  );
}

/** The part of a limit that a shard takes ahead at a time. */
export function chunkOf(limit: Resources): Resources {
  return resourcesOf((dimension) => Math.ceil(limit[dimension] / CHUNKS_PER_LIMIT));
}

/** The most that was in use since the window began. */
interface UseWindow {
  readonly mostInUse: Resources;
  readonly endsAt: Deadline;
}

/** An amount of a team's limit to give back. */
export interface IdleAmount {
  readonly team: TeamId;
  readonly amount: Resources;
}

/** What a shard holds and uses of a team's limit. */
export interface TeamHolding {
  readonly team: TeamId;
  readonly held: Resources;
  readonly inUse: Resources;
}

/** Finds holdings that lay idle for all of `IDLE_MILLIS`. */
export class IdleHoldings {
  private readonly windows = new Map<TeamId, UseWindow>();

  /** Tells what is in use; to be called whenever it grows. */
  recordUse({ team, inUse }: TeamHolding, now: Instant): void {
    const window = this.windows.get(team) ?? windowFrom(inUse, now);
    this.windows.set(team, { ...window, mostInUse: largerOf(window.mostInUse, inUse) });
  }

  /** What to give back now; begins a new window for each team whose window has ended. */
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
    return positivePart(subtract(held, window.mostInUse));
  }
}

function windowFrom(inUse: Resources, now: Instant): UseWindow {
  return { mostInUse: inUse, endsAt: deadlineAfter(now, IDLE_WINDOW_MILLIS) };
}

function largerOf(left: Resources, right: Resources): Resources {
  return resourcesOf((dimension) => Math.max(left[dimension], right[dimension]));
}

/**
 * What each shard gives up when the shards hold more than a lowered limit: in proportion to what it
 * holds, so that the rest is exactly the limit. Every reader of the same state gets the same
 * answer. Shards that give up nothing are left out.
 */
export function reductionsPerShard(
  limit: Resources,
  holdings: ReadonlyMap<ShardId, Resources>,
): Map<ShardId, Resources> {
  const shards = [...holdings.keys()].sort();
  let shed = new Map<ShardId, Resources>();
  for (const dimension of DIMENSIONS) {
    shed = shedIn(dimension, limit, shards, holdings, shed);
  }
  return shed;
}

function shedIn(
  dimension: Dimension,
  limit: Resources,
  shards: readonly ShardId[],
  holdings: ReadonlyMap<ShardId, Resources>,
  shed: ReadonlyMap<ShardId, Resources>,
): Map<ShardId, Resources> {
  const result = new Map(shed);
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
