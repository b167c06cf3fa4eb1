/** Selects workers for the tasks of one step. */

import type { RackId, WorkerId } from '@bamboowell/types/ids';
import { fits, type Resources } from '@bamboowell/types/resources';
import { NEVER, deadlineAfter, hasPassed, type Deadline } from '@bamboowell/types/time';
import type { JobContext } from './context.js';
import { allocationOf, type Grant, type Step, type Task, type Worker } from './model.js';
import { isDeferred, latencyObjectiveMillis } from './ordering.js';
import { lateEndIfStarted } from './run-ends.js';
import type { RunTimes } from './run-times.js';
import { MAX_HELD_UP_MILLIS } from './service-use.js';
import type { WorkerCrashes } from './worker-crashes.js';
import type { Assignment } from './orders.js';
import {
  racksByFreeCores,
  allocate,
  hasRoomFor,
  lackOfRoom,
  type AvailableWorker,
  type LackOfRoom,
} from './available-workers.js';

export class WorkerSelection {
  constructor(
    private readonly context: JobContext,
    private readonly crashes: WorkerCrashes,
  ) {}

  /**
   * Allocates workers to all tasks of a gang or to none; of other steps, to as many as possible.
   */
  assign(
    step: Step,
    waiting: readonly Task[],
    candidates: readonly AvailableWorker[],
  ): Assignment[] {
    return step.plan.isGang
      ? this.assignGang(step, waiting, candidates)
      : this.assignEach(step, waiting, candidates);
  }

  /** Why another task of the step may not start there; undefined if it may. */
  refusalOf(step: Step, candidate: AvailableWorker): SelectionRefusal | undefined {
    const isLater = isDeferred(step, this.context);
    const choice = { step, endsBy: endForHolds(step, this.context), isDeferred: isLater };
    return refusalOf(choice, allocationOf(step.plan), candidate, countedRuns(step));
  }

  private assignEach(
    step: Step,
    waiting: readonly Task[],
    candidates: readonly AvailableWorker[],
  ): Assignment[] {
    const assignments: Assignment[] = [];
    const demand = allocationOf(step.plan);
    const countByWorker = countedRuns(step);
    let startable = this.context.startableWithinLimit(step, waiting.length);
    let rack = step.plan.prefersOneRack ? rackOf(step) : undefined;
    const endsBy = endForHolds(step, this.context);
    const isLater = isDeferred(step, this.context);
    const penaltyOfSpeed = isQuick(step, this.context.runTimes) ? this.slowPenalty : noPenalty;
    for (const task of waiting) {
      if (startable === 0) {
        break;
      }
      const isIsolated = this.crashes.needsIsolation(task);
      const extraPenalty = isIsolated ? this.penaltyOfOtherRuns : penaltyOfSpeed;
      const candidate = bestWorker(
        { step, task, rack, extraPenalty, endsBy, isDeferred: isLater },
        demand,
        candidates,
        countByWorker,
      );
      if (candidate === undefined) {
        continue;
      }
      startable -= 1;
      rack ??= candidate.worker.registration.rack;
      allocate(candidate, demand, endsBy(candidate.worker), countByWorker);
      candidate.isClosed = isIsolated;
      const { worker } = candidate;
      assignments.push({ task, worker, grant: this.grantOf(step, candidate), isIsolated });
    }
    return assignments;
  }

  private assignGang(
    step: Step,
    waiting: readonly Task[],
    candidates: readonly AvailableWorker[],
  ): Assignment[] {
    const isWhole = waiting.length === step.tasks.length;
    if (!isWhole || this.context.startableWithinLimit(step, waiting.length) < waiting.length) {
      return [];
    }
    const racks = step.plan.prefersOneRack ? racksByFreeCores(candidates) : [];
    for (const rack of racks) {
      const inRack = candidates.filter(({ worker }) => worker.registration.rack === rack);
      const assignments = this.tryGang(step, waiting, inRack);
      if (assignments.length > 0) {
        return assignments;
      }
    }
    return this.tryGang(step, waiting, candidates);
  }

