/** Suspects members whose heartbeats stop arriving. */

import type { MemberId } from '@bamboowell/types/ids';
import { deadlineAfter, hasPassed, type Deadline, type Instant } from '@bamboowell/types/time';
import { PAUSE_THRESHOLD_MILLIS, SUSPECT_AFTER_MILLIS } from './bounds.js';

/**
 * A failure detector with one deadline for each member. The caller ticks it at every heartbeat
 * interval. A gap between ticks means that this process was paused and could not have received
 * heartbeats, so every deadline starts anew.
 */
export class FailureDetector {
  private readonly deadlines = new Map<MemberId, Deadline>();
  private pauseDeadline: Deadline;

  constructor(now: Instant) {
    this.pauseDeadline = deadlineAfter(now, PAUSE_THRESHOLD_MILLIS);
  }

  /** Starts expecting heartbeats of a member. No effect if the member is monitored already. */
  monitor(member: MemberId, now: Instant): void {
    if (!this.deadlines.has(member)) {
      this.recordHeartbeat(member, now);
    }
  }

  /** Records a heartbeat of a member that, as far as is known, can act as an owner. */
  recordHeartbeat(member: MemberId, now: Instant): void {
    this.deadlines.set(member, deadlineAfter(now, SUSPECT_AFTER_MILLIS));
  }

  /** Stops expecting heartbeats of the member. */
  forget(member: MemberId): void {
    this.deadlines.delete(member);
  }

  /** Records that this process is running. Returns whether it was paused before. */
  tick(now: Instant): boolean {
    const paused = hasPassed(this.pauseDeadline, now);
    if (paused) {
      this.restartDeadlines(now);
    }
    this.pauseDeadline = deadlineAfter(now, PAUSE_THRESHOLD_MILLIS);
    return paused;
  }

  /** The members whose deadline has passed. Ticks first, so that a pause suspects nobody. */
  suspects(now: Instant): ReadonlySet<MemberId> {
    this.tick(now);
    const late = [...this.deadlines].filter(([, deadline]) => hasPassed(deadline, now));
    return new Set(late.map(([member]) => member));
  }

  private restartDeadlines(now: Instant): void {
    for (const member of this.deadlines.keys()) {
      this.recordHeartbeat(member, now);
    }
  }
}
