/**
 * Decides how much work an owner takes on, by how late its own timers are. An owner that is behind
 * starts fewer tasks at a time, in the order of their arrival, and refuses what it could not start
 * soon: each start that is late expires and has to be made again.
 */

import {
  MILLIS_PER_SECOND,
  deadlineAfter,
  hasPassed,
  type Deadline,
  type Instant,
} from '@bamboowell/types/time';
import { brandAs } from '@bamboowell/types/ids';
import { isWaiting, type Step } from './model.js';

/** Timers that are later than this, milliseconds, show that the owner is behind. */
const HIGH_LAG_MILLIS = 200;
/** Timers that are at most this late, milliseconds, show that it could do more. */
const LOW_LAG_MILLIS = 100;
/** Factor by which the limit of open starts falls while the owner is behind. */
const DECREASE_FACTOR = 0.8;
/** The limit rises by this factor and this number at each observation while the owner is not behind. */
const INCREASE_FACTOR = 1.1;
const INCREASE_STARTS = 4;
/** Bounds of the limit. */
const MIN_OPEN_STARTS = 8;
const MAX_OPEN_STARTS = 1024;
/** Late timers in a row that show saturation; a single one may come after a pause of the process. */
const SATURATED_AFTER = 2;
/** The owner counts as saturated this long after its timers were last late. */
const SATURATION_MILLIS = 1000;
/** Work is refused if what waits already takes longer than this to start. */
const MAX_BACKLOG_MILLIS = 2000;
/**
 * How long a count of the waiting tasks serves further decisions, milliseconds. A saturated owner may get a thousand
 * submissions a second while a thousand steps wait: a count for each would leave no time for starts.
 */
const BACKLOG_LIFETIME_MILLIS = 100;
/** Weight of a new observation in the moving average of the starts a second. */
const SMOOTHING_FACTOR = 0.2;
/** Bounds of the time after which a refused caller should try again, seconds. */
const MIN_RETRY_AFTER_SECONDS = 1;
const MAX_RETRY_AFTER_SECONDS = 5;

export type Admission =
  { readonly kind: 'admitted' } | { readonly kind: 'refused'; readonly retryAfterSeconds: number };

export class LoadControl {
  /** Most starts that may be under way at a time: recorded or sent, and not confirmed. */
  startLimit = MAX_OPEN_STARTS;
  /** Whether the last placement pass ended early because of the limit. */
  isStartLimitReached = false;
  private lateTimers = 0;
  private saturatedUntil: Deadline = brandAs<Deadline>(0);
  private confirmedStarts = 0;
  private startsPerSecond = 0;
  private observedAt: Instant | undefined;
  private backlog: { readonly tasks: number; readonly until: Deadline } | undefined;

  /**
   * @param lagMillis how late the owner's timer was.
   * @param openStarts number of starts under way.
   */
  observe(lagMillis: number, openStarts: number, now: Instant): void {
    this.lateTimers = lagMillis > HIGH_LAG_MILLIS ? this.lateTimers + 1 : 0;
    if (this.lateTimers >= SATURATED_AFTER) {
      this.saturatedUntil = deadlineAfter(now, SATURATION_MILLIS);
      const inUse = Math.min(this.startLimit, openStarts);
      this.startLimit = Math.max(MIN_OPEN_STARTS, Math.floor(inUse * DECREASE_FACTOR));
    } else if (lagMillis <= LOW_LAG_MILLIS) {
      const raised = Math.floor(this.startLimit * INCREASE_FACTOR) + INCREASE_STARTS;
      this.startLimit = Math.min(MAX_OPEN_STARTS, raised);
    }
    this.measureRate(now);
  }

  startConfirmed(): void {
    this.confirmedStarts += 1;
  }

  /** Whether the owner was late a moment ago, or has work that waits only for it. */
  isSaturated(now: Instant): boolean {
    return this.isStartLimitReached || !hasPassed(this.saturatedUntil, now);
  }

  /**
   * Whether a new job is taken.
   *
   * @param isExcess whether it exceeds the rate that its team was promised.
   * @param stepsBefore returns the steps that a new job would wait for.
   */
  admit(isExcess: boolean, stepsBefore: () => Iterable<Step>, now: Instant): Admission {
    if (!this.isSaturated(now)) {
      return { kind: 'admitted' };
    }
    const backlog = this.backlogOf(stepsBefore, now);
    const seconds = backlog === 0 ? 0 : backlog / this.startsPerSecond;
    const isTooLong = seconds * MILLIS_PER_SECOND > MAX_BACKLOG_MILLIS;
    if (!isExcess && !isTooLong) {
      return { kind: 'admitted' };
    }
    const retryAfterSeconds = Math.min(
      MAX_RETRY_AFTER_SECONDS,
      Math.max(MIN_RETRY_AFTER_SECONDS, Math.ceil(seconds)),
    );
    return { kind: 'refused', retryAfterSeconds };
  }

  /** Number of tasks that wait for the owner. */
  private backlogOf(stepsBefore: () => Iterable<Step>, now: Instant): number {
    if (this.backlog === undefined || hasPassed(this.backlog.until, now)) {
      const until = deadlineAfter(now, BACKLOG_LIFETIME_MILLIS);
      this.backlog = { tasks: waitingTasksOf(stepsBefore()), until };
    }
    return this.backlog.tasks;
  }

  private measureRate(now: Instant): void {
    if (this.observedAt !== undefined && now > this.observedAt) {
      const rate = (this.confirmedStarts * MILLIS_PER_SECOND) / (now - this.observedAt);
      // While nothing waits for the owner, the rate shows what was asked of it and not what it can do.
      const isWhole = this.isStartLimitReached || rate > this.startsPerSecond;
      this.startsPerSecond += isWhole ? SMOOTHING_FACTOR * (rate - this.startsPerSecond) : 0;
    }
    this.observedAt = now;
    this.confirmedStarts = 0;
  }
}

function waitingTasksOf(steps: Iterable<Step>): number {
  let count = 0;
  for (const { tasks } of steps) {
    count += tasks.filter(isWaiting).length;
  }
  return count;
}
