/** Which running attempts make room for an urgent task that fits nowhere. */

import type { AttemptId, TeamId, WorkerId } from '@bamboowell/types/ids';
import { add, fits, subtract, type Resources } from '@bamboowell/types/resources';
import type { Instant } from '@bamboowell/types/time';
import type { Urgency } from '@bamboowell/types/work';

/** Run time that counts as lost when an attempt is checkpointed. */
const CHECKPOINT_LOSS_MILLIS = 5_000;

/** An attempt that runs on a worker. */
export interface RunningAttempt {
  readonly attempt: AttemptId;
  readonly team: TeamId;
  readonly demand: Resources;
  readonly urgency: Urgency;
  readonly idempotent: boolean;
  readonly checkpointable: boolean;
  /** Tasks that lose their progress with this one: all of a gang, one otherwise. */
  readonly gangSize: number;
  readonly startedAt: Instant;
}

/** A usable worker and what runs on it. */
export interface OccupiedWorker {
  readonly worker: WorkerId;
  readonly free: Resources;
  readonly attempts: readonly RunningAttempt[];
}

/** How far each team is above its share; not positive for a team at or below it. */
export type ShareExcess = (team: TeamId) => number;

/** The attempts to stop, all on one worker. */
export interface Victims {
  readonly worker: WorkerId;
  readonly attempts: readonly RunningAttempt[];
}

interface Cost {
  /** Victims whose team is not above its share. */
  readonly withinShare: number;
  readonly lostMillis: number;
}

/**
 * The cheapest victims on one worker: first the fewest from teams within their share, then the
 * least run time lost. Only attempts that can run again or be checkpointed are taken, and none
 * that is urgent. None is returned if that makes no room anywhere.
 */
export function chooseVictims(
  workers: Iterable<OccupiedWorker>,
  demand: Resources,
  excessOf: ShareExcess,
  now: Instant,
): Victims | undefined {
  let best: Victims | undefined;
  let bestCost: Cost | undefined;
  for (const occupied of workers) {
    const attempts = victimsOn(occupied, demand, excessOf, now);
    if (attempts === undefined) {
      continue;
    }
    const cost = costOf(attempts, excessOf, now);
    if (bestCost === undefined || isCheaper(cost, bestCost)) {
      best = { worker: occupied.worker, attempts };
      bestCost = cost;
    }
  }
  return best;
}

function victimsOn(
  occupied: OccupiedWorker,
  demand: Resources,
  excessOf: ShareExcess,
  now: Instant,
): RunningAttempt[] | undefined {
  const inOrder = occupied.attempts
    .filter(mayStop)
    .sort((left, right) => victimOrder(left, right, excessOf, now));
  const victims: RunningAttempt[] = [];
  let free = occupied.free;
  for (const attempt of inOrder) {
    if (fits(demand, free)) {
      break;
    }
    victims.push(attempt);
    free = add(free, attempt.demand);
  }
  return fits(demand, free) ? withoutNeedless(victims, demand, free) : undefined;
}

/** Spares victims that turn out not to be needed, the dearest first. */
function withoutNeedless(
  victims: readonly RunningAttempt[],
  demand: Resources,
  freed: Resources,
): RunningAttempt[] {
  const needed: RunningAttempt[] = [];
  let free = freed;
  for (const victim of victims.toReversed()) {
    const without = subtract(free, victim.demand);
    if (fits(demand, without)) {
      free = without;
    } else {
      needed.unshift(victim);
    }
  }
  return needed;
}

function mayStop(attempt: RunningAttempt): boolean {
  return attempt.urgency !== 'urgent' && (attempt.idempotent || attempt.checkpointable);
}

/** Cheapest first; the team furthest above its share pays first among equals. */
function victimOrder(
  left: RunningAttempt,
  right: RunningAttempt,
  excessOf: ShareExcess,
  now: Instant,
): number {
  return (
    withinShare(left, excessOf) - withinShare(right, excessOf) ||
    lostMillis(left, now) - lostMillis(right, now) ||
    excessOf(right.team) - excessOf(left.team)
  );
}

function costOf(attempts: readonly RunningAttempt[], excessOf: ShareExcess, now: Instant): Cost {
  return {
    withinShare: sum(attempts, (attempt) => withinShare(attempt, excessOf)),
    lostMillis: sum(attempts, (attempt) => lostMillis(attempt, now)),
  };
}

function isCheaper(left: Cost, right: Cost): boolean {
  const difference = left.withinShare - right.withinShare || left.lostMillis - right.lostMillis;
  return difference < 0;
}

function withinShare(attempt: RunningAttempt, excessOf: ShareExcess): number {
  return excessOf(attempt.team) > 0 ? 0 : 1;
}

function lostMillis(attempt: RunningAttempt, now: Instant): number {
  const each = attempt.checkpointable ? CHECKPOINT_LOSS_MILLIS : now - attempt.startedAt;
  return each * attempt.gangSize;
}

function sum(attempts: readonly RunningAttempt[], of: (attempt: RunningAttempt) => number): number {
  return attempts.reduce((total, attempt) => total + of(attempt), 0);
}
