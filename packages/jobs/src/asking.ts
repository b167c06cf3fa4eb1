/** Asks which workers may run a step, and keeps the tickets that were granted. */

import type { MemberId, WorkerId } from '@bamboowell/types/ids';
import type { StepId } from '@bamboowell/types/job';
import { deadlineAfter, type Deadline } from '@bamboowell/types/time';
import type { AdviceDesk } from './advice-desk.js';
import type { JobContext } from './context.js';
import type { JobInput } from './messages.js';
import type { Step, Worker } from './model.js';
import { suits } from './sites.js';

/** A ticket with less time left than this, milliseconds, isn't used: the start must be recorded and travel first. */
const TICKET_MARGIN_MILLIS = 250;
/** Most workers that one call for advice names; the platform takes no more. */
const MAX_NAMED_WORKERS = 100;

export class Asking {
  constructor(
    private readonly context: JobContext,
    private readonly desk: AdviceDesk,
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

  /** Whether the step may run on the worker by all advice so far, also where the ticket ran out. */
  hasAdmitted(step: Step, { id }: Worker): boolean {
    return step.job.queue.advice === undefined || step.grants.has(id);
  }

  /** Asks which workers may run the step, unless a call for it is open or the members have enough to do. */
  ask(step: Step): void {
    const terms = step.job.queue.advice;
    if (terms === undefined || step.asking !== undefined || !this.desk.isFree(terms)) {
      return;
    }
    const named = this.candidates(step);
    if (named.length === 0) {
      return;
    }
    const member = this.desk.open(step.id, terms, named.length);
    if (member === undefined) {
      return;
    }
    step.asking = named;
    this.context.emit({ kind: 'ask_advice', member, step: step.id, workers: named, terms });
  }

  take(advice: Extract<JobInput, { kind: 'advice' }>): void {
    this.desk.close(advice.step, advice.tookMillis);
    const step = this.context.step(advice.step);
    if (step === undefined) {
      return;
    }
    const named = step.asking?.length ?? 0;
    step.asking?.forEach((id) => step.advisedOn.add(id));
    step.asking = undefined;
    for (const { worker, ticket } of advice.granted) {
      step.grants.set(worker, { ticket, until: advice.until });
      step.ticketsUntil = advice.until;
    }
    this.context.hasNews = true;
    this.context.event('advice.taken', {
      step: advice.step,
      named,
      granted: advice.granted.length,
      tookMillis: Math.round(advice.tookMillis),
    });
  }

  adviserGone(member: MemberId): void {
    this.desk.remove(member).forEach((step) => {
      this.noAdvice(step);
    });
  }

  noAdvice(id: StepId): void {
    this.desk.close(id, undefined);
    const step = this.context.step(id);
    if (step !== undefined) {
      step.asking = undefined;
    }
    this.context.hasNews = true;
  }

  private usableAt(): Deadline {
    return deadlineAfter(this.context.now, TICKET_MARGIN_MILLIS);
  }

  /** Workers known to be allowed, and those on which there was no advice yet. */
  private candidates(step: Step): WorkerId[] {
    const named: WorkerId[] = [];
    for (const worker of this.context.workers.values()) {
      const { id } = worker;
      const isOpen = this.isThere(worker) && worker.isReachable && !worker.notice.isDraining;
      const mayBeAllowed = step.grants.has(id) || !step.advisedOn.has(id);
      if (isOpen && mayBeAllowed && suits(worker, step)) {
        named.push(id);
      }
    }
    return named.slice(0, MAX_NAMED_WORKERS);
  }
}
