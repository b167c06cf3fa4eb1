/** What the scheduler expects of the run times of tasks. */

import type { WorkerId } from '@bamboowell/types/ids';
import type { JobPlan } from '@bamboowell/types/job';
import type { Instant } from '@bamboowell/types/time';
import type { Run, Step } from './model.js';

/** How well run times were expected since the figures were last taken. */
export interface RunTimeFigures {
  readonly runs: number;
  /** Mean absolute error of the declared run times. */
  readonly declaredErrorMillis: number;
  /** Mean absolute error of the learned run times. */
  readonly learnedErrorMillis: number;
  /** Number of kinds of tasks of which runs are known. */
  readonly kinds: number;
  /** Number of workers whose speed is known. */
  readonly workers: number;
}

interface CachedPath {
  readonly version: number;
  readonly millis: number;
}

export abstract class RunTimes {
  /** Whether run times are learned from finished runs. */
  abstract readonly isLearning: boolean;
  /** Changes when expected run times may have changed. */
  version = 0;
  /** Critical paths by plan. Cached because all waiting steps are ranked many times a second. */
  private readonly paths = new WeakMap<JobPlan, CachedPath>();

  /** Expected run time of one task of the step on a worker of usual speed, milliseconds; zero if unknown. */
  abstract expectedMillis(step: Step): number;

  /** Run time that nearly all tasks of the step stay below, milliseconds; zero if unknown. */
  abstract lateMillis(step: Step): number;

  /** Records a run that has ended `done` at `endedAt`. */
  abstract record(run: Run, endedAt: Instant): void;

  /** Whether enough runs like those of the step have ended to rely on what is expected. */
  abstract isKnown(step: Step): boolean;

  /** How many times as fast as usual the worker is; 1 if not known. */
  abstract speedOf(worker: WorkerId): number;

  /** Class of the worker's speed: zero for the usual one, higher for faster ones. */
  abstract speedClassOf(worker: WorkerId): number;

  /** Figures of the runs recorded since the last call; undefined if none are kept. */
  abstract takeFigures(): RunTimeFigures | undefined;

  /** Expected time of the longest chain of steps of the occurrence, milliseconds. */
  criticalPathMillis({ job, occurrence }: Step): number {
    const { plan } = job;
    if (plan === undefined) {
      return 0;
    }
    const { version } = this;
    const cached = this.paths.get(plan);
    if (cached?.version === version) {
      return cached.millis;
    }
    const millis = this.longestChainMillis(occurrence.steps);
    this.paths.set(plan, { version, millis });
    return millis;
  }

  private longestChainMillis(steps: readonly Step[]): number {
    const ends: number[] = [];
    for (const step of steps) {
      const begin = Math.max(0, ...step.plan.after.map((index) => ends[index] ?? 0));
      ends.push(begin + this.expectedMillis(step));
    }
    return Math.max(0, ...ends);
  }
}

/** How many times as long as estimated a run is allowed for: estimates are rough. */
export const OVERRUN_FACTOR = 2;

/** Takes run times as callers declare them. */
export class DeclaredRunTimes extends RunTimes {
  readonly isLearning = false;

  expectedMillis({ plan }: Step): number {
    return plan.estimateMillis;
  }

  lateMillis({ plan }: Step): number {
    return OVERRUN_FACTOR * plan.estimateMillis;
  }

  record(): void {
    // Declared run times don't change.
  }

  isKnown(): boolean {
    return false;
  }

  speedOf(): number {
    return 1;
  }

  speedClassOf(): number {
    return 0;
  }

  takeFigures(): undefined {
    return undefined;
  }
}

/** For decisions on their own, without a scheduler that chooses. */
export const DECLARED_RUN_TIMES: RunTimes = new DeclaredRunTimes();
