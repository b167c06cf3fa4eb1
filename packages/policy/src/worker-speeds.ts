/**
 * Learns how fast each worker is from how long its runs take compared with what is expected of them, for
 * fleets with a few classes of machines that differ in speed and don't say so.
 */

import type { WorkerId } from '@bamboowell/types/ids';
import { SampleWindow, medianOf } from './sample-window.js';

/** Most runs of a worker that count. */
const WINDOW = 48;
/** The speed of a worker with fewer runs is not known: single runs differ more than workers do. */
const MIN_RUNS = 12;
/** With so many runs, the speed that they show weighs as much as the usual speed. */
const PRIOR_RUNS = 6;
/** Bounds memory; the worker that had no run for longest is dropped. */
const MAX_WORKERS = 4096;
/** Longest logarithm of a ratio that a single run can show. */
const MAX_LOG_RATIO = 1.5;
/** Distance of two classes of speed, as a logarithm; smaller differences may be chance. */
const CLASS_STEP = 0.2;
/** Classes further from the usual one count as this far. */
const MAX_CLASS = 2;
/** The speeds are computed anew after this many runs. */
const REFRESH_RUNS = 64;

export class WorkerSpeeds {
  /** Logarithms of actual over expected times, by worker; in order of their last run. */
  private readonly ratios = new Map<WorkerId, SampleWindow>();
  /** Logarithms of the speeds that are known; the usual one is zero. */
  private logSpeeds: ReadonlyMap<WorkerId, number> = new Map();
  private recordedSinceRefresh = 0;

  /** Number of workers whose speed is known. */
  get known(): number {
    return this.logSpeeds.size;
  }

  /** @param expectedMillis on a worker of usual speed. */
  record(worker: WorkerId, actualMillis: number, expectedMillis: number): void {
    if (expectedMillis <= 0) {
      return;
    }
    const ratio = Math.log(Math.max(1, actualMillis) / expectedMillis);
    const window = this.ratios.get(worker) ?? new SampleWindow(WINDOW);
    this.ratios.delete(worker);
    this.ratios.set(worker, window);
    window.add(Math.min(MAX_LOG_RATIO, Math.max(-MAX_LOG_RATIO, ratio)));
    if (this.ratios.size > MAX_WORKERS) {
      const [oldest] = this.ratios.keys();
      this.ratios.delete(oldest ?? worker);
    }
    this.recordedSinceRefresh += 1;
    if (this.recordedSinceRefresh >= REFRESH_RUNS) {
      this.refresh();
    }
  }

  /** How many times as fast as usual the worker is; 1 if not known. */
  speedOf(worker: WorkerId): number {
    return Math.exp(this.logSpeeds.get(worker) ?? 0);
  }

  /** Zero for the usual class, higher for faster ones. */
  classOf(worker: WorkerId): number {
    const steps = Math.round((this.logSpeeds.get(worker) ?? 0) / CLASS_STEP);
    return Math.min(MAX_CLASS, Math.max(-MAX_CLASS, steps));
  }

  private refresh(): void {
    this.recordedSinceRefresh = 0;
    const known = [...this.ratios].filter(([, { size }]) => size >= MIN_RUNS);
    const medians = known.map(([worker, { values, size }]) => ({
      worker,
      size,
      ratio: medianOf(values),
    }));
    const usual = medianOf(medians.map(({ ratio }) => ratio));
    this.logSpeeds = new Map(
      medians.map(({ worker, size, ratio }) => [
        worker,
        ((usual - ratio) * size) / (size + PRIOR_RUNS),
      ]),
    );
  }
}
