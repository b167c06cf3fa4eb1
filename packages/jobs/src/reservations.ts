/**
 * Keeps room for gangs that cannot start yet, so that smaller tasks behind them don't take it piece by piece.
 * Work that will be over by the time a gang is expected to start may use its room meanwhile (backfilling).
 */

import { multiply, positivePart, subtract } from '@bamboowell/types/resources';
import {
  deadlineAfter,
  earlier,
  hasPassed,
  type Deadline,
  type Instant,
} from '@bamboowell/types/time';
import type { AvailableWorker, Hold } from './available-workers.js';
import { freeAt, outlookOf, planGang, type GangPlan, type Outlook } from './gang-plan.js';
import { HoldWindows } from './hold-windows.js';
import { allocationOf, type Step, type Worker } from './model.js';
import type { RunTimes } from './run-times.js';
import type { ServiceUse } from './service-use.js';

/** Fraction of the workers on which room may be kept in one pass: the rest takes whatever fits. */
const MAX_RESERVED_FRACTION = 0.5;
/** A plan is made anew after this, milliseconds: runs end earlier or later than expected. */
const REPLAN_MILLIS = 500;
/** Bounds the time of a pass: hundreds of gangs may wait, and the first ones are planned first. */
const MAX_PLANS_PER_PASS = 8;

interface PlannedGang {
  readonly plan: GangPlan | undefined;
  /** Number of workers that the plan could choose from. */
  readonly candidates: number;
  readonly replanAt: Deadline;
  /** When the window of `promisedStart` began. */
  readonly windowBegin: Instant | undefined;
  /** The earliest start that was expected in the window: only runs that are over by then use the gang's room. */
  readonly promisedStart: Deadline;
}

/** The reservations of the present placement pass, and what they need from earlier ones. */
export class Reservations {
  private readonly windows = new HoldWindows();
  private readonly gangs = new WeakMap<Step, PlannedGang>();
  /** The gangs for which room is kept, by worker. */
  private readonly held = new Map<Worker, Step>();
  private readonly outlooks = new Map<AvailableWorker, Outlook>();
  private workers: ReadonlyMap<Worker, AvailableWorker> = new Map();
  private plansInPass = 0;

  /** @param keepsDeferredOut whether deferred work is kept out of a gang's room also in openings. */
  constructor(
    private readonly serviceUse: ServiceUse,
    private readonly keepsDeferredOut: boolean,
    private readonly runTimes: RunTimes,
  ) {}

  /** Begins a pass with the workers that can get work in it; nothing is reserved yet. */
  beginPass(workers: readonly AvailableWorker[]): void {
    this.workers = new Map(workers.map((available) => [available.worker, available]));
    this.plansInPass = 0;
    this.held.clear();
    this.outlooks.clear();
  }

  endPass(now: Instant): void {
    this.windows.endPass(now);
  }

  /** Whether no more workers may be reserved in this pass. */
  get isFull(): boolean {
    return this.held.size >= this.workers.size * MAX_RESERVED_FRACTION;
  }

  /** Whether room on the worker is kept for an earlier step. */
  isReserved(worker: Worker): boolean {
    return this.held.has(worker);
  }

  /** What is kept on the worker, and the gang for which it is. */
  holdOn(worker: Worker): { readonly hold: Hold; readonly gang: Step } | undefined {
    const gang = this.held.get(worker);
    const hold = this.workers.get(worker)?.hold;
    return gang === undefined || hold === undefined ? undefined : { hold, gang };
  }

  /** Keeps room for the whole step where it is expected to start first, if it will start at all. */
  reserve(step: Step, candidates: readonly AvailableWorker[], now: Instant): void {
    const planned = this.planned(step, candidates, now);
    if (planned?.plan === undefined) {
      return;
    }
    const { plan } = planned;
    const startsAt = startInWindow(planned, plan);
    const windowBegin = this.windowBegin(step, startsAt, now);
    const promisedStart = windowBegin === planned.windowBegin ? startsAt : plan.startsAt;
    this.gangs.set(step, { ...planned, windowBegin, promisedStart });
    if (windowBegin !== undefined || this.keepsDeferredOutOf(step)) {
      this.keepRoom(step, plan, { until: promisedStart, isOpen: windowBegin === undefined }, now);
    }
  }

