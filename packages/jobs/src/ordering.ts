/** The order in which waiting steps are placed. */

import type { JobContext } from './context.js';
import type { Step } from './model.js';
import type { RunTimes } from './run-times.js';

/** Sorts steps into the order in which they are placed. */
export abstract class JobOrdering {
  /** Returns a new array; its first step is placed first. */
  abstract sorted(steps: Iterable<Step>, context: JobContext): Step[];

  /** Returns what `sorted` would, without an effect on later orders. */
  preview(steps: Iterable<Step>, context: JobContext): Step[] {
    return this.sorted(steps, context);
  }
}

/** Expected processor time of all tasks of the step, core-milliseconds; at least one core each. */
export function sizeOf(step: Step, runTimes: RunTimes): number {
  const { count, demand } = step.plan;
  return count * Math.max(1, demand.millicores / 1000) * Math.max(1, runTimes.expectedMillis(step));
}

/**
 * Time within which the job counts as on time, by its expected run times, milliseconds; from its
 * acceptance, or from when the occurrence is due if the job is repeated.
 */
export function latencyObjectiveMillis(step: Step, runTimes: RunTimes): number {
  const { objectiveFactor, targetLatencyMillis } = step.job.queue;
  return objectiveFactor * runTimes.criticalPathMillis(step) + targetLatencyMillis;
}

/** A late job still has value up to this many times its objective. */
export const MAX_LATENESS_FACTOR = 3;

/**
 * Rank by timeliness, lowest first: can be on time (0), late (1), beyond the promised rate of the
 * team (2), too late to have any value (3).
 */
export type Band = 0 | 1 | 2 | 3;

interface Ranked {
  readonly step: Step;
  readonly band: Band;
  readonly priority: number;
  readonly size: number;
}

/**
 * Orders by band, then priority, then smallest first: small jobs are worth most for the resources
 * that they use.
 */
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

/**
 * Orders by band, then by acceptance: for an owner that can't start all that could be on time. With
 * any other order a job could wait for ever behind later ones.
 */
export class OldestFirst extends JobOrdering {
  sorted(steps: Iterable<Step>, context: JobContext): Step[] {
    const ranked = [...steps].map((step) => ({ step, isLast: bandOf(step, context) > 1 }));
    ranked.sort(
      (left, right) =>
        Number(left.isLast) - Number(right.isLast) ||
        left.step.job.acceptedAt - right.step.job.acceptedAt,
    );
    return ranked.map(({ step }) => step);
  }
}

function rankOf(step: Step, context: JobContext): Ranked {
  return {
    step,
    band: bandOf(step, context),
    priority: step.job.queue.priority,
    size: sizeOf(step, context.runTimes),
  };
}

/** Whether the step is beyond the promised rate of its team, or too late to have any value. */
export function isDeferred(step: Step, context: JobContext): boolean {
  return bandOf(step, context) >= 2;
}

export function bandOf(step: Step, context: JobContext): Band {
  const { plan } = step.job;
  if (step.plan.isLasting) {
    // Of use whenever it runs, however long ago the job was accepted.
    return step.job.isExcess ? 2 : 0;
  }
  const from =
    plan?.repetition === undefined
      ? step.job.acceptedAt
      : plan.repetition.firstAt + step.occurrence.index * plan.repetition.intervalMillis;
  const age = context.wall - from;
  const objective = latencyObjectiveMillis(step, context.runTimes);
  if (age > MAX_LATENESS_FACTOR * objective) {
    return 3;
  }
  if (step.job.isExcess) {
    return 2;
  }
  return age <= objective ? 0 : 1;
}
