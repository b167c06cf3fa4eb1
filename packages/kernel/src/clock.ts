/** Clocks and alarms. Services and tasks read monotonic time only from these. */

import { brandAs } from '@bamboowell/types/ids';
import { hasPassed, millisUntil, type Deadline, type Instant } from '@bamboowell/types/time';

/** A scheduled wake-up. */
export interface Alarm {
  cancel(): void;
}

/** A monotonic clock. Subclasses differ in where time comes from. */
export abstract class Clock {
  /** The current reading. It never goes back, and it advances while the process is paused. */
  abstract now(): Instant;

  /** Calls `wake` once when the deadline has passed, never before this call returns. */
  abstract wakeAt(deadline: Deadline, wake: () => void): Alarm;

  /** Resolves when the deadline has passed. */
  sleepUntil(deadline: Deadline): Promise<void> {
    return new Promise((resolve) => {
      this.wakeAt(deadline, resolve);
    });
  }
}

/** Longest delay that Node's timers accept, milliseconds. */
const LONGEST_TIMER_MILLIS = 2 ** 31 - 1;

/** The monotonic clock of the machine. */
export class SystemClock extends Clock {
  now(): Instant {
    return brandAs<Instant>(performance.timeOrigin + performance.now());
  }

  /**
   * Node's timers may fire a fraction of a millisecond early; such a timer is set again.
   *
   * What has arrived at sockets is handled before `wake` is called. Otherwise a process that was held up
   * would give up calls whose answers are there already, and make them again.
   */
  wakeAt(deadline: Deadline, wake: () => void): Alarm {
    let timer: NodeJS.Timeout;
    let immediate: NodeJS.Immediate | undefined;
    const arm = (): void => {
      const delay = Math.min(Math.ceil(millisUntil(deadline, this.now())), LONGEST_TIMER_MILLIS);
      timer = setTimeout(() => {
        if (hasPassed(deadline, this.now())) {
          immediate = setImmediate(wake);
        } else {
          arm();
        }
      }, delay);
    };
    arm();
    return {
      cancel: () => {
        clearTimeout(timer);
        clearImmediate(immediate);
      },
    };
  }
}
