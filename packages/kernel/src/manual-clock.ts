/** A clock that stands still until it is moved. For tests and replay. */

import { brandAs } from '@bamboowell/types/ids';
import type { Deadline, Instant } from '@bamboowell/types/time';
import { Clock, type Alarm } from './clock.js';

interface Waiting {
  readonly deadline: Deadline;
  readonly wake: () => void;
}

export class ManualClock extends Clock {
  private current: Instant;
  private readonly waiting = new Set<Waiting>();

  constructor(startMillis = 0) {
    super();
    this.current = brandAs<Instant>(startMillis);
  }

  now(): Instant {
    return this.current;
  }

  wakeAt(deadline: Deadline, wake: () => void): Alarm {
    const entry = { deadline, wake };
    this.waiting.add(entry);
    return {
      cancel: () => {
        this.waiting.delete(entry);
      },
    };
  }

  /** Moves time forward and wakes what is due, earliest deadline first. */
  advance(millis: number): void {
    const target = brandAs<Instant>(this.current + millis);
    for (let due = this.nextDue(target); due !== undefined; due = this.nextDue(target)) {
      this.waiting.delete(due);
      this.current = brandAs<Instant>(Math.max(this.current, due.deadline));
      due.wake();
    }
    this.current = target;
  }

  private nextDue(target: Instant): Waiting | undefined {
    let first: Waiting | undefined;
    for (const entry of this.waiting) {
      if (entry.deadline <= target && (first === undefined || entry.deadline < first.deadline)) {
        first = entry;
      }
    }
    return first;
  }
}
