/** Plans and configurations for the emulated cluster. */

import {
  configurationOf as configurationWith,
  jobPlan,
  jobQueue,
  stepPlan,
} from '@bamboowell/jobs/plans.fixture';
import type { JobConfiguration, JobPlan, StepPlan } from '@bamboowell/types/job';

const ATTEMPTS = 3;
const ADVICE = { baseMillis: 10, perWorkerMillis: 0.1, validMillis: 2500 };

export function configurationOf(version = 1): JobConfiguration {
  return { ...configurationWith([jobQueue({ attempts: ATTEMPTS, advice: ADVICE })]), version };
}

export function stepOf(changes: Partial<StepPlan> = {}): StepPlan {
  return stepPlan({ estimateMillis: 500, ...changes });
}

export function planOf(number: number, steps: readonly StepPlan[] = [stepOf()]): JobPlan {
  return jobPlan(number, { steps });
}
