/** Counts what is admitted and refused, and how far forecasts were from the real first starts. */

import {
  NEVER,
  deadlineAfter,
  hasPassed,
  type Deadline,
  type Instant,
} from '@bamboowell/types/time';
import type { JobContext } from './context.js';
import { isEnded, type Job } from './model.js';

/** Interval of the event, milliseconds. */
const FIGURES_INTERVAL_MILLIS = 5000;
/** Most jobs whose first start is awaited; bounds memory while much is accepted and nothing starts. */
const MAX_AWAITED = 5000;

export class AdmissionFigures {
  private admittedPromised = 0;
  private admittedExcess = 0;
  private refusedPromised = 0;
  private refusedExcess = 0;
  private forecastCount = 0;
  private forecastSum = 0;
  private startedCount = 0;
  private errorSum = 0;
  private absoluteErrorSum = 0;
  private nextAt: Deadline | undefined;
  /** Jobs without a start, and when their first one was forecast. */
  private readonly awaited = new Map<Job, Deadline>();

  constructor(private readonly context: JobContext) {}

  recordRefused(isExcess: boolean): void {
    this.refusedPromised += Number(!isExcess);
    this.refusedExcess += Number(isExcess);
  }

  /** @param first when its first task was forecast to start; undefined if nothing was forecast. */
  recordAdmitted(job: Job, first: Deadline | undefined): void {
    this.admittedPromised += Number(!job.isExcess);
    this.admittedExcess += Number(job.isExcess);
    if (first === undefined || first === NEVER) {
      return;
    }
    this.forecastCount += 1;
    this.forecastSum += first - this.context.now;
    if (this.awaited.size < MAX_AWAITED) {
      this.awaited.set(job, first);
    }
  }

  recordStarted(job: Job): void {
    const first = this.awaited.get(job);
    if (first !== undefined) {
      this.awaited.delete(job);
      const error = this.context.now - first;
      this.startedCount += 1;
      this.errorSum += error;
      this.absoluteErrorSum += Math.abs(error);
    }
  }

  /** Emits the figures when they are due; there are none before the first job was decided on. */
  tick(now: Instant): void {
    this.nextAt ??= deadlineAfter(now, FIGURES_INTERVAL_MILLIS);
    if (!hasPassed(this.nextAt, now)) {
      return;
    }
    this.nextAt = deadlineAfter(now, FIGURES_INTERVAL_MILLIS);
    this.dropEnded();
    this.context.event('admission.figures', {
      admittedPromised: this.admittedPromised,
      admittedExcess: this.admittedExcess,
      refusedPromised: this.refusedPromised,
      refusedExcess: this.refusedExcess,
      meanForecastMillis: meanOf(this.forecastSum, this.forecastCount),
      firstStarts: this.startedCount,
      meanErrorMillis: meanOf(this.errorSum, this.startedCount),
      meanAbsoluteErrorMillis: meanOf(this.absoluteErrorSum, this.startedCount),
    });
    this.reset();
  }

  private reset(): void {
    this.admittedPromised = 0;
    this.admittedExcess = 0;
    this.refusedPromised = 0;
    this.refusedExcess = 0;
    this.forecastCount = 0;
    this.forecastSum = 0;
    this.startedCount = 0;
    this.errorSum = 0;
    this.absoluteErrorSum = 0;
  }

  /** Jobs that end without a start, such as cancelled ones, have no first start to compare with. */
  private dropEnded(): void {
    for (const job of this.awaited.keys()) {
      if (isEnded(job.state)) {
        this.awaited.delete(job);
      }
    }
  }
}

function meanOf(sum: number, count: number): number {
  return count === 0 ? 0 : Math.round(sum / count);
}
