/**
 * Submissions that the owner has not answered, and when they must be refused if the store takes nothing until
 * then. Guards against callers that are left `undecided` although their jobs were never sent to the store.
 */

import type { JobToken } from '@bamboowell/jobs/messages';
import type { JobId } from '@bamboowell/types/job';
import { deadlineAfter, hasPassed, type Deadline, type Instant } from '@bamboowell/types/time';

/**
 * A refusal is sent this long before the member gives the request up: the owner looks ten times a second, and the
 * answer may go to another region.
 */
const REFUSAL_MARGIN_MILLIS = 250;

interface HeldSubmission {
  readonly job: JobId;
  /** Undefined if the member doesn't say how long it waits. */
  readonly refuseAt: Deadline | undefined;
}

/** A job, one of whose submissions must be answered, and all that wait for it. */
export interface DueJob {
  readonly job: JobId;
  readonly tokens: readonly JobToken[];
}

export class HeldSubmissions {
  private readonly waiting = new Map<JobToken, HeldSubmission>();

  add(token: JobToken, job: JobId, remainingMillis: number | undefined, now: Instant): void {
    const refuseAt =
      remainingMillis === undefined
        ? undefined
        : deadlineAfter(now, Math.max(0, remainingMillis - REFUSAL_MARGIN_MILLIS));
    this.waiting.set(token, { job, refuseAt });
  }

  answered(token: JobToken): void {
    this.waiting.delete(token);
  }

  clear(): void {
    this.waiting.clear();
  }

  /** The job that the request submits; undefined if it submits none. */
  jobOf(token: JobToken): JobId | undefined {
    return this.waiting.get(token)?.job;
  }

  /** Jobs whose first caller can't wait any longer. The others that wait for a job are answered with it. */
  due(now: Instant): DueJob[] {
    const waiting = [...this.waiting];
    const isDue = ({ refuseAt }: HeldSubmission): boolean =>
      refuseAt !== undefined && hasPassed(refuseAt, now);
    const jobs = new Set(waiting.filter(([, held]) => isDue(held)).map(([, { job }]) => job));
    return [...jobs].map((job) => ({
      job,
      tokens: waiting.filter(([, held]) => held.job === job).map(([token]) => token),
    }));
  }
}
