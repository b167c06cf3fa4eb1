/** Which faults and jobs a run with random faults draws. */

import { cores } from '@bamboowell/jobs/plans.fixture';
import type { StepPlan } from '@bamboowell/types/job';
import type { ClusterOptions, emulatedCluster } from './emulated-cluster.fixture.js';
import { configurationOf } from './plans.fixture.js';

export type Fault = () => void;

const WORKERS = ['w1', 'w2', 'w3', 'w4', 'w5', 'w6'];
/** Memory of a worker: plenty, so that cores are the scarce resource. */
export const WORKER_MIB = 1000;

/** A job to submit. */
export interface DrawnJob {
  readonly steps: StepPlan[];
  /** The default team of the fixtures if undefined. */
  readonly team?: string;
  /** Whether its team sends less than its promised rate, so that its jobs must not be refused as late. */
  readonly isPromised: boolean;
}

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
  /** When promised work had too few workers, so that it may be refused as late. */
  scarceAt: number[] = [];

  /** Returns the faults to draw from, by name. */
  abstract faults(bench: FaultBench): Record<string, Fault>;

  abstract drawSteps(bench: FaultBench): StepPlan[];

  /** The workers, their configuration and the switches of the members. */
  deployment(): ClusterOptions {
    const capacity = { ...cores(4), memoryMib: WORKER_MIB };
    return {
      workers: WORKERS.map((name) => ({ name, capacity })),
      configuration: configurationOf(),
    };
  }

  /** Returns the jobs of the next interval. */
  drawJobs(bench: FaultBench): readonly DrawnJob[] {
    return [{ steps: this.drawSteps(bench), isPromised: true }];
  }
}