  private windowBegin(step: Step, startsAt: Deadline, now: Instant): Instant | undefined {
    const { service } = step.job.queue;
    const isBusy = this.serviceUse.isBusy(service);
    return this.windows.windowBegin(service, { isBusy, startsAt }, now);
  }

  /**
   * In an opening of a busy service, work that is owed a start in time uses the gang's room, and deferred work
   * doesn't: its small tasks would take the room piece by piece each time.
   */
  private keepsDeferredOutOf({ job }: Step): boolean {
    return this.keepsDeferredOut && !job.isExcess && this.serviceUse.isBusy(job.queue.service);
  }

  private keepRoom(
    step: Step,
    plan: GangPlan,
    { until, isOpen }: Pick<Hold, 'until' | 'isOpen'>,
    now: Instant,
  ): void {
    for (const [worker, tasks] of plan.tasksByWorker) {
      const available = this.workers.get(worker);
      if (this.isFull) {
        return;
      }
      if (available !== undefined) {
        const taken = multiply(allocationOf(step.plan), tasks);
        const free = freeAt(this.outlookOf(available, now), until);
        available.hold = { until, spare: positivePart(subtract(free, taken)), isOpen };
        this.held.set(worker, step);
      }
    }
  }

  /**
   * The plan of an earlier pass, if it is recent and its workers are still candidates; else a new one, unless
   * nothing is kept now or enough has been planned in this pass.
   */
  private planned(
    step: Step,
    candidates: readonly AvailableWorker[],
    now: Instant,
  ): PlannedGang | undefined {
    const known = this.gangs.get(step);
    if (known !== undefined && !hasPassed(known.replanAt, now) && this.isValid(known, candidates)) {
      return known;
    }
    const isOpening =
      known?.plan !== undefined &&
      this.windowBegin(step, startInWindow(known, known.plan), now) === undefined;
    if ((isOpening && !this.keepsDeferredOutOf(step)) || this.plansInPass >= MAX_PLANS_PER_PASS) {
      return undefined;
    }
    this.plansInPass += 1;
    const outlooks = candidates
      .filter(({ hold }) => hold === undefined)
      .map((candidate) => this.outlookOf(candidate, now));
    const planned = {
      plan: planGang(step, outlooks, now),
      candidates: candidates.length,
      replanAt: deadlineAfter(now, REPLAN_MILLIS),
      windowBegin: known?.windowBegin,
      promisedStart: known?.promisedStart ?? deadlineAfter(now, 0),
    };
    this.gangs.set(step, planned);
    return planned;
  }

  private outlookOf(candidate: AvailableWorker, now: Instant): Outlook {
    const known = this.outlooks.get(candidate);
    if (known !== undefined) {
      return known;
    }
    const outlook = outlookOf(candidate, now, this.runTimes);
    this.outlooks.set(candidate, outlook);
    return outlook;
  }

  private isValid(
    { plan, candidates: formerCount }: PlannedGang,
    candidates: readonly AvailableWorker[],
  ): boolean {
    if (plan === undefined) {
      return candidates.length === formerCount;
    }
    for (const worker of plan.tasksByWorker.keys()) {
      const available = this.workers.get(worker);
      if (available === undefined || available.hold !== undefined || available.isClosed) {
        return false;
      }
    }
    return true;
  }
}

/** The earliest start that was expected in the window of the gang, if it is in one. */
function startInWindow(
  { windowBegin, promisedStart }: PlannedGang,
  { startsAt }: GangPlan,
): Deadline {
  return windowBegin === undefined ? startsAt : earlier(promisedStart, startsAt);
}
