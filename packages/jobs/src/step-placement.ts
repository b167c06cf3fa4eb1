/** Goes through the waiting steps in order and starts tasks on available workers. */

import { fits } from '@bamboowell/types/resources';
import type { SchedulingOptions } from '@bamboowell/types/scheduling';
import { deadlineAfter, hasPassed, type Deadline } from '@bamboowell/types/time';
import { brandAs, type WorkerId } from '@bamboowell/types/ids';
import { AdviceBudget, spend, spentPoolsOf } from './advice-budget.js';
import type { StepAdvice } from './step-advice.js';
import { WorkerSelection } from './worker-selection.js';
import { ClosedWorkers } from './closed-workers.js';
import type { JobContext } from './context.js';
import { Copies } from './copies.js';
import type { Lifecycle } from './lifecycle.js';
import {
  isWaiting,
  allocationOf,
  openStartsOn,
  waitingTasks,
  type Step,
  type Task,
  type Worker,
} from './model.js';
import type { JobOrdering } from './ordering.js';
import type { Assignment, Orders } from './orders.js';
import { Obstacles } from './obstacles.js';
import { Reservations } from './reservations.js';
import { availableWorker, isEligible, type AvailableWorker } from './available-workers.js';
import type { Quarantines } from './quarantines.js';
import { ServiceUse } from './service-use.js';
import { previewStep, type StepPreview, type WorkerClosure } from './placement-preview.js';
import { waitingReasons, type WaitingReason } from './waiting-reasons.js';
import type { WorkerCrashes } from './worker-crashes.js';

/**
 * A worker that answers counts as present for this long after its registration disappeared,
 * milliseconds: the platform specifies about two seconds.
 */
const REGISTRATION_GRACE_MILLIS = 2000;

/**
 * Steps that no worker can hold, or that wait behind the point up to which advice is asked for, are looked at
 * again after this, milliseconds. Thousands may wait, and there are a hundred passes a second.
 */
const PARKING_MILLIS = 100;

/** The workers and reservations of one placement pass. */
interface Pass {
  readonly available: readonly AvailableWorker[];
  readonly availableById: ReadonlyMap<WorkerId, AvailableWorker>;
  readonly closed: ClosedWorkers;
  /** The most processor time that is free on one worker, thousandths of a core. */
  maxFreeMillicores: number;
  /** Starts under way, those of this pass included. */
  openStarts: number;
  /** Whether tasks were left out because of the limit of open starts. */
  isCutShort: boolean;
  readonly adviceBudget: AdviceBudget;
}

/** The orders in which steps are placed. */
export interface Orderings {
  readonly usual: JobOrdering;
  /** While steps wait for the owner itself and not for room. */
  readonly saturated: JobOrdering;
}

export class StepPlacement {
  private readonly selection: WorkerSelection;
  private readonly serviceUse = new ServiceUse();
  private readonly reservations: Reservations;
  private readonly copies: Copies;
  private readonly obstacles: Obstacles;
  /** When the parked steps are looked at again. */
  private unparkAt: Deadline = brandAs<Deadline>(0);

  constructor(
    private readonly context: JobContext,
    private readonly lifecycle: Lifecycle,
    private readonly orders: Orders,
    private readonly quarantines: Quarantines,
    private readonly advice: StepAdvice,
    private readonly orderings: Orderings,
    private readonly crashes: WorkerCrashes,
    scheduling: SchedulingOptions,
  ) {
    this.reservations = new Reservations(
      this.serviceUse,
      scheduling.sharing === 'weighted',
      context.runTimes,
    );
    this.selection = new WorkerSelection(context, crashes);
    this.copies = new Copies(context, lifecycle, this.selection, advice, crashes);
    this.obstacles = new Obstacles(context);
  }

  place(): void {
    const available = this.availableWorkers();
    if (this.setFleet()) {
      this.context.unpark();
    }
    this.serviceUse.update(available, this.context.now);
    this.reservations.beginPass(available);
    this.placeSteps(available);
    this.copies.place(available, this.reservations, (copy) => {
      this.start(copy.task.step, [copy]);
    });
    this.reservations.endPass(this.context.now);
  }

