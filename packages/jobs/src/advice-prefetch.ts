/**
 * Requests advice for a step before it is ready, so that it can start as soon as the steps before
 * it end.
 */

import { deadlineAfter, hasPassed, type Deadline } from '@bamboowell/types/time';
import { brandAs } from '@bamboowell/types/ids';
import type { JobContext } from './context.js';
import type { Lifecycle } from './lifecycle.js';
import { isStepDone, type Run, type Step, type Task } from './model.js';
import { endByEstimate, endByProgress } from './run-ends.js';
import type { StepPlacement } from './step-placement.js';

/** Interval between checks of upcoming steps, milliseconds. */
const PREFETCH_INTERVAL_MILLIS = 100;
/**
 * How much earlier than needed advice may arrive, milliseconds: well within the validity of its
 * tickets.
 */
const LEAD_MILLIS = 400;

export class AdvicePrefetch {
  private nextPrefetchAt: Deadline = brandAs<Deadline>(0);

  constructor(
    private readonly context: JobContext,
    private readonly lifecycle: Lifecycle,
    private readonly placement: StepPlacement,
  ) {}

  prefetch(): void {
    const { now } = this.context;
    if (!hasPassed(this.nextPrefetchAt, now)) {
      return;
    }
    this.nextPrefetchAt = deadlineAfter(now, PREFETCH_INTERVAL_MILLIS);
    const evacuated = this.placement.evacuatedWorkers().length;
    const workers = this.context.workers.size - evacuated;
    for (const job of this.lifecycle.multiStepJobs) {
      for (const { steps } of job.occurrences.values()) {
        steps.forEach((step) => {
          this.prefetchIfDue(step, steps, workers);
        });
      }
    }
  }

  /** @param workers how many may be named in a call for advice. */
  private prefetchIfDue(step: Step, steps: readonly Step[], workers: number): void {
    const timing = step.job.queue.advice;
    if (timing === undefined || step.plan.after.length === 0 || isStepDone(step)) {
      return;
    }
    const earlier = step.plan.after.flatMap((index) => steps[index] ?? []);
    const remaining = Math.max(0, ...earlier.map((each) => this.remainingMillisOfStep(each)));
    const callMillis = timing.baseMillis + timing.perWorkerMillis * workers;
    if (remaining > 0 && remaining <= callMillis + LEAD_MILLIS) {
      this.placement.prefetchAdvice(step);
    }
  }

  /**
   * Estimated time until all tasks of the step are done, milliseconds; infinite if one gives no
   * estimate.
   */
  private remainingMillisOfStep(step: Step): number {
    const open = step.tasks.filter((task) => !task.isDone);
    return Math.max(0, ...open.map((task) => this.remainingMillisOfTask(task)));
  }

  private remainingMillisOfTask({ runs }: Task): number {
    const remaining = runs.map((run) => this.remainingMillisOfRun(run));
    return Math.min(Number.POSITIVE_INFINITY, ...remaining);
  }

  private remainingMillisOfRun(run: Run): number {
    const { now, runTimes } = this.context;
    const isKnown = run.confirmedAt !== undefined && runTimes.isKnown(run.task.step);
    const end = endByProgress(run) ?? (isKnown ? endByEstimate(run, now, runTimes) : undefined);
    return end === undefined ? Number.POSITIVE_INFINITY : Math.max(1, end - now);
  }
}
