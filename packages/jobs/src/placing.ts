/** Goes through the waiting steps in their order and starts what finds a worker. */

import { deadlineAfter, hasPassed } from '@bamboowell/types/time';
import type { WorkerId } from '@bamboowell/types/ids';
import type { Asking } from './asking.js';
import { Assigning } from './assigning.js';
import type { JobContext } from './context.js';
import type { Lifecycle } from './lifecycle.js';
import { isWaiting, roomOf, waitingTasks, type Step, type Task, type Worker } from './model.js';
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
  readonly siteOf: ReadonlyMap<WorkerId, Site>;
  readonly reservations: Reservations;
  /** The most processor time that is left on one site, thousandths of a core. */
  roomiest: number;
}

export class Placing {
  private readonly assigning: Assigning;
  /** Of the last pass. */
  private reservations = new Reservations(0);

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
    this.reservations = new Reservations(sites.length);
    const pass = {
      sites,
      siteOf: new Map(sites.map((site) => [site.worker.id, site])),
      reservations: this.reservations,
      roomiest: roomiestOf(sites),
    };
    const waiting = [...this.lifecycle.ready].filter(hasWaitingTask);
    for (const step of this.ordering.sorted(waiting, this.context)) {
      this.placeStep(step, pass);
    }
  }

  /** Asks for advice that a step will need soon, unless it has some. */
  askAhead(step: Step): void {
    if (!this.asking.hasTicket(step)) {
      this.asking.ask(step, this.reservations);
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
      !worker.registration.isDraining &&
      worker.strangers === 0 &&
      hasPassed(worker.restsUntil, this.context.now) &&
      this.trust.mayPlace(worker.id)
    );
  }

  /** Passes over what can't start before it looks at any worker: thousands of steps may wait. */
  private placeStep(step: Step, pass: Pass): void {
    const isAdmitted = this.asking.hasTicket(step);
    if (!isAdmitted) {
      this.asking.ask(step, pass.reservations);
    }
    const mayStart = isAdmitted && roomOf(step.plan).millicores <= pass.roomiest;
    const mayKeep = step.plan.isGang && !pass.reservations.isFull;
    if (!mayStart && !mayKeep) {
      return;
    }
    const waiting = waitingTasks(step);
    const known = this.knownSites(step, pass);
    const isStarted = mayStart && this.startOn(step, waiting, known, pass);
    if (!isStarted && step.plan.isGang && waiting.length === step.tasks.length) {
      pass.reservations.keep(step, known);
    }
  }

  /** Sites that no step before has kept, and on which the step may run by all advice so far. */
  private knownSites(step: Step, { sites, siteOf, reservations }: Pass): Site[] {
    const isOpenTo = (site: Site): boolean =>
      suits(site.worker, step) && !reservations.isKept(site.worker);
    if (step.job.queue.advice === undefined) {
      return sites.filter(isOpenTo);
    }
    // Only a few of the workers are granted: looking each of them up is less than looking at all.
    return [...step.grants.keys()].flatMap((id) => siteOf.get(id) ?? []).filter(isOpenTo);
  }

  private startOn(
    step: Step,
    waiting: readonly Task[],
    known: readonly Site[],
    pass: Pass,
  ): boolean {
    const allowed = known.filter(({ worker }) => this.asking.admits(step, worker));
    if (allowed.length === 0) {
      this.asking.ask(step, pass.reservations);
      return false;
    }
    const assignments = this.assigning.assign(step, waiting, allowed);
    if (assignments.length > 0) {
      this.start(step, assignments);
      pass.roomiest = roomiestOf(pass.sites);
    }
    if (assignments.length < waiting.length) {
      this.asking.askFurther(step, pass.sites, pass.reservations);
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

function hasWaitingTask({ tasks }: Step): boolean {
  return tasks.some(isWaiting);
}

function roomiestOf(sites: readonly Site[]): number {
  return sites.reduce((most, { room }) => Math.max(most, room.millicores), 0);
}
