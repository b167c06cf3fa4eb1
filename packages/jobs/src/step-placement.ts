/** Goes through the waiting steps in their order and starts what finds a worker. */

import { deadlineAfter, hasPassed } from '@bamboowell/types/time';
import type { WorkerId } from '@bamboowell/types/ids';
import type { StepAdvice } from './step-advice.js';
import { WorkerSelection } from './worker-selection.js';
import type { JobContext } from './context.js';
import type { Lifecycle } from './lifecycle.js';
import {
  isWaiting,
  allocationOf,
  waitingTasks,
  type Step,
  type Task,
  type Worker,
} from './model.js';
import type { JobOrdering } from './ordering.js';
import type { Assignment, Orders } from './orders.js';
import { Reservations } from './reservations.js';
import { availableWorker, isEligible, type AvailableWorker } from './available-workers.js';
import type { Quarantines } from './quarantines.js';

/** A worker that answers counts as there for so long after its entry went, milliseconds: the platform's word is about two seconds. */
const RELIST_MILLIS = 2000;

/** What one pass has to share out. */
interface Pass {
  readonly sites: readonly AvailableWorker[];
  readonly siteOf: ReadonlyMap<WorkerId, AvailableWorker>;
  readonly reservations: Reservations;
  /** The most processor time that is left on one site, thousandths of a core. */
  roomiest: number;
}

export class StepPlacement {
  private readonly assigning: WorkerSelection;
  /** Of the last pass. */
  private reservations = new Reservations(0);

  constructor(
    private readonly context: JobContext,
    private readonly lifecycle: Lifecycle,
    private readonly orders: Orders,
    private readonly trust: Quarantines,
    private readonly asking: StepAdvice,
    private readonly ordering: JobOrdering,
  ) {
    this.assigning = new WorkerSelection(context);
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
    const waiting = [...this.lifecycle.readySteps].filter(hasWaitingTask);
    for (const step of this.ordering.sorted(waiting, this.context)) {
      this.placeStep(step, pass);
    }
  }

  /** Asks for advice that a step will need soon, unless it has some. */
  prefetchAdvice(step: Step): void {
    if (!this.asking.hasTicket(step)) {
      this.asking.request(step, this.reservations);
    }
  }

  /** An entry that lapsed while the store was away comes back if its worker lives. */
  isPresent({ isRegistered: isListed, unregisteredAt: unlistedAt }: Worker): boolean {
    const goneAt = deadlineAfter(unlistedAt, RELIST_MILLIS);
    return isListed || !hasPassed(goneAt, this.context.now);
  }

  private openSites(): AvailableWorker[] {
    return [...this.context.workers.values()]
      .filter((worker) => this.isOpen(worker))
      .map((worker) => availableWorker(worker));
  }

  private isOpen(worker: Worker): boolean {
    return (
      worker.hasReported &&
      worker.isReachable &&
      this.isPresent(worker) &&
      !worker.registration.isDraining &&
      worker.unknownRuns === 0 &&
      hasPassed(worker.cooldownUntil, this.context.now) &&
      this.trust.mayPlace(worker.id)
    );
  }

  /** Passes over what can't start before it looks at any worker: thousands of steps may wait. */
  private placeStep(step: Step, pass: Pass): void {
    const isAdmitted = this.asking.hasTicket(step);
    if (!isAdmitted) {
      this.asking.request(step, pass.reservations);
    }
    const mayStart = isAdmitted && allocationOf(step.plan).millicores <= pass.roomiest;
    const mayKeep = step.plan.isGang && !pass.reservations.isFull;
    if (!mayStart && !mayKeep) {
      return;
    }
    const waiting = waitingTasks(step);
    const known = this.knownSites(step, pass);
    const isStarted = mayStart && this.startOn(step, waiting, known, pass);
    if (!isStarted && step.plan.isGang && waiting.length === step.tasks.length) {
      pass.reservations.reserve(step, known);
    }
  }

  /** Sites that no step before has kept, and on which the step may run by all advice so far. */
  private knownSites(step: Step, { sites, siteOf, reservations }: Pass): AvailableWorker[] {
    const isOpenTo = (site: AvailableWorker): boolean =>
      isEligible(site.worker, step) && !reservations.isReserved(site.worker);
    if (step.job.queue.advice === undefined) {
      return sites.filter(isOpenTo);
    }
    // Only a few of the workers are granted: looking each of them up is less than looking at all.
    return [...step.grants.keys()].flatMap((id) => siteOf.get(id) ?? []).filter(isOpenTo);
  }

  private startOn(
    step: Step,
    waiting: readonly Task[],
    known: readonly AvailableWorker[],
    pass: Pass,
  ): boolean {
    const allowed = known.filter(({ worker }) => this.asking.admits(step, worker));
    if (allowed.length === 0) {
      this.asking.request(step, pass.reservations);
      return false;
    }
    const assignments = this.assigning.assign(step, waiting, allowed);
    if (assignments.length > 0) {
      this.start(step, assignments);
      pass.roomiest = roomiestOf(pass.sites);
    }
    if (assignments.length < waiting.length) {
      this.asking.requestMore(step, pass.sites, pass.reservations);
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

function roomiestOf(sites: readonly AvailableWorker[]): number {
  return sites.reduce((most, { free: room }) => Math.max(most, room.millicores), 0);
}