  /** Allocates resources for the whole gang or for none of it. */
  private tryGang(
    step: Step,
    waiting: readonly Task[],
    candidates: readonly AvailableWorker[],
  ): Assignment[] {
    const demand = allocationOf(step.plan);
    const endsBy = endForHolds(step, this.context);
    const isLater = isDeferred(step, this.context);
    const usable = candidates.filter((candidate) =>
      hasRoomFor(candidate, demand, endsBy(candidate.worker), isLater),
    );
    const trial = usable.map((candidate) => ({ ...candidate }));
    const countByWorker = countedRuns(step);
    const assignments: Assignment[] = [];
    for (const task of waiting) {
      const choice = {
        step,
        task,
        rack: undefined,
        extraPenalty: noPenalty,
        endsBy,
        isDeferred: isLater,
      };
      const candidate = bestWorker(choice, demand, trial, countByWorker);
      if (candidate === undefined) {
        return [];
      }
      allocate(candidate, demand, endsBy(candidate.worker), countByWorker);
      const { worker } = candidate;
      assignments.push({ task, worker, grant: this.grantOf(step, candidate), isIsolated: false });
    }
    usable.forEach((candidate, index) => {
      candidate.free = trial[index]?.free ?? candidate.free;
      candidate.hold = trial[index]?.hold;
      candidate.startsLeft = trial[index]?.startsLeft ?? candidate.startsLeft;
    });
    return assignments;
  }

  /** For an isolated run: others would be lost with it, and a crash would tell less. */
  private readonly penaltyOfOtherRuns = (worker: Worker): number => {
    const unreliability = this.crashes.isUnreliable(worker) ? UNRELIABLE_AS_RUNS : 0;
    return (worker.runs.size + unreliability) * OTHER_RUN_PENALTY_MILLICORES;
  };

  private readonly slowPenalty = ({ id }: Worker): number =>
    -this.context.runTimes.speedClassOf(id) * SLOW_PENALTY_MILLICORES;

  private grantOf(step: Step, { worker }: AvailableWorker): Grant | undefined {
    return step.grants.get(worker.id);
  }
}

/** The step's runs by worker, if their number is limited. */
function countedRuns(step: Step): Map<WorkerId, number> {
  const counts = new Map<WorkerId, number>();
  if (step.plan.maxPerWorker === 0) {
    return counts;
  }
  for (const { worker } of step.tasks.flatMap(({ runs }) => runs)) {
    counts.set(worker.id, (counts.get(worker.id) ?? 0) + 1);
  }
  return counts;
}

/** The rack of the step's first run, if it has runs. */
function rackOf(step: Step): RackId | undefined {
  return step.tasks.flatMap(({ runs }) => runs).at(0)?.worker.registration.rack;
}

/** What the choice of a worker for a task depends on. */
interface Choice {
  readonly step: Step;
  readonly task: Task;
  /** The rack to prefer. */
  readonly rack: RackId | undefined;
  readonly extraPenalty: (worker: Worker) => number;
  /** By when its run ends, even if it takes longer than estimated. */
  readonly endsBy: (worker: Worker) => Deadline;
  /** Whether the step is deferred work. */
  readonly isDeferred: boolean;
}

/**
 * When the step's tasks that start now count as over, next to what is kept for gangs. Lasting tasks are never
 * over; they are owed a start wherever there is room, and wait a bounded time.
 */
function endForHolds(step: Step, { now, runTimes }: JobContext): (worker: Worker) => Deadline {
  const waitsUntil = deadlineAfter(step.readySince ?? now, MAX_HELD_UP_MILLIS);
  if (step.plan.isLasting && hasPassed(waitsUntil, now)) {
    return () => deadlineAfter(now, 0);
  }
  const usual = lateEndIfStarted(step, now, runTimes);
  return ({ id }) =>
    usual === NEVER ? NEVER : deadlineAfter(now, (usual - now) / runTimes.speedOf(id));
}

