/** Which step is placed first. */

import type { JobPlan, StepPlan } from '@bamboowell/types/job';
import type { JobContext } from './context.js';
import type { Step } from './model.js';

/** Puts steps in the order in which they are placed. */
export abstract class JobOrdering {
  /** A new array; the first is placed first. */
  abstract sorted(steps: Iterable<Step>, context: JobContext): Step[];
}

/** Processor time that the waiting tasks of a step need by its estimate, core-milliseconds. */
export function sizeOf({ plan }: Step): number {
  return plan.count * Math.max(1, plan.demand.millicores / 1000) * Math.max(1, plan.estimateMillis);
}

/** How long after its acceptance the job stops being on time, by its estimates, milliseconds. */
export function latencyObjectiveMillis({ job }: Step): number {
  const chain = job.plan === undefined ? 0 : chainOf(job.plan);
  return job.queue.objectiveFactor * chain + job.queue.targetLatencyMillis;
}

/** Plans never change, and all waiting steps are ranked many times a second. */
const chains = new WeakMap<JobPlan, number>();

function chainOf(plan: JobPlan): number {
  const known = chains.get(plan);
  if (known !== undefined) {
    return known;
  }
  const chain = longestChainMillis(plan.steps);
  chains.set(plan, chain);
  return chain;
}

function longestChainMillis(steps: readonly StepPlan[]): number {
  const ends: number[] = [];
  for (const { estimateMillis, after } of steps) {
    const begin = Math.max(0, ...after.map((index) => ends[index] ?? 0));
    ends.push(begin + estimateMillis);
  }
  return Math.max(0, ...ends);
}

/** Up to this many times the objective a late job is still worth something. */
const LATE_FACTOR = 3;

/**
 * What can be on time goes first, then what is late, then what teams send beyond their promise,
 * then what is worth nothing any more.
 */
type Band = 0 | 1 | 2 | 3;

interface Ranked {
  readonly step: Step;
  readonly band: Band;
  readonly priority: number;
  readonly size: number;
}

/** By priority, and the smallest job first: small jobs are worth most for the room that they take. */
export class SmallestFirst extends JobOrdering {
  sorted(steps: Iterable<Step>, context: JobContext): Step[] {
    const ranked = [...steps].map((step) => rankOf(step, context));
    ranked.sort(
      (left, right) =>
        left.band - right.band || left.priority - right.priority || left.size - right.size,
    );
    return ranked.map(({ step }) => step);
  }
}

function rankOf(step: Step, context: JobContext): Ranked {
  return {
    step,
    band: bandOf(step, context),
    priority: step.job.queue.priority,
    size: sizeOf(step),
  };
}

function bandOf(step: Step, context: JobContext): Band {
  const { plan } = step.job;
  const from =
    plan?.repetition === undefined
      ? step.job.acceptedAt
      : plan.repetition.firstAt + step.occurrence.index * plan.repetition.intervalMillis;
  const age = context.wall - from;
  const objective = latencyObjectiveMillis(step);
  if (age > LATE_FACTOR * objective) {
    return 3;
  }
  if (step.job.isExcess) {
    return 2;
  }
  return age <= objective ? 0 : 1;
}
