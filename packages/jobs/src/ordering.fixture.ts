/** Builds waiting steps without a scheduler, for tests of their order. */

import { brandAs, type TeamId } from '@bamboowell/types/ids';
import type { WallInstant } from '@bamboowell/types/job';
import { JobContext } from './context.js';
import { newJob, newOccurrence, type Step } from './model.js';
import { configurationOf, jobPlan, jobQueue, stepPlan, TEAM } from './plans.fixture.js';
import { DeclaredRunTimes } from './run-times.js';

export interface WaitingStep {
  readonly priority?: number;
  readonly team?: TeamId;
  readonly isExcess?: boolean;
  /** Objective of its queue, milliseconds. */
  readonly objectiveMillis?: number;
  readonly plan?: Parameters<typeof stepPlan>[0];
}

const WALL = 1_000_000;

export function orderingContext(configuration = configurationOf()): JobContext {
  const context = new JobContext(new DeclaredRunTimes(), () => undefined);
  context.wall = brandAs<WallInstant>(WALL);
  context.setConfiguration(configuration);
  return context;
}

let steps = 0;

/** @param ageMillis since the acceptance of its job. */
export function waitingStep(ageMillis: number, changes: WaitingStep = {}): Step {
  const { priority = 1, team = TEAM, isExcess = true, objectiveMillis = 1000 } = changes;
  steps += 1;
  const plan = jobPlan(steps, { team, steps: [stepPlan(changes.plan)] });
  const queue = jobQueue({ priority, objectiveFactor: 0, targetLatencyMillis: objectiveMillis });
  const job = newJob(plan, queue, brandAs<WallInstant>(WALL - ageMillis));
  job.isExcess = isExcess;
  const [step] = newOccurrence(job, plan, 0).steps;
  if (step === undefined) {
    throw new Error('the plan has no step');
  }
  return step;
}
