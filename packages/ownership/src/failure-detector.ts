/** Which members are suspected to be gone, from the heartbeats that did or did not come. */

import type { MemberId } from '@bamboowell/types/ids';
import { deadlineAfter, hasPassed, type Deadline, type Instant } from '@bamboowell/types/time';
import { PAUSE_THRESHOLD_MILLIS, SUSPECT_AFTER_MILLIS } from './bounds.js';

/**
 * Keeps one deadline for each member. The caller ticks it at every heartbeat interval; a gap
 * between ticks is a pause of this process, in which nothing could have been heard, so that every
 * member gets its full time again.
 */
export class FailureDetector {
  private readonly deadlines = new Map<MemberId, Deadline>();
  private pausedAfter: Deadline;

  constructor(now: Instant) {
    this.pausedAfter = deadlineAfter(now, PAUSE_THRESHOLD_MILLIS);
  }

  /** Starts to expect heartbeats of a member; no effect if it is expected already. */
  monitor(member: MemberId, now: Instant): void {
    if (!this.deadlines.has(member)) {
      this.recordHeartbeat(member, now);
    }
  }

  /** The member was heard, and is of use as an owner as far as it is known. */
  recordHeartbeat(member: MemberId, now: Instant): void {
    this.deadlines.set(member, deadlineAfter(now, SUSPECT_AFTER_MILLIS));
  }

  /** Expects the member no longer. */
  forget(member: MemberId): void {
    this.deadlines.delete(member);
  }

  /** Notes that this process runs. Returns whether it was paused before. */
  tick(now: Instant): boolean {
    const paused = hasPassed(this.pausedAfter, now);
    if (paused) {
      this.extendAll(now);
    }
    this.pausedAfter = deadlineAfter(now, PAUSE_THRESHOLD_MILLIS);
    return paused;
  }

  /** The members whose deadline has passed. Ticks, so that a pause never makes suspects. */
  suspects(now: Instant): ReadonlySet<MemberId> {
    this.tick(now);
    const late = [...this.deadlines].filter(([, deadline]) => hasPassed(deadline, now));
    return new Set(late.map(([member]) => member));
  }

  private extendAll(now: Instant): void {
    for (const member of this.deadlines.keys()) {
      this.recordHeartbeat(member, now);
    }
  }
}
