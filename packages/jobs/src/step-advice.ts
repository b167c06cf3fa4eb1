/** Requests advice on which workers may run a step, and keeps the tickets that were granted. */

import {
  MIN_ADVICE_WORKERS,
  workersForAdvice,
  type AdviceCandidate,
} from '@bamboowell/policy/advised-workers';
import type { MemberId, QueueId, WorkerId } from '@bamboowell/types/ids';
import type { StepId } from '@bamboowell/types/job';
import { fits } from '@bamboowell/types/resources';
import { deadlineAfter, type Deadline } from '@bamboowell/types/time';
import type { AdviceBalancer } from './advice-balancer.js';
import type { JobContext } from './context.js';
import type { JobInput } from './messages.js';
import { allocationOf, type Step, type Worker } from './model.js';
import type { Reservations } from './reservations.js';
import {
  countFitting,
  availableWorker,
  isEligible,
  type AvailableWorker,
} from './available-workers.js';

/**
 * Tickets with less time left than this, milliseconds, are not used: the start must first be stored
 * and sent.
 */
const TICKET_MARGIN_MILLIS = 250;
/** Fraction of the named workers that is assumed to be granted until a queue's first advice. */
const INITIAL_GRANTED_FRACTION = 0.5;
/** Weight of a new answer in the moving average of the fraction that is granted. */
const SMOOTHING_FACTOR = 0.1;

type Granted = Extract<JobInput, { kind: 'advice' }>['granted'][number];

export class StepAdvice {
  /** Moving average, by queue, of the fraction granted of workers named for the first time. */
  private readonly grantedFractions = new Map<QueueId, number>();

  constructor(
    private readonly context: JobContext,
    private readonly balancer: AdviceBalancer,
    /** Whether the worker can get work sooner or later. */
    private readonly isPlaceable: (worker: Worker) => boolean,
  ) {}

  /** Whether the step needs no ticket, or has one that can still be used. */
  hasTicket(step: Step): boolean {
    return step.job.queue.advice === undefined || step.ticketsUntil > this.earliestUsableExpiry();
  }

  /**
   * Whether the tickets of a gang that waits for room expire in less time than a call takes. Its room may come
   * together in the time between two tickets.
   */
  isRenewalDue({ job, plan, ticketsUntil }: Step): boolean {
    const { advice } = job.queue;
    if (advice === undefined || !plan.isGang) {
      return false;
    }
    const callMillis = advice.baseMillis + advice.perWorkerMillis * MIN_ADVICE_WORKERS;
    return ticketsUntil <= deadlineAfter(this.context.now, TICKET_MARGIN_MILLIS + callMillis);
  }

  /** Whether a member can take another call for the step. */
  hasCapacityFor({ job }: Step): boolean {
    const { advice } = job.queue;
    return advice === undefined || this.balancer.hasCapacity(advice);
  }

  /** Whether the step may start on the worker now. */
  admits(step: Step, { id }: Worker): boolean {
    if (step.job.queue.advice === undefined) {
      return true;
    }
    const grant = step.grants.get(id);
    return grant !== undefined && grant.until > this.earliestUsableExpiry();
  }

  /**
   * Requests advice on which workers may run the step, unless a call for it is open or no member
   * has capacity for one. Workers that are reserved for other steps count as full.
   */
  request(step: Step, reservations: Reservations): void {
    const timing = step.job.queue.advice;
    if (
      timing === undefined ||
      step.workersInOpenCall !== undefined ||
      !this.balancer.hasCapacity(timing)
    ) {
      return;
    }
    const named = workersForAdvice(this.candidates(step, reservations), {
      tasks: step.tasks.length - step.doneCount,
      isGang: step.plan.isGang,
      grantedFraction: this.grantedFractionOf(step),
    });
    if (named.length === 0) {
      return;
    }
    const member = this.balancer.open(step.id, timing, named.length);
    if (member === undefined) {
      return;
    }
    step.workersInOpenCall = named;
    this.context.emit({
      kind: 'ask_advice',
      member,
      step: step.id,
      workers: named,
      timing,
    });
  }

