/**
 * A process's clock on top of a manual one: it can be frozen, as when the machine is suspended, or
 * stopped for good.
 */

import { brandAs } from '@bamboowell/types/ids';
import { Clock, type Alarm } from '@bamboowell/kernel/clock';
import type { ManualClock } from '@bamboowell/kernel/manual-clock';
import { hasPassed, type Deadline, type Instant } from '@bamboowell/types/time';

export class ProcessClock extends Clock {
  state: 'running' | 'frozen' | 'dead' = 'running';
  /** Number of alarms that have fired. */
  wakeUps = 0;
  private frozenMillis = 0;
  private frozenAt = 0;
  private queued: (() => void)[] = [];

  constructor(private readonly base: ManualClock) {
    super();
  }

  /** Excludes the time during which the process was frozen. */
  now(): Instant {
    const now = this.state === 'frozen' ? this.frozenAt : this.base.now();
    return brandAs<Instant>(now - this.frozenMillis);
  }

  wakeAt(deadline: Deadline, wake: () => void): Alarm {
    let isCancelled = false;
    let alarm: Alarm | undefined;
    const fire = (): void => {
      if (isCancelled || this.state === 'dead') {
        return;
      }
      if (this.state === 'frozen') {
        this.queued.push(fire);
      } else if (hasPassed(deadline, this.now())) {
        this.wakeUps += 1;
        wake();
      } else {
        arm();
      }
    };
    // Frozen time doesn't count, so an alarm may fire too early by the process's clock and is set again.
    const arm = (): void => {
      const due = Math.ceil(deadline + this.frozenMillis);
      alarm = this.base.wakeAt(brandAs<Deadline>(due), fire);
    };
    arm();
    return {
      cancel: () => {
        isCancelled = true;
        alarm?.cancel();
      },
    };
  }

  freeze(): void {
    this.frozenAt = this.base.now();
    this.state = 'frozen';
  }

  thaw(): void {
    this.frozenMillis += this.base.now() - this.frozenAt;
    this.state = 'running';
    const { queued } = this;
    this.queued = [];
    queued.forEach((run) => {
      run();
    });
  }

  end(): void {
    this.state = 'dead';
    this.queued = [];
  }
}
