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
import type { AvailableWorker } from './available-workers.js';
import { freeAt, planGang, type GangPlan } from './gang-plan.js';
import { HoldWindows } from './hold-windows.js';
import { allocationOf, type Step, type Worker } from './model.js';
import type { ServiceUse } from './service-use.js';

/** Fraction of the workers on which room may be kept in one pass: the rest takes whatever fits. */
const MAX_RESERVED_FRACTION = 0.5;
/** A plan is made anew after this, milliseconds, so that runs that end early bring the start forward. */
const REPLAN_MILLIS = 100;

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
  private readonly held = new Map<Worker, AvailableWorker>();
  private workerCount = 0;

  constructor(private readonly serviceUse: ServiceUse) {}

  /** Begins a pass in which so many workers can get work; nothing is reserved yet. */
  beginPass(workerCount: number): void {
    this.workerCount = workerCount;
    this.held.clear();
  }

  endPass(now: Instant): void {
    this.windows.endPass(now);
  }

  /** Whether no more workers may be reserved in this pass. */
  get isFull(): boolean {
    return this.held.size >= this.workerCount * MAX_RESERVED_FRACTION;
  }

  /** Whether room on the worker is kept for an earlier step. */
  isReserved(worker: Worker): boolean {
    return this.held.has(worker);
  }

  /** Keeps room for the whole step where it is expected to start first, if it will start at all. */
  reserve(step: Step, candidates: readonly AvailableWorker[], now: Instant): void {
    const unreserved = candidates.filter(({ hold }) => hold === undefined);
    const planned = this.planned(step, unreserved, now);
    const { plan } = planned;
    if (plan === undefined) {
      this.gangs.set(step, planned);
      return;
    }
    const { service } = step.job.queue;
    const { startsAt } = plan;
    const isBusy = this.serviceUse.isBusy(service);
    const windowBegin = this.windows.windowBegin(service, { isBusy, startsAt }, now);
    const isSameWindow = windowBegin === planned.windowBegin;
    const promisedStart = isSameWindow ? earlier(planned.promisedStart, startsAt) : startsAt;
    this.gangs.set(step, { ...planned, windowBegin, promisedStart });
    if (windowBegin !== undefined) {
      this.keepRoom(step, plan, promisedStart, unreserved, now);
    }
  }

  private keepRoom(
    step: Step,
    { tasksByWorker }: GangPlan,
    until: Deadline,
    candidates: readonly AvailableWorker[],
    now: Instant,
  ): void {
    const byWorker = new Map(candidates.map((candidate) => [candidate.worker, candidate]));
    for (const [worker, tasks] of tasksByWorker) {
      const candidate = byWorker.get(worker);
      if (this.isFull) {
        return;
      }
      if (candidate !== undefined) {
        const taken = multiply(allocationOf(step.plan), tasks);
        const spare = positivePart(subtract(freeAt(candidate, until, now), taken));
        candidate.hold = { until, spare };
        this.held.set(worker, candidate);
      }
    }
  }

  /** The plan of an earlier pass, if it is recent and its workers are still candidates; else a new one. */
  private planned(step: Step, candidates: readonly AvailableWorker[], now: Instant): PlannedGang {
    const known = this.gangs.get(step);
    if (known !== undefined && !hasPassed(known.replanAt, now) && isStillValid(known, candidates)) {
      return known;
    }
    return {
      plan: planGang(step, candidates, now),
      candidates: candidates.length,
      replanAt: deadlineAfter(now, REPLAN_MILLIS),
      windowBegin: known?.windowBegin,
      promisedStart: known?.promisedStart ?? deadlineAfter(now, 0),
    };
  }
}

function isStillValid(
  { plan, candidates: formerCount }: PlannedGang,
  candidates: readonly AvailableWorker[],
): boolean {
  if (plan === undefined) {
    return candidates.length === formerCount;
  }
  const workers = new Set(candidates.map(({ worker }) => worker));
  return [...plan.tasksByWorker.keys()].every((worker) => workers.has(worker));
}