/**
 * Whether the objective of the job leaves little time beside its run time, so that a fast worker makes a
 * difference. A gang advances as fast as its slowest member.
 */
function isQuick(step: Step, runTimes: RunTimes): boolean {
  if (!runTimes.isLearning || step.plan.isGang || step.plan.isLasting) {
    return false;
  }
  const pathMillis = runTimes.criticalPathMillis(step);
  return latencyObjectiveMillis(step, runTimes) <= MAX_QUICK_FACTOR * pathMillis;
}

/** Why a candidate is not chosen for another task of a step. */
export type SelectionRefusal = LackOfRoom | 'step_limit' | 'isolated_run';

function refusalOf(
  { step, endsBy, isDeferred: isLater }: Pick<Choice, 'step' | 'endsBy' | 'isDeferred'>,
  demand: Resources,
  candidate: AvailableWorker,
  countByWorker: ReadonlyMap<WorkerId, number>,
): SelectionRefusal | undefined {
  const { maxPerWorker } = step.plan;
  if (maxPerWorker > 0 && (countByWorker.get(candidate.worker.id) ?? 0) >= maxPerWorker) {
    return 'step_limit';
  }
  return candidate.isClosed
    ? 'isolated_run'
    : lackOfRoom(candidate, demand, endsBy(candidate.worker), isLater);
}

function noPenalty(): number {
  return 0;
}

/**
 * The worker with the least free processor time on which the task fits; workers on its preferred
 * racks and those where it has not failed go first. `extraPenalty` goes before all
 * of this.
 */
function bestWorker(
  choice: Choice,
  demand: Resources,
  candidates: readonly AvailableWorker[],
  countByWorker: ReadonlyMap<WorkerId, number>,
): AvailableWorker | undefined {
  let best: AvailableWorker | undefined;
  let bestScore = Number.POSITIVE_INFINITY;
  for (const candidate of candidates) {
    if (refusalOf(choice, demand, candidate, countByWorker) !== undefined) {
      continue;
    }
    const score = scoreOf(choice, candidate);
    if (score < bestScore) {
      best = candidate;
      bestScore = score;
    }
  }
  return best;
}

/**
 * Score penalty of a worker for each preferred rack that it is not on, if the task would use what is kept
 * for a gang, and twice if the task failed there.
 */
const FAR_PENALTY_MILLICORES = 1_000_000;
/** Score penalty for each run beside an isolated one; weighs more than all others. */
const OTHER_RUN_PENALTY_MILLICORES = 10_000_000;
/**
 * Score penalty for each class of speed below the usual one, for quick steps: more than the free processor
 * time of a worker, and for all classes together less than for a rack that is not preferred.
 */
const SLOW_PENALTY_MILLICORES = 200_000;
/** A step is quick if its job's objective is at most this many times its run time. */
const MAX_QUICK_FACTOR = 3;
/** A worker that has crashed recently counts as having so many more runs. */
const UNRELIABLE_AS_RUNS = 3;

function scoreOf(
  { step, task, rack, extraPenalty }: Choice,
  { worker, free, hold }: AvailableWorker,
): number {
  const { plan } = step;
  const isFarFromData =
    plan.rackOfData !== undefined && worker.registration.rack !== plan.rackOfData;
  const leavesRack = plan.prefersOneRack && rack !== undefined && worker.registration.rack !== rack;
  const hasFailed = task.failedOn.has(worker.id);
  const usesKept = hold !== undefined && !fits(allocationOf(plan), hold.spare);
  const penalties =
    Number(isFarFromData) + Number(leavesRack) + Number(usesKept) + 2 * Number(hasFailed);
  return free.millicores + penalties * FAR_PENALTY_MILLICORES + extraPenalty(worker);
}
