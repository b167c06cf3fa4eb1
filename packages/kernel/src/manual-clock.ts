/** A clock that moves only when `advance` is called. For tests and replay. */

import { brandAs } from '@bamboowell/types/ids';
import type { Deadline, Instant } from '@bamboowell/types/time';
import { Clock, type Alarm } from './clock.js';

interface PendingAlarm {
  readonly deadline: Deadline;
  readonly wake: () => void;
}

export class ManualClock extends Clock {
  private current: Instant;
  private readonly pending = new Set<PendingAlarm>();

  constructor(startMillis = 0) {
    super();
    this.current = brandAs<Instant>(startMillis);
  }

  now(): Instant {
    return this.current;
  }

  wakeAt(deadline: Deadline, wake: () => void): Alarm {
    const entry = { deadline, wake };
    this.pending.add(entry);
    return {
      cancel: () => {
        this.pending.delete(entry);
      },
    };
  }

  /** Moves time forward and calls the alarms that are due, earliest deadline first. */
  advance(millis: number): void {
    const target = brandAs<Instant>(this.current + millis);
    for (let due = this.nextDue(target); due !== undefined; due = this.nextDue(target)) {
      this.pending.delete(due);
      this.current = brandAs<Instant>(Math.max(this.current, due.deadline));
      due.wake();
    }
    this.current = target;
  }

  private nextDue(target: Instant): PendingAlarm | undefined {
    let first: PendingAlarm | undefined;
    for (const entry of this.pending) {
      if (entry.deadline <= target && (first === undefined || entry.deadline < first.deadline)) {
        first = entry;
      }
    }
    return first;
  }
}