  receive(advice: Extract<JobInput, { kind: 'advice' }>): void {
    this.balancer.close(advice.step, advice.tookMillis);
    const step = this.context.step(advice.step);
    if (step === undefined) {
      return;
    }
    const named = step.workersInOpenCall ?? [];
    this.updateGrantedFraction(step, named, advice.granted);
    named.forEach((id) => step.workersWithAdvice.add(id));
    step.workersInOpenCall = undefined;
    for (const { worker, ticket } of advice.granted) {
      step.grants.set(worker, { ticket, until: advice.until });
      step.ticketsUntil = advice.until;
    }
    this.context.needsPlacement = true;
    this.context.event('advice.taken', {
      step: advice.step,
      named: named.length,
      granted: advice.granted.length,
      tookMillis: Math.round(advice.tookMillis),
    });
  }

  removeMember(member: MemberId): void {
    this.balancer.remove(member).forEach((step) => {
      this.callFailed(step);
    });
  }

  callFailed(id: StepId): void {
    this.balancer.close(id, undefined);
    const step = this.context.step(id);
    if (step !== undefined) {
      step.workersInOpenCall = undefined;
    }
    this.context.needsPlacement = true;
  }

  private earliestUsableExpiry(): Deadline {
    return deadlineAfter(this.context.now, TICKET_MARGIN_MILLIS);
  }

  /** Requests advice on further workers, if some without advice so far have room for a task. */
  requestMore(step: Step, available: readonly AvailableWorker[], reservations: Reservations): void {
    const demand = allocationOf(step.plan);
    const timing = step.job.queue.advice;
    if (
      timing === undefined ||
      step.workersInOpenCall !== undefined ||
      !this.balancer.hasCapacity(timing)
    ) {
      return;
    }
    const isFurther = ({ worker, free }: AvailableWorker): boolean =>
      !step.workersWithAdvice.has(worker.id) &&
      fits(demand, free) &&
      isEligible(worker.registration, step) &&
      !reservations.isReserved(worker);
    if (available.some(isFurther)) {
      this.request(step, reservations);
    }
  }

  private grantedFractionOf({ job }: Step): number {
    return this.grantedFractions.get(job.queue.id) ?? INITIAL_GRANTED_FRACTION;
  }

  private updateGrantedFraction(
    step: Step,
    named: readonly WorkerId[],
    granted: readonly Granted[],
  ): void {
    const isNew = (id: WorkerId): boolean =>
      !step.workersWithAdvice.has(id) && !step.grants.has(id);
    const newlyNamed = named.filter(isNew).length;
    if (newlyNamed > 0) {
      const fraction = granted.filter(({ worker }) => isNew(worker)).length / newlyNamed;
      const average = this.grantedFractionOf(step);
      this.grantedFractions.set(
        step.job.queue.id,
        average + SMOOTHING_FACTOR * (fraction - average),
      );
    }
  }

  /** Workers that earlier advice granted, and those without advice so far. */
  private candidates(step: Step, reservations: Reservations): AdviceCandidate[] {
    const demand = allocationOf(step.plan);
    const candidates: AdviceCandidate[] = [];
    for (const worker of this.context.workers.values()) {
      const { id } = worker;
      const mayBeGranted = step.grants.has(id) || !step.workersWithAdvice.has(id);
      if (this.isPlaceable(worker) && mayBeGranted && isEligible(worker.registration, step)) {
        const { free } = availableWorker(worker);
        candidates.push({
          worker: id,
          fittingTasks: reservations.isReserved(worker)
            ? 0
            : countFitting(demand, free, step.plan.maxPerWorker),
          freeMillicores: free.millicores,
          isAllowed: step.grants.has(id),
        });
      }
    }
    return candidates;
  }
}
