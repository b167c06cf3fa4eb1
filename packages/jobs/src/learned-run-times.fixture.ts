/** Schedulers that have learned run times from finished runs. */

import { brandAs, type QueueId } from '@bamboowell/types/ids';
import type { JobPlan, StepPlan } from '@bamboowell/types/job';
import { DEFAULT_SCHEDULING, type SchedulingOptions } from '@bamboowell/types/scheduling';
import { configurationOf, jobPlan, jobQueue, stepPlan } from './plans.fixture.js';
import {
  runningEntry,
  schedulerHarness,
  type HarnessOptions,
  type ReceivedStart,
} from './scheduler.fixture.js';

export const LEARNED: SchedulingOptions = { ...DEFAULT_SCHEDULING, runTimes: 'learned' };
export const SLOW_QUEUE = brandAs<QueueId>('slow');

export type Harness = ReturnType<typeof schedulerHarness>;

/** The usual queue, and another one with the same priority. */
export const twoQueues = () => configurationOf([jobQueue(), jobQueue({ id: SLOW_QUEUE })]);

export function learningHarness(options: HarnessOptions = {}): Harness {
  const harness = schedulerHarness({ scheduling: LEARNED, ...options });
  harness.reportFromAll();
  return harness;
}

/** Submits the job and starts all of it that has room; the starts are confirmed at once. */
export function begin(harness: Harness, plan: JobPlan): ReceivedStart[] {
  harness.submit(plan);
  const starts = harness.place();
  starts.forEach((start) => {
    harness.answerStart(start);
  });
  return starts;
}

interface Training {
  /** Number of the first job. */
  readonly from?: number;
  readonly jobs?: number;
  readonly step?: Partial<StepPlan>;
  readonly queue?: QueueId;
  /** How long a run takes. */
  readonly millisOf: (start: ReceivedStart) => number;
}

/** Runs jobs one after the other, each with runs in order of their ends. */
export function train(harness: Harness, training: Training): void {
  const { from = 1000, jobs = 30, step = {}, queue = jobQueue().id, millisOf } = training;
  for (let number = from; number < from + jobs; number += 1) {
    const starts = begin(harness, jobPlan(number, { queue, steps: [stepPlan(step)] }));
    let passed = 0;
    for (const start of starts.toSorted((left, right) => millisOf(left) - millisOf(right))) {
      harness.advance(millisOf(start) - passed);
      passed = millisOf(start);
      harness.end(start, 'done');
    }
    harness.commit();
  }
}

/** Lets the time until the next figures pass and returns them. */
export function figuresOf(harness: Harness): Readonly<Record<string, unknown>> {
  harness.advance(5000);
  harness.place();
  const [figures] = harness
    .of('event')
    .filter(({ name }) => name === 'run_times.figures')
    .slice(-1);
  return figures?.fields ?? {};
}

/** The worker of the start reports that the run goes on. */
export function listAsRunning(harness: Harness, start: ReceivedStart, percent = 10): void {
  harness.report(start.incarnation, [runningEntry(start, '', percent)]);
}
