/** Logs how well learned run times agree with actual ones, beside declared ones. */

import { deadlineAfter, hasPassed, type Deadline } from '@bamboowell/types/time';
import type { JobContext } from './context.js';

/** Interval between figures, milliseconds. */
const FIGURES_INTERVAL_MILLIS = 5000;

export class RunTimesLog {
  private nextFiguresAt: Deadline;

  constructor(private readonly context: JobContext) {
    this.nextFiguresAt = deadlineAfter(context.now, FIGURES_INTERVAL_MILLIS);
  }

  logIfDue(): void {
    const { now, runTimes } = this.context;
    if (!hasPassed(this.nextFiguresAt, now)) {
      return;
    }
    this.nextFiguresAt = deadlineAfter(now, FIGURES_INTERVAL_MILLIS);
    const figures = runTimes.takeFigures();
    if (figures !== undefined) {
      this.context.event('run_times.figures', { ...figures });
    }
  }
}