  /** Returns whether work may find room where it found none before. */
  private setFleet(): boolean {
    const { fleet, evacuatedFleet } = this.context;
    const evacuated = this.evacuatedWorkers().filter((worker) => this.wouldBePlaceable(worker));
    evacuatedFleet.setWorkers(evacuated);
    return fleet.setWorkers(this.placeableWorkers());
  }

  private placeSteps(available: readonly AvailableWorker[]): void {
    const closed = new ClosedWorkers(this.openWorkers(), this.quarantines);
    const placeable = [...available, ...closed.available];
    const pass = {
      ...passOver(available),
      closed,
      openStarts: openStartsOn(this.context.workers.values()),
      isCutShort: false,
      adviceBudget: new AdviceBudget(placeable, (team) => this.context.teamUseOf(team)),
    };
    const { load } = this.context;
    const { usual, saturated } = this.orderings;
    const ordering = load.isStartLimitReached ? saturated : usual;
    for (const step of ordering.sorted(this.stepsToPlace(), this.context)) {
      if (pass.openStarts >= load.startLimit) {
        pass.isCutShort = true;
        break;
      }
      this.placeInOrder(step, pass);
    }
    load.isStartLimitReached = pass.isCutShort;
  }

  private stepsToPlace(): Step[] {
    const { now } = this.context;
    if (hasPassed(this.unparkAt, now)) {
      this.unparkAt = deadlineAfter(now, PARKING_MILLIS);
      this.context.unpark();
    }
    return [...this.lifecycle.readySteps].filter(
      (step) => !this.context.parked.has(step) && hasWaitingTask(step),
    );
  }

  private placeInOrder(step: Step, pass: Pass): void {
    if (this.obstacles.check(step) !== undefined) {
      this.context.park(step, []);
      return;
    }
    if (this.context.isTeamAtLimit(step)) {
      // Advice would expire unused.
      return;
    }
    const pools = pass.adviceBudget.poolsOf(step);
    const spentPools = spentPoolsOf(pools);
    if (spentPools.length > 0 && !this.advice.hasTicket(step) && !this.mayOvertake(step)) {
      this.context.park(step, spentPools);
      return;
    }
    this.placeStep(step, pass);
    this.tryOnClosed(step, pass);
    spend(pools, step, this.startableTasks(step));
  }

  /** Starts what has room on no open worker on those in quarantine, if it may be tried there. */
  private tryOnClosed(step: Step, pass: Pass): void {
    const waiting = waitingTasks(step);
    if (waiting.length === 0 || !pass.closed.mayTry(step) || !this.advice.hasTicket(step)) {
      return;
    }
    const trial = { ...pass, ...passOver(pass.closed.available) };
    this.startOn(step, waiting, this.eligibleWorkers(step, trial), trial);
    pass.openStarts = trial.openStarts;
    pass.isCutShort = trial.isCutShort;
  }

  /**
   * Whether the step may ask for advice though those before it use up its pools: in an idle service they can't
   * use the free room, or they would have started. Calls for them go first while members are short.
   */
  private mayOvertake(step: Step): boolean {
    const isIdle = this.serviceUse.isIdle(step.job.queue.service, this.context.now);
    return isIdle && this.advice.hasCapacityFor(step);
  }

  /** How many of the step's waiting tasks the workers and its team's limit let start. */
  private startableTasks(step: Step): number {
    const wanted = Math.min(waitingTasks(step).length, this.context.fleet.tasksThatFit(step));
    return this.context.startableWithinLimit(step, wanted);
  }

  /** Counts the waiting steps by what keeps them from starting. */
  waitingReasons(): Partial<Record<WaitingReason, number>> {
    const { advice } = this;
    const { parked } = this.context;
    return waitingReasons([...this.lifecycle.readySteps].filter(hasWaitingTask), {
      parked,
      obstacleOf: (step) => this.context.obstacleOf(step),
      isWaitingForTeamLimit: (step) => this.context.isWaitingForTeamLimit(step),
      hasTicket: (step) => advice.hasTicket(step),
      admits: (step, worker) => advice.admits(step, worker),
      isReserved: (worker) => this.reservations.isReserved(worker),
      workers: this.availableWorkers().map(({ worker }) => worker),
    });
  }

