/** Which faults and jobs a run with random faults draws. */

import type { StepPlan } from '@bamboowell/types/job';
import { DEFAULT_SCHEDULING, type SchedulingOptions } from '@bamboowell/types/scheduling';
import type { emulatedCluster } from './emulated-cluster.fixture.js';

export type Fault = () => void;

/** What faults act on, and the random numbers of the seed. */
export interface FaultBench {
  readonly cluster: ReturnType<typeof emulatedCluster>;
  /** The members that are started at first. */
  readonly members: readonly string[];
  /** Returns an integer between two, both included. */
  readonly draw: (min: number, max: number) => number;
  /** Returns a number from 0 to 1. */
  readonly random: () => number;
  /** The same for what calls and processes draw, whose number changes with the code under test. */
  readonly callRandom: () => number;
  readonly pick: <Value>(values: readonly Value[]) => Value;
  readonly schedule: (millis: number, act: () => void) => void;
  readonly relaunchAfter: (member: string, millis: number) => void;
}

export abstract class FaultProfile {
  /** The members that are started at first. */
  abstract readonly members: readonly string[];
  abstract readonly jobIntervalMillis: number;
  /** Mean time between two faults. */
  abstract readonly faultIntervalMillis: number;
  /** Duration of the phase with faults and job submissions. */
  abstract readonly faultPhaseMillis: number;
  /** Duration of the phase without new faults that follows. */
  abstract readonly recoveryMillis: number;
  /** Whether faults and jobs stay the same for a seed while the code under test changes. */
  abstract readonly drawsFaultsApart: boolean;
  /** Whether polls of a frozen member end in time. */
  abstract readonly endsPollsOfFrozen: boolean;

  /** The switches of the scheduler. */
  readonly scheduling: SchedulingOptions = DEFAULT_SCHEDULING;

  /** Returns the faults to draw from, by name. */
  abstract faults(bench: FaultBench): Record<string, Fault>;

  abstract drawSteps(bench: FaultBench): StepPlan[];
}
