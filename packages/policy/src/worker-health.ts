/** Which workers get no work because they fail what they start. */

import type { QueueId, WorkerId, WorkId } from '@bamboowell/types/ids';
import { deadlineAfter, hasPassed, type Deadline, type Instant } from '@bamboowell/types/time';
import { SuspectQueues } from './suspect-queues.js';

/** Queues whose work must have failed on a worker, with no success between. */
export const MIN_FAILED_QUEUES = 2;
/**
 * Pieces of work of one queue that must have failed on a worker, with no success there and one
 * elsewhere; for cells whose work comes from one queue.
 */
export const MIN_FAILED_WORKS = 4;
/** Largest part of a shard's workers that may be quarantined; one may always be. */
export const MAX_QUARANTINED_FRACTION = 0.1;
/** Length of the first quarantine; each further one in a row is twice as long. */
export const QUARANTINE_MILLIS = 60_000;
/** Length of the longest quarantine. */
export const LONGEST_QUARANTINE_MILLIS = 3_600_000;

/** What of a queue failed on a worker since its last success. */
interface QueueFailures {
  /** At most `FAILED_WORKS`. */
  readonly works: ReadonlySet<WorkId>;
  /** Successes of the queue anywhere when the first of them failed. */
  readonly successesBefore: number;
}

/** Where a worker stands. */
export type HealthState =
  | { readonly kind: 'healthy'; readonly failures: ReadonlyMap<QueueId, QueueFailures> }
  | { readonly kind: 'quarantined'; readonly until: Deadline; readonly times: number }
  /** Gets one attempt at a time until one succeeds. */
  | { readonly kind: 'probation'; readonly times: number; readonly underTrial: boolean };

/** A worker's standing changed. */
export interface HealthChange {
  readonly worker: WorkerId;
  readonly state: HealthState['kind'];
}

/** The bounds of a cell; a user of the class with other faults may set its own. */
export interface HealthBounds {
  readonly quarantineMillis: number;
  readonly longestQuarantineMillis: number;
  readonly maxQuarantinedFraction: number;
  readonly minFailedWorks: number;
}

const DEFAULT_BOUNDS: HealthBounds = {
  quarantineMillis: QUARANTINE_MILLIS,
  longestQuarantineMillis: LONGEST_QUARANTINE_MILLIS,
  maxQuarantinedFraction: MAX_QUARANTINED_FRACTION,
  minFailedWorks: MIN_FAILED_WORKS,
};

const HEALTHY: HealthState = { kind: 'healthy', failures: new Map() };

/**
 * Quarantines a worker on failures of different queues' work, or of many pieces of work of a queue
 * that succeeds elsewhere. A queue whose work fails on many workers says nothing about any of them,
 * and one piece of work never says enough. When the bounded part of the shard is quarantined,
 * further workers stay in use.
 */
export class WorkerHealth {
  private readonly standings = new Map<WorkerId, HealthState>();
  private readonly suspicion = new SuspectQueues();
  private quarantined = 0;
  private workers = 0;

  constructor(private readonly bounds: HealthBounds = DEFAULT_BOUNDS) {}

  /** Number of workers in the shard. */
  setWorkerCount(workers: number): void {
    this.workers = workers;
  }

  stateOf(worker: WorkerId): HealthState {
    return this.standings.get(worker) ?? HEALTHY;
  }

  /** Whether a new attempt may be placed on the worker. */
  mayPlace(worker: WorkerId): boolean {
    const standing = this.stateOf(worker);
    return standing.kind === 'healthy' || (standing.kind === 'probation' && !standing.underTrial);
  }

  /** Whether nothing is held against the worker, so that a failure there tells about the job. */
  isTrusted(worker: WorkerId, queue: QueueId): boolean {
    const standing = this.stateOf(worker);
    return (
      standing.kind === 'healthy' &&
      [...standing.failures.keys()].every((failed) => failed === queue)
    );
  }

  /** An attempt was placed on the worker. */
  recordPlacement(worker: WorkerId): void {
    const standing = this.stateOf(worker);
    if (standing.kind === 'probation') {
      this.standings.set(worker, { ...standing, underTrial: true });
    }
  }

