/** Goes through the waiting steps in their order and starts what finds a worker. */

import { deadlineAfter, hasPassed } from '@bamboowell/types/time';
import type { Asking } from './asking.js';
import { Assigning } from './assigning.js';
import type { JobContext } from './context.js';
import type { Lifecycle } from './lifecycle.js';
import { roomOf, waitingTasks, type Step, type Task, type Worker } from './model.js';
import type { JobOrdering } from './ordering.js';
import type { Assignment, Orders } from './orders.js';
import { Reservations } from './reservations.js';
import { siteOf, suits, type Site } from './sites.js';
import type { Trust } from './trust.js';

/** A worker that answers counts as there for so long after its entry went, milliseconds: the platform's word is about two seconds. */
const RELIST_MILLIS = 2000;

/** What one pass has to share out. */
interface Pass {
  readonly sites: readonly Site[];
  readonly reservations: Reservations;
  /** The most processor time that is left on one site, thousandths of a core. */
  roomiest: number;
}

export class Placing {
  private readonly assigning: Assigning;

  constructor(
    private readonly context: JobContext,
    private readonly lifecycle: Lifecycle,
    private readonly orders: Orders,
    private readonly trust: Trust,
    private readonly asking: Asking,
    private readonly ordering: JobOrdering,
  ) {
    this.assigning = new Assigning(context);
  }

  place(): void {
    const sites = this.openSites();
    const pass = {
      sites,
      reservations: new Reservations(sites.length),
      roomiest: roomiestOf(sites),
    };
    for (const step of this.ordering.sorted(this.lifecycle.ready, this.context)) {
      const waiting = waitingTasks(step);
      if (waiting.length > 0) {
        this.placeStep(step, waiting, pass);
      }
    }
  }

  /** Asks for advice that a step will need soon, unless it has some. */
  askAhead(step: Step): void {
    if (!this.asking.hasTicket(step)) {
      this.asking.ask(step);
    }
  }

  /** An entry that lapsed while the store was away comes back if its worker lives. */
  isThere({ isListed, unlistedAt }: Worker): boolean {
    const goneAt = deadlineAfter(unlistedAt, RELIST_MILLIS);
    return isListed || !hasPassed(goneAt, this.context.now);
  }

  private openSites(): Site[] {
    return [...this.context.workers.values()]
      .filter((worker) => this.isOpen(worker))
      .map((worker) => siteOf(worker));
  }

  private isOpen(worker: Worker): boolean {
    return (
      worker.isMet &&
      worker.isReachable &&
      this.isThere(worker) &&
      !worker.notice.isDraining &&
      worker.strangers === 0 &&
      hasPassed(worker.restsUntil, this.context.now) &&
      this.trust.mayPlace(worker.id)
    );
  }

  /** Passes over what can't start before it looks at any worker: thousands of steps may wait. */
  private placeStep(step: Step, waiting: readonly Task[], pass: Pass): void {
    const isWholeGang = step.plan.isGang && waiting.length === step.tasks.length;
    const isAdmitted = this.asking.hasTicket(step);
    if (!isAdmitted) {
      this.asking.ask(step);
    }
    const mayStart = isAdmitted && roomOf(step.plan).millicores <= pass.roomiest;
    const mayKeep = isWholeGang && !pass.reservations.isFull;
    if (!mayStart && !mayKeep) {
      return;
    }
    const fitting = pass.sites.filter(
      ({ worker }) => suits(worker, step) && !pass.reservations.isKept(worker),
    );
    const isStarted = mayStart && this.startOn(step, waiting, fitting, pass);
    if (!isStarted && isWholeGang) {
      const known = fitting.filter(({ worker }) => this.asking.hasAdmitted(step, worker));
      pass.reservations.keep(step, known);
    }
  }

  private startOn(
    step: Step,
    waiting: readonly Task[],
    fitting: readonly Site[],
    pass: Pass,
  ): boolean {
    const allowed = fitting.filter(({ worker }) => this.asking.admits(step, worker));
    if (allowed.length === 0) {
      this.asking.ask(step);
      return false;
    }
    const assignments = this.assigning.assign(step, waiting, allowed);
    if (assignments.length > 0) {
      this.start(step, assignments);
      pass.roomiest = roomiestOf(pass.sites);
    }
    if (assignments.length < waiting.length) {
      this.asking.askFurther(step, fitting);
    }
    return assignments.length > 0;
  }

  private start(step: Step, assignments: readonly Assignment[]): void {
    assignments.forEach(({ worker }) => {
      this.trust.placed(worker.id);
    });
    this.orders.start(step, assignments);
  }
}

function roomiestOf(sites: readonly Site[]): number {
  return sites.reduce((most, { room }) => Math.max(most, room.millicores), 0);
}
