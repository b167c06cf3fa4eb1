/** Admission control: decides whether arriving work may enter its queue. */

import type { Queue } from '@bamboowell/types/declarations';
import type { TeamId } from '@bamboowell/types/ids';
import { hasPassed, type Deadline, type Instant } from '@bamboowell/types/time';
import { done, refused, type Result } from '@bamboowell/types/verdict';

/** Maximum number of work items that wait in one shard. */
export const MAX_WAITING_IN_SHARD = 50_000;
/** Maximum number of work items of one team that wait in one shard. */
export const MAX_WAITING_OF_TEAM = 10_000;

/** Arriving work, of which `admit` decides. */
export interface Arrival {
  readonly team: TeamId;
  readonly queue: Queue;
  /** The caller no longer needs the work if it has not started by then. */
  readonly startBy: Deadline;
}

/** The current backlog, and the estimated start of the arriving work. */
export interface Load {
  readonly waitingInQueue: number;
  readonly waitingOfTeam: number;
  readonly waitingInShard: number;
  /** As estimated by `WaitEstimate`. */
  readonly estimatedStart: Instant;
}

/**
 * Refuses work immediately if a queue, team or shard limit is reached or if it would start after
 * its deadline. The verdict of a refusal is always `not_run`; the reason is `deadline_passed`,
 * `queue_full`, `overloaded` or `deadline_unreachable`.
 */
export function admit(arrival: Arrival, load: Load, now: Instant): Result<'admitted'> {
  const { queue, team, startBy } = arrival;
  if (hasPassed(startBy, now)) {
    return refused('deadline_passed', 'The deadline had passed when the request arrived.');
  }
  if (load.waitingInQueue >= queue.maxWaiting) {
    const detail = `Queue ${queue.id} has ${load.waitingInQueue} work items waiting; the limit is ${queue.maxWaiting}.`;
    return refused('queue_full', detail);
  }
  if (load.waitingOfTeam >= MAX_WAITING_OF_TEAM) {
    const detail = `Team ${team} has ${load.waitingOfTeam} work items waiting in this shard; the limit is ${MAX_WAITING_OF_TEAM}.`;
    return refused('overloaded', detail);
  }
  if (load.waitingInShard >= MAX_WAITING_IN_SHARD) {
    const detail = `The shard has ${load.waitingInShard} work items waiting; the limit is ${MAX_WAITING_IN_SHARD}.`;
    return refused('overloaded', detail);
  }
  if (hasPassed(startBy, load.estimatedStart)) {
    const lateMillis = load.estimatedStart - startBy;
    return refused(
      'deadline_unreachable',
      `The work would start ${lateMillis} ms after its deadline.`,
    );
  }
  return done('admitted');
}
