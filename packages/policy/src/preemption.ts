/** Choice of the running attempts to preempt for an urgent task that fits on no worker. */

import type { AttemptId, TeamId, WorkerId } from '@bamboowell/types/ids';
import { add, fits, subtract, type Resources } from '@bamboowell/types/resources';
import type { Instant } from '@bamboowell/types/time';
import type { Urgency } from '@bamboowell/types/work';

/** Run time that counts as lost when an attempt is checkpointed and stopped. */
const CHECKPOINT_LOSS_MILLIS = 5_000;

/** An attempt that runs on a worker, with what decides whether and at what cost it is preempted. */
export interface RunningAttempt {
  readonly attempt: AttemptId;
  readonly team: TeamId;
  readonly demand: Resources;
  readonly urgency: Urgency;
  readonly idempotent: boolean;
  readonly checkpointable: boolean;
  /** Number of tasks that lose their progress with this one: all tasks of a gang, otherwise one. */
  readonly gangSize: number;
  readonly startedAt: Instant;
}

/** A usable worker and the attempts that run on it. */
export interface OccupiedWorker {
  readonly worker: WorkerId;
  readonly free: Resources;
  readonly attempts: readonly RunningAttempt[];
}

/** How far each team is above its fair share; zero or negative for a team that is not above it. */
export type ShareExcess = (team: TeamId) => number;

/** The attempts to preempt, all on one worker. */
export interface Victims {
  readonly worker: WorkerId;
  readonly attempts: readonly RunningAttempt[];
}

interface Cost {
  /** Number of victims whose team is not above its fair share. */
  readonly withinShare: number;
  readonly lostMillis: number;
}

/**
 * The cheapest set of victims on any single worker: first by the number of victims from teams
 * within their fair share, then by lost run time. Only attempts that are not urgent and that are
 * idempotent or checkpointable are eligible. Returns `undefined` if preempting all of them would
 * free enough capacity on no worker.
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
  const cheapestFirst = occupied.attempts
    .filter(isPreemptible)
    .sort((left, right) => compareVictims(left, right, excessOf, now));
  const victims: RunningAttempt[] = [];
  let free = occupied.free;
  for (const attempt of cheapestFirst) {
    if (fits(demand, free)) {
      break;
    }
    victims.push(attempt);
    free = add(free, attempt.demand);
  }
  return fits(demand, free) ? withoutUnneeded(victims, demand, free) : undefined;
}

/** Removes victims that are not needed, the most expensive first. */
function withoutUnneeded(
  victims: readonly RunningAttempt[],
  demand: Resources,
  freed: Resources,
): RunningAttempt[] {
  const needed: RunningAttempt[] = [];
  let free = freed;
  for (const victim of victims.toReversed()) {
    const freeWithout = subtract(free, victim.demand);
    if (fits(demand, freeWithout)) {
      free = freeWithout;
    } else {
      needed.unshift(victim);
    }
  }
  return needed;
}

function isPreemptible(attempt: RunningAttempt): boolean {
  return attempt.urgency !== 'urgent' && (attempt.idempotent || attempt.checkpointable);
}

/** Cheapest first; among equals, the attempt of the team furthest above its fair share. */
function compareVictims(
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
  const lostPerTask = attempt.checkpointable ? CHECKPOINT_LOSS_MILLIS : now - attempt.startedAt;
  return lostPerTask * attempt.gangSize;
}

function sum(attempts: readonly RunningAttempt[], of: (attempt: RunningAttempt) => number): number {
  return attempts.reduce((total, attempt) => total + of(attempt), 0);
}
