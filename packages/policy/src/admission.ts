/** Whether arriving work is let into the queues. */

import type { Queue } from '@bamboowell/types/declarations';
import type { TeamId } from '@bamboowell/types/ids';
import { hasPassed, type Deadline, type Instant } from '@bamboowell/types/time';
import { done, refused, type Result } from '@bamboowell/types/verdict';

/** Most pieces of work that may wait in one shard. */
export const MAX_WAITING_IN_SHARD = 50_000;
/** Most pieces of work of one team that may wait in one shard. */
export const MAX_WAITING_OF_TEAM = 10_000;

/** Work that asks to be let in. */
export interface Arrival {
  readonly team: TeamId;
  readonly queue: Queue;
  /** When the caller stops waiting for the start. */
  readonly startBy: Deadline;
}

/** What waits already, and when the arrival would likely start. */
export interface Load {
  readonly waitingInQueue: number;
  readonly waitingOfTeam: number;
  readonly waitingInShard: number;
  /** From `WaitEstimate`. */
  readonly estimatedStart: Instant;
}

/**
 * Refuses at once what would find no room or could not start in time. The verdict is always
 * `not_run`; the reasons are `deadline_passed`, `queue_full`, `overloaded` and
 * `deadline_unreachable`.
 */
export function admit(arrival: Arrival, load: Load, now: Instant): Result<'admitted'> {
  const { queue, team, startBy } = arrival;
  if (hasPassed(startBy, now)) {
    return refused('deadline_passed', 'The deadline had passed when the request arrived.');
  }
  if (load.waitingInQueue >= queue.maxWaiting) {
    const detail = `Queue ${queue.id} holds ${load.waitingInQueue} of at most ${queue.maxWaiting}.`;
    return refused('queue_full', detail);
  }
  if (load.waitingOfTeam >= MAX_WAITING_OF_TEAM) {
    const detail = `Team ${team} has ${load.waitingOfTeam} of at most ${MAX_WAITING_OF_TEAM} waiting.`;
    return refused('overloaded', detail);
  }
  if (load.waitingInShard >= MAX_WAITING_IN_SHARD) {
    const detail = `${load.waitingInShard} of at most ${MAX_WAITING_IN_SHARD} pieces of work wait.`;
    return refused('overloaded', detail);
  }
  if (hasPassed(startBy, load.estimatedStart)) {
    const late = load.estimatedStart - startBy;
    return refused('deadline_unreachable', `The work would start ${late} ms after its deadline.`);
  }
  return done('admitted');
}