  /** An attempt on the worker ended without telling anything, as when it was cancelled. */
  recordInconclusive(worker: WorkerId): void {
    const standing = this.stateOf(worker);
    if (standing.kind === 'probation') {
      this.standings.set(worker, { ...standing, underTrial: false });
    }
  }

  recordSuccess(worker: WorkerId, queue: QueueId): HealthChange | undefined {
    this.suspicion.recordSuccess(queue);
    const standing = this.stateOf(worker);
    if (standing.kind === 'quarantined') {
      return undefined;
    }
    this.standings.delete(worker);
    return standing.kind === 'probation' ? { worker, state: 'healthy' } : undefined;
  }

  recordFailure(
    worker: WorkerId,
    queue: QueueId,
    work: WorkId,
    now: Instant,
  ): HealthChange | undefined {
    this.suspicion.recordFailure(queue, worker);
    const standing = this.stateOf(worker);
    if (standing.kind === 'quarantined') {
      return undefined;
    }
    if (standing.kind === 'probation') {
      return this.failedOnProbation(worker, queue, standing.times, now);
    }
    const failures = new Map(standing.failures);
    failures.set(queue, this.withFailure(failures.get(queue), queue, work));
    this.standings.set(worker, { kind: 'healthy', failures });
    return this.isEnough(failures) ? this.quarantine(worker, 1, now) : undefined;
  }

  /** Puts workers whose quarantine is over on probation. */
  endQuarantines(now: Instant): HealthChange[] {
    const changes: HealthChange[] = [];
    for (const [worker, standing] of this.standings) {
      if (standing.kind === 'quarantined' && hasPassed(standing.until, now)) {
        this.quarantined -= 1;
        const { times } = standing;
        this.standings.set(worker, { kind: 'probation', times, underTrial: false });
        changes.push({ worker, state: 'probation' });
      }
    }
    return changes;
  }

  /** When the next quarantine is over, if there is one. */
  nextDeadline(): Deadline | undefined {
    let next: Deadline | undefined;
    for (const standing of this.standings.values()) {
      if (standing.kind === 'quarantined' && (next === undefined || standing.until < next)) {
        next = standing.until;
      }
    }
    return next;
  }

  /** The worker is gone, or was replaced by a new one. */
  forget(worker: WorkerId): void {
    if (this.stateOf(worker).kind === 'quarantined') {
      this.quarantined -= 1;
    }
    this.standings.delete(worker);
  }

  private withFailure(
    earlier: QueueFailures | undefined,
    queue: QueueId,
    work: WorkId,
  ): QueueFailures {
    const works = new Set(earlier?.works);
    if (works.size < this.bounds.minFailedWorks) {
      works.add(work);
    }
    const successesBefore = earlier?.successesBefore ?? this.suspicion.successesOf(queue);
    return { works, successesBefore };
  }

  private isEnough(failures: ReadonlyMap<QueueId, QueueFailures>): boolean {
    const telling = [...failures].filter(([queue]) => !this.suspicion.isSuspect(queue));
    return (
      telling.length >= MIN_FAILED_QUEUES ||
      telling.some(
        ([queue, { works, successesBefore }]) =>
          works.size >= this.bounds.minFailedWorks &&
          this.suspicion.successesOf(queue) > successesBefore,
      )
    );
  }

  private failedOnProbation(
    worker: WorkerId,
    queue: QueueId,
    times: number,
    now: Instant,
  ): HealthChange | undefined {
    this.standings.set(worker, { kind: 'probation', times, underTrial: false });
    if (this.suspicion.isSuspect(queue)) {
      return undefined;
    }
    return this.quarantine(worker, times + 1, now);
  }

  private quarantine(worker: WorkerId, times: number, now: Instant): HealthChange | undefined {
    const most = Math.max(1, Math.floor(this.workers * this.bounds.maxQuarantinedFraction));
    if (this.quarantined >= most) {
      return undefined;
    }
    this.quarantined += 1;
    const millis = Math.min(
      this.bounds.longestQuarantineMillis,
      this.bounds.quarantineMillis * 2 ** (times - 1),
    );
    this.standings.set(worker, { kind: 'quarantined', until: deadlineAfter(now, millis), times });
    return { worker, state: 'quarantined' };
  }
}