  /** Where the step would go now and why; nothing is changed. */
  preview(step: Step): StepPreview {
    const { context, advice, quarantines, reservations, selection } = this;
    const { load } = context;
    const ordering = load.isStartLimitReached ? this.orderings.saturated : this.orderings.usual;
    return previewStep(step, {
      context,
      advice,
      quarantines,
      reservations,
      selection,
      ordering,
      readySteps: [...this.lifecycle.readySteps].filter(hasWaitingTask),
      closureOf: (worker) => this.closureOf(worker),
    });
  }

  /** Requests advice that the step will need soon, unless it has a usable ticket. */
  prefetchAdvice(step: Step): void {
    if (!this.advice.hasTicket(step) && this.context.obstacleOf(step) === undefined) {
      this.advice.request(step, this.reservations);
    }
  }

  /**
   * Whether the worker is registered or was until recently: a registration that lapsed while the
   * store was unavailable comes back if its worker is alive.
   */
  isPresent({ isRegistered, unregisteredAt }: Worker): boolean {
    const graceEndsAt = deadlineAfter(unregisteredAt, REGISTRATION_GRACE_MILLIS);
    return isRegistered || !hasPassed(graceEndsAt, this.context.now);
  }

  /** Registered workers of evacuated data centres. */
  evacuatedWorkers(): Worker[] {
    const { evacuations, workers } = this.context;
    return [...workers.values()].filter(
      (worker) => evacuations.isEvacuated(worker.registration) && this.isPresent(worker),
    );
  }

  private availableWorkers(): AvailableWorker[] {
    return this.openWorkers()
      .filter(({ id }) => this.quarantines.mayPlace(id))
      .map((worker) => availableWorker(worker));
  }

  /** Workers that can get work sooner or later. */
  private placeableWorkers(): Worker[] {
    return [...this.context.workers.values()].filter((worker) => this.isPlaceable(worker));
  }

  /** Whether the worker can get work sooner or later. */
  isPlaceable(worker: Worker): boolean {
    return (
      this.wouldBePlaceable(worker) && !this.context.evacuations.isEvacuated(worker.registration)
    );
  }

  /** The same, if nothing were evacuated. */
  private wouldBePlaceable(worker: Worker): boolean {
    return this.absenceOf(worker) === undefined;
  }

  private absenceOf(worker: Worker): WorkerClosure | undefined {
    if (!worker.isReachable) {
      return 'unreachable';
    }
    if (!this.isPresent(worker)) {
      return 'not_registered';
    }
    return worker.registration.isDraining ? 'draining' : undefined;
  }

  /** Workers that can get work now, unless they are in quarantine. */
  private openWorkers(): Worker[] {
    return [...this.context.workers.values()].filter((worker) => this.isOpen(worker));
  }

  private isOpen(worker: Worker): boolean {
    return this.closureOf(worker) === undefined;
  }

  /** What keeps the worker from getting work now, apart from a quarantine. */
  private closureOf(worker: Worker): WorkerClosure | undefined {
    const { evacuations, now } = this.context;
    const absence = this.absenceOf(worker);
    if (absence !== undefined) {
      return absence;
    }
    if (evacuations.isEvacuated(worker.registration)) {
      return 'evacuated';
    }
    if (!worker.hasReported) {
      return 'not_reported';
    }
    if (worker.unknownRuns > 0) {
      return 'unknown_runs';
    }
    if (!hasPassed(worker.cooldownUntil, now)) {
      return 'cooldown';
    }
    return this.crashes.hasIsolatedRun(worker) ? 'isolated_run' : undefined;
  }

