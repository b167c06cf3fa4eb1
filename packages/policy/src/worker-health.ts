/** Finds workers on which attempts fail, and quarantines them. */

import type { QueueId, WorkerId, WorkId } from '@bamboowell/types/ids';
import { deadlineAfter, hasPassed, type Deadline, type Instant } from '@bamboowell/types/time';
import { SuspectQueues } from './suspect-queues.js';

/**
 * Number of queues whose work must fail on a worker, without a success in between, to quarantine
 * it.
 */
export const MIN_FAILED_QUEUES = 2;
/**
 * Number of work items of one queue that must fail on a worker to quarantine it, without a success
 * there and with one elsewhere; for cells in which all work comes from one queue.
 */
export const MIN_FAILED_WORKS = 4;
/** Maximum fraction of a shard's workers in quarantine; one worker is always allowed. */
export const MAX_QUARANTINED_FRACTION = 0.1;
/** Duration of the first quarantine; each consecutive one is twice as long. */
export const QUARANTINE_MILLIS = 60_000;
/** Maximum duration of a quarantine. */
export const LONGEST_QUARANTINE_MILLIS = 3_600_000;
/**
 * A worker on probation gets its next attempt after this long even if the last one goes on: as long as a
 * first quarantine.
 */
export const TRIAL_MILLIS = QUARANTINE_MILLIS;

/** Failures of the work of one queue on a worker since the last success on that worker. */
interface QueueFailures {
  /** Failed work items, at most `minFailedWorks` of them. */
  readonly works: ReadonlySet<WorkId>;
  /**
   * Number of successes of the queue on any worker when the first of these failures was recorded.
   */
  readonly successesBefore: number;
}

/** Health state of a worker. */
export type HealthState =
  | { readonly kind: 'healthy'; readonly failures: ReadonlyMap<QueueId, QueueFailures> }
  /** The worker gets no attempts until `until`, but for those that a failure costs nothing. */
  | {
      readonly kind: 'quarantined';
      readonly until: Deadline;
      /** When it may be tried with work that a failure costs nothing. */
      readonly nextTrialAt: Deadline;
      readonly consecutiveQuarantines: number;
    }
  /** The worker gets one attempt at a time until one succeeds. */
  | {
      readonly kind: 'probation';
      readonly consecutiveQuarantines: number;
      /** No other attempt before this, unless the last one ends; undefined if none runs. */
      readonly trialUntil: Deadline | undefined;
    };

/** A change of the health state of a worker. */
export interface HealthChange {
  readonly worker: WorkerId;
  readonly state: HealthState['kind'];
}

/**
 * Thresholds of `WorkerHealth`. The defaults suit a cell; a caller with other kinds of failures may
 * set its own.
 */
export interface HealthBounds {
  readonly quarantineMillis: number;
  readonly trialMillis: number;
  readonly longestQuarantineMillis: number;
  readonly maxQuarantinedFraction: number;
  readonly minFailedWorks: number;
}

const DEFAULT_BOUNDS: HealthBounds = {
  quarantineMillis: QUARANTINE_MILLIS,
  trialMillis: TRIAL_MILLIS,
  longestQuarantineMillis: LONGEST_QUARANTINE_MILLIS,
  maxQuarantinedFraction: MAX_QUARANTINED_FRACTION,
  minFailedWorks: MIN_FAILED_WORKS,
};

const HEALTHY: HealthState = { kind: 'healthy', failures: new Map() };

/**
 * Quarantines a worker when work of several queues fails on it, or many work items of a queue that
 * succeeds elsewhere; a single work item is never enough. On probation, one failure quarantines the
 * worker again; an attempt that ends without evidence, or goes on for long, makes room for another one.
 * Failures of a suspect queue, whose work fails on many workers, do not count. Once the maximum fraction of
 * the shard's workers is quarantined, further workers stay in use.
 */
export class WorkerHealth {
  private readonly states = new Map<WorkerId, HealthState>();
  private readonly suspectQueues = new SuspectQueues();
  private quarantinedWorkers = 0;
  private workerCount = 0;

  constructor(private readonly bounds: HealthBounds = DEFAULT_BOUNDS) {}

  /** Sets the number of workers in the shard. */
  setWorkerCount(workers: number): void {
    this.workerCount = workers;
  }

  stateOf(worker: WorkerId): HealthState {
    return this.states.get(worker) ?? HEALTHY;
  }

  /** Whether a new attempt may be placed on the worker. */
  mayPlace(worker: WorkerId): boolean {
    const state = this.stateOf(worker);
    return (
      state.kind === 'healthy' || (state.kind === 'probation' && state.trialUntil === undefined)
    );
  }

  /**
   * Whether work that a failure costs nothing may be tried on a quarantined worker, if it can run nowhere else:
   * the worker may have recovered long before its quarantine ends.
   */
  mayTry(worker: WorkerId, now: Instant): boolean {
    const state = this.stateOf(worker);
    return state.kind === 'quarantined' && hasPassed(state.nextTrialAt, now);
  }

  /**
   * Whether the worker is healthy and no work of other queues failed on it, so that a failure there
   * counts against the work.
   */
  isTrusted(worker: WorkerId, queue: QueueId): boolean {
    const state = this.stateOf(worker);
    return (
      state.kind === 'healthy' && [...state.failures.keys()].every((failed) => failed === queue)
    );
  }

