/** Escalating steps against an attempt that uses more than its declared size. */

import { match } from 'ts-pattern';
import type { Resources } from '@bamboowell/types/resources';
import {
  deadlineAfter,
  hasPassed,
  NEVER,
  type Deadline,
  type Instant,
} from '@bamboowell/types/time';
import type { Peak } from './sizing.js';

/**
 * Time for a step to take effect before the next one; longer than the delay of usage measurements.
 */
export const STEP_MILLIS = 15_000;

export type OveruseStep = 'none' | 'throttle' | 'checkpoint' | 'stop';

/** The last step, and the time at which the next one is due if the overuse continues. */
export interface Overuse {
  readonly step: OveruseStep;
  readonly nextStepAt: Deadline;
}

export const NO_OVERUSE: Overuse = { step: 'none', nextStepAt: NEVER };

/** A usage measurement of an attempt. */
export interface MeasuredAttempt {
  readonly declared: Resources;
  readonly used: Peak;
  readonly checkpointable: boolean;
}

/**
 * The state after a measurement. If its step differs from that of `overuse`, the caller must carry
 * it out. The steps are throttle, checkpoint (only if the attempt is checkpointable) and stop.
 * Usage within the declared size ends the overuse.
 */
export function escalate(overuse: Overuse, measured: MeasuredAttempt, now: Instant): Overuse {
  if (isWithin(measured.used, measured.declared)) {
    return NO_OVERUSE;
  }
  if (overuse.step !== 'none' && !hasPassed(overuse.nextStepAt, now)) {
    return overuse;
  }
  const step = stepAfter(overuse.step, measured.checkpointable);
  return { step, nextStepAt: step === 'stop' ? NEVER : deadlineAfter(now, STEP_MILLIS) };
}

function isWithin(used: Peak, declared: Resources): boolean {
  return used.millicores <= declared.millicores && used.memoryMib <= declared.memoryMib;
}

function stepAfter(step: OveruseStep, checkpointable: boolean): OveruseStep {
  return match(step)
    .with('none', () => 'throttle' as const)
    .with('throttle', () => (checkpointable ? ('checkpoint' as const) : ('stop' as const)))
    .with('checkpoint', 'stop', () => 'stop' as const)
    .exhaustive();
}
