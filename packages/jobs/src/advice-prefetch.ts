/** Asks for the advice of a step before it is ready, so that it can start when the one before ends. */

import { deadlineAfter, hasPassed, type Deadline, type Instant } from '@bamboowell/types/time';
import { brandAs } from '@bamboowell/types/ids';
import type { JobContext } from './context.js';
import type { Lifecycle } from './lifecycle.js';
import { isStepDone, type Run, type Step, type Task } from './model.js';
import type { StepPlacement } from './step-placement.js';

/** How often the steps to come are looked at, milliseconds. */
const LOOK_MILLIS = 100;
/** Advice may come earlier than it is needed by this, milliseconds: well within its life. */
const LEAD_MILLIS = 400;
/** A run that has done less than this, percent, tells little of when it will end. */
const TELLING_PERCENT = 15;

export class AdvicePrefetch {
  private nextLookAt: Deadline = brandAs<Deadline>(0);

  constructor(
    private readonly context: JobContext,
    private readonly lifecycle: Lifecycle,
    private readonly placing: StepPlacement,
  ) {}

  prefetch(): void {
    const { now } = this.context;
    if (!hasPassed(this.nextLookAt, now)) {
      return;
    }
    this.nextLookAt = deadlineAfter(now, LOOK_MILLIS);
    for (const job of this.lifecycle.multiStepJobs) {
      for (const { steps } of job.occurrences) {
        steps.forEach((step) => {
          this.prepare(step, steps);
        });
      }
    }
  }

  private prepare(step: Step, steps: readonly Step[]): void {
    const terms = step.job.queue.advice;
    if (terms === undefined || step.plan.after.length === 0 || isStepDone(step)) {
      return;
    }
    const earlier = step.plan.after.flatMap((index) => steps[index] ?? []);
    const remaining = Math.max(0, ...earlier.map((each) => this.remainingOf(each)));
    const callMillis = terms.baseMillis + terms.perWorkerMillis * this.context.workers.size;
    if (remaining > 0 && remaining <= callMillis + LEAD_MILLIS) {
      this.placing.prefetchAdvice(step);
    }
  }

  /** Milliseconds until all tasks of the step are done, by their progress; infinite if one tells nothing. */
  private remainingOf(step: Step): number {
    const open = step.tasks.filter((task) => !task.isDone);
    return Math.max(0, ...open.map((task) => this.remainingOfTask(task)));
  }

  private remainingOfTask({ runs }: Task): number {
    const [run] = runs;
    return run === undefined ? Number.POSITIVE_INFINITY : remainingOfRun(run, this.context.now);
  }
}

function remainingOfRun({ progress, confirmedAt }: Run, now: Instant): number {
  if (progress === undefined || confirmedAt === undefined || progress.percent < TELLING_PERCENT) {
    return Number.POSITIVE_INFINITY;
  }
  const { percent, lastSeenAt } = progress;
  const millisPerPercent = (lastSeenAt - confirmedAt) / percent;
  return Math.max(1, millisPerPercent * (100 - percent) - (now - lastSeenAt));
}