  /** Records that an attempt was placed on the worker. */
  recordPlacement(worker: WorkerId, now: Instant): void {
    const state = this.stateOf(worker);
    if (state.kind === 'probation') {
      const trialUntil = deadlineAfter(now, this.bounds.trialMillis);
      this.states.set(worker, { ...state, trialUntil });
    } else if (state.kind === 'quarantined') {
      const nextTrialAt = deadlineAfter(now, this.bounds.trialMillis);
      this.states.set(worker, { ...state, nextTrialAt });
    }
  }

  /**
   * Records that an attempt ended without evidence about the worker, for example because it was
   * cancelled.
   */
  recordInconclusive(worker: WorkerId): void {
    const state = this.stateOf(worker);
    if (state.kind === 'probation') {
      this.states.set(worker, { ...state, trialUntil: undefined });
    }
  }

  recordSuccess(worker: WorkerId, queue: QueueId): HealthChange | undefined {
    this.suspectQueues.recordSuccess(queue);
    const state = this.stateOf(worker);
    if (state.kind === 'quarantined') {
      return undefined;
    }
    this.states.delete(worker);
    return state.kind === 'probation' ? { worker, state: 'healthy' } : undefined;
  }

  recordFailure(
    worker: WorkerId,
    queue: QueueId,
    work: WorkId,
    now: Instant,
  ): HealthChange | undefined {
    this.suspectQueues.recordFailure(queue, worker);
    const state = this.stateOf(worker);
    if (state.kind === 'quarantined') {
      return undefined;
    }
    if (state.kind === 'probation') {
      return this.handleProbationFailure(worker, queue, state.consecutiveQuarantines, now);
    }
    const failures = new Map(state.failures);
    failures.set(queue, this.withFailure(failures.get(queue), queue, work));
    this.states.set(worker, { kind: 'healthy', failures });
    return this.isEnoughEvidence(failures) ? this.quarantine(worker, 1, now) : undefined;
  }

  /**
   * Puts workers whose quarantine has ended on probation, and those on probation that have had an attempt
   * for long in use for another one.
   */
  endQuarantines(now: Instant): HealthChange[] {
    const changes: HealthChange[] = [];
    for (const [worker, state] of this.states) {
      const endsAt = closedUntil(state);
      if (state.kind !== 'healthy' && endsAt !== undefined && hasPassed(endsAt, now)) {
        this.quarantinedWorkers -= Number(state.kind === 'quarantined');
        const { consecutiveQuarantines } = state;
        this.states.set(worker, {
          kind: 'probation',
          consecutiveQuarantines,
          trialUntil: undefined,
        });
        changes.push({ worker, state: 'probation' });
      }
    }
    return changes;
  }

  /** The time at which the next worker may be used again, if there is one. */
  nextDeadline(): Deadline | undefined {
    let next: Deadline | undefined;
    for (const state of this.states.values()) {
      const endsAt = closedUntil(state);
      if (endsAt !== undefined && (next === undefined || endsAt < next)) {
        next = endsAt;
      }
    }
    return next;
  }

  /** Called when the worker was removed or replaced by a new one. */
  forget(worker: WorkerId): void {
    if (this.stateOf(worker).kind === 'quarantined') {
      this.quarantinedWorkers -= 1;
    }
    this.states.delete(worker);
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
    const successesBefore = earlier?.successesBefore ?? this.suspectQueues.successesOf(queue);
    return { works, successesBefore };
  }

  private isEnoughEvidence(failures: ReadonlyMap<QueueId, QueueFailures>): boolean {
    const relevant = [...failures].filter(([queue]) => !this.suspectQueues.isSuspect(queue));
    return (
      relevant.length >= MIN_FAILED_QUEUES ||
      relevant.some(
        ([queue, { works, successesBefore }]) =>
          works.size >= this.bounds.minFailedWorks &&
          this.suspectQueues.successesOf(queue) > successesBefore,
      )
    );
  }

  private handleProbationFailure(
    worker: WorkerId,
    queue: QueueId,
    consecutiveQuarantines: number,
    now: Instant,
  ): HealthChange | undefined {
    this.states.set(worker, { kind: 'probation', consecutiveQuarantines, trialUntil: undefined });
    if (this.suspectQueues.isSuspect(queue)) {
      return undefined;
    }
    return this.quarantine(worker, consecutiveQuarantines + 1, now);
  }

  private quarantine(
    worker: WorkerId,
    consecutiveQuarantines: number,
    now: Instant,
  ): HealthChange | undefined {
    const maxQuarantined = Math.max(
      1,
      Math.floor(this.workerCount * this.bounds.maxQuarantinedFraction),
    );
    if (this.quarantinedWorkers >= maxQuarantined) {
      return undefined;
    }
    this.quarantinedWorkers += 1;
    const millis = Math.min(
      this.bounds.longestQuarantineMillis,
      this.bounds.quarantineMillis * 2 ** (consecutiveQuarantines - 1),
    );
    this.states.set(worker, {
      kind: 'quarantined',
      until: deadlineAfter(now, millis),
      nextTrialAt: deadlineAfter(now, this.bounds.trialMillis),
      consecutiveQuarantines,
    });
    return { worker, state: 'quarantined' };
  }
}

/** Until when the worker gets no attempt whatever happens; undefined if it may get one. */
function closedUntil(state: HealthState): Deadline | undefined {
  switch (state.kind) {
    case 'healthy':
      return undefined;
    case 'quarantined':
      return state.until;
    case 'probation':
      return state.trialUntil;
  }
}