  /** Looks at workers only if the step may start or reserve some: thousands of steps may wait. */
  private placeStep(step: Step, pass: Pass): void {
    const hasTicket = this.advice.hasTicket(step);
    if (!hasTicket) {
      this.advice.request(step, this.reservations);
    }
    const mayStart = hasTicket && allocationOf(step.plan).millicores <= pass.maxFreeMillicores;
    const mayReserve = step.plan.isGang && !this.reservations.isFull && this.mayUseRoom(step);
    if (!mayStart && !mayReserve) {
      return;
    }
    const waiting = waitingTasks(step);
    const eligible = this.eligibleWorkers(step, pass);
    const isStarted = mayStart && this.startOn(step, waiting, eligible, pass);
    if (!isStarted && step.plan.isGang && waiting.length === step.tasks.length) {
      this.reservations.reserve(step, eligible, this.context.now);
      if (mayReserve && this.advice.isRenewalDue(step)) {
        this.advice.request(step, this.reservations);
      }
    }
  }

  /** Whether the gang could start if it had room: what is kept for another one would be idle. */
  private mayUseRoom(step: Step): boolean {
    const isAdvised = this.advice.hasTicket(step) || step.workersInOpenCall !== undefined;
    return isAdvised && !this.context.isWaitingForTeamLimit(step);
  }

  /** Workers that advice so far allows for the step. */
  private eligibleWorkers(step: Step, { available, availableById }: Pass): AvailableWorker[] {
    const demand = allocationOf(step.plan);
    // A gang may reserve workers that are full at present; other steps have no use for them. This
    // test goes first because it is the cheapest and rules most workers out under load.
    const isUsable = ({ worker, free, isClosed }: AvailableWorker): boolean =>
      (step.plan.isGang || fits(demand, free)) &&
      !isClosed &&
      isEligible(worker.registration, step);
    if (step.job.queue.advice === undefined) {
      return available.filter(isUsable);
    }
    // Only a few workers are granted: looking them up is cheaper than scanning all.
    const usable: AvailableWorker[] = [];
    for (const id of step.grants.keys()) {
      const candidate = availableById.get(id);
      if (candidate !== undefined && isUsable(candidate)) {
        usable.push(candidate);
      }
    }
    return usable;
  }

  private startOn(
    step: Step,
    waiting: readonly Task[],
    eligible: readonly AvailableWorker[],
    pass: Pass,
  ): boolean {
    const allowed = eligible.filter(({ worker }) => this.advice.admits(step, worker));
    if (allowed.length === 0 && !this.hasAdmittedWorker(step, pass)) {
      this.advice.request(step, this.reservations);
      return false;
    }
    const startable = this.startableNow(step, waiting, pass);
    const assignments = this.selection.assign(step, startable, allowed);
    if (assignments.length > 0) {
      this.start(step, assignments);
      pass.openStarts += assignments.length;
      pass.maxFreeMillicores = maxFreeMillicoresOf(pass.available);
    }
    if (assignments.length < startable.length) {
      this.advice.requestMore(step, pass.available, this.reservations);
    }
    return assignments.length > 0;
  }

  /** The tasks that the limit of open starts lets start. A gang starts as a whole, or it would never start. */
  private startableNow(step: Step, waiting: readonly Task[], pass: Pass): readonly Task[] {
    const most = this.context.load.startLimit - pass.openStarts;
    if (step.plan.isGang || waiting.length <= most) {
      return waiting;
    }
    pass.isCutShort = true;
    return waiting.slice(0, Math.max(0, most));
  }

  /** Whether the step may start on a worker of this pass, if that had room for it. */
  private hasAdmittedWorker(step: Step, { available }: Pass): boolean {
    return available.some(
      ({ worker }) => this.advice.admits(step, worker) && isEligible(worker.registration, step),
    );
  }

  private start(step: Step, assignments: readonly Assignment[]): void {
    assignments.forEach(({ worker }) => {
      this.quarantines.recordPlacement(worker.id);
    });
    this.orders.start(step, assignments);
  }
}

function passOver(
  available: readonly AvailableWorker[],
): Pick<Pass, 'available' | 'availableById' | 'maxFreeMillicores'> {
  return {
    available,
    availableById: new Map(available.map((each) => [each.worker.id, each])),
    maxFreeMillicores: maxFreeMillicoresOf(available),
  };
}

function hasWaitingTask({ tasks }: Step): boolean {
  return tasks.some(isWaiting);
}

function maxFreeMillicoresOf(available: readonly AvailableWorker[]): number {
  return available.reduce((most, { free }) => Math.max(most, free.millicores), 0);
}
