/** Asks which workers may run a step, and keeps the tickets that were granted. */

import { workersForAdvice, type AdviceCandidate } from '@bamboowell/policy/advised-workers';
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

/** A ticket with less time left than this, milliseconds, isn't used: the start must be recorded and travel first. */
const TICKET_MARGIN_MILLIS = 250;
/** Part of the workers named that counts as granted before a queue's first advice. */
const FIRST_GRANTED_PART = 0.5;
/** Share of a new answer in the learned part that is granted. */
const LEARNING_RATE = 0.1;

type Granted = Extract<JobInput, { kind: 'advice' }>['granted'][number];

export class StepAdvice {
  /** Part of the workers that is granted when they are named for the first time, by queue. */
  private readonly grantedParts = new Map<QueueId, number>();

  constructor(
    private readonly context: JobContext,
    private readonly desk: AdviceBalancer,
    private readonly isThere: (worker: Worker) => boolean,
  ) {}

  /** Whether the step needs no ticket, or some ticket of it can still be used. */
  hasTicket(step: Step): boolean {
    return step.job.queue.advice === undefined || step.ticketsUntil > this.usableAt();
  }

  /** Whether the step may start on the worker now. */
  admits(step: Step, { id }: Worker): boolean {
    if (step.job.queue.advice === undefined) {
      return true;
    }
    const grant = step.grants.get(id);
    return grant !== undefined && grant.until > this.usableAt();
  }

  /**
   * Asks which workers may run the step, unless a call for it is open or the members have enough
   * to do. Room that is kept for others counts as taken.
   */
  request(step: Step, reservations: Reservations): void {
    const terms = step.job.queue.advice;
    if (
      terms === undefined ||
      step.workersInOpenCall !== undefined ||
      !this.desk.hasCapacity(terms)
    ) {
      return;
    }
    const named = workersForAdvice(this.candidates(step, reservations), {
      tasks: step.tasks.length - step.doneCount,
      isGang: step.plan.isGang,
      grantedFraction: this.grantedPartOf(step),
    });
    if (named.length === 0) {
      return;
    }
    const member = this.desk.open(step.id, terms, named.length);
    if (member === undefined) {
      return;
    }
    step.workersInOpenCall = named;
    this.context.emit({ kind: 'ask_advice', member, step: step.id, workers: named, terms });
  }

  receive(advice: Extract<JobInput, { kind: 'advice' }>): void {
    this.desk.close(advice.step, advice.tookMillis);
    const step = this.context.step(advice.step);
    if (step === undefined) {
      return;
    }
    const named = step.workersInOpenCall ?? [];
    this.learn(step, named, advice.granted);
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

  removeAdviser(member: MemberId): void {
    this.desk.remove(member).forEach((step) => {
      this.callFailed(step);
    });
  }

  callFailed(id: StepId): void {
    this.desk.close(id, undefined);
    const step = this.context.step(id);
    if (step !== undefined) {
      step.workersInOpenCall = undefined;
    }
    this.context.needsPlacement = true;
  }

  private usableAt(): Deadline {
    return deadlineAfter(this.context.now, TICKET_MARGIN_MILLIS);
  }

  /** Asks about further workers, if the step would have room on some that no advice names yet. */
  requestMore(step: Step, sites: readonly AvailableWorker[], reservations: Reservations): void {
    const demand = allocationOf(step.plan);
    const terms = step.job.queue.advice;
    if (
      terms === undefined ||
      step.workersInOpenCall !== undefined ||
      !this.desk.hasCapacity(terms)
    ) {
      return;
    }
    const hasRoom = ({ worker, free: room }: AvailableWorker): boolean =>
      !step.workersWithAdvice.has(worker.id) &&
      fits(demand, room) &&
      isEligible(worker, step) &&
      !reservations.isReserved(worker);
    if (sites.some(hasRoom)) {
      this.request(step, reservations);
    }
  }

  private grantedPartOf({ job }: Step): number {
    return this.grantedParts.get(job.queue.id) ?? FIRST_GRANTED_PART;
  }

  private learn(step: Step, named: readonly WorkerId[], granted: readonly Granted[]): void {
    const isNew = (id: WorkerId): boolean =>
      !step.workersWithAdvice.has(id) && !step.grants.has(id);
    const asked = named.filter(isNew).length;
    if (asked > 0) {
      const part = granted.filter(({ worker }) => isNew(worker)).length / asked;
      const known = this.grantedPartOf(step);
      this.grantedParts.set(step.job.queue.id, known + LEARNING_RATE * (part - known));
    }
  }

  /** Workers known to be allowed, and those on which there was no advice yet. */
  private candidates(step: Step, reservations: Reservations): AdviceCandidate[] {
    const demand = allocationOf(step.plan);
    const candidates: AdviceCandidate[] = [];
    for (const worker of this.context.workers.values()) {
      const { id } = worker;
      const isOpen = this.isThere(worker) && worker.isReachable && !worker.registration.isDraining;
      const mayBeAllowed = step.grants.has(id) || !step.workersWithAdvice.has(id);
      if (isOpen && mayBeAllowed && isEligible(worker, step)) {
        const { free: room } = availableWorker(worker);
        candidates.push({
          worker: id,
          fittingTasks: reservations.isReserved(worker)
            ? 0
            : countFitting(demand, room, step.plan.maxPerWorker),
          freeMillicores: room.millicores,
          isAllowed: step.grants.has(id),
        });
      }
    }
    return candidates;
  }
}
