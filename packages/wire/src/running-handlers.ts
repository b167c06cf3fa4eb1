/** Counts running handlers, so that a connection can wait until all have ended. */

import type { Clock } from '@bamboowell/kernel/clock';
import type { Deadline } from '@bamboowell/types/time';

export class RunningHandlers {
  private count = 0;
  private readonly idleListeners = new Set<() => void>();

  constructor(private readonly clock: Clock) {}

  /** Runs a handler and counts it until its answer is written. */
  async run(handler: () => unknown): Promise<unknown> {
    this.count += 1;
    try {
      return await handler();
    } finally {
      // The answer is written in a microtask after this one.
      setImmediate(() => {
        this.ended();
      });
    }
  }

  /** Resolves when no handler runs, at the deadline, or on `release`. */
  idle(deadline: Deadline): Promise<void> {
    if (this.count === 0) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      const alarm = this.clock.wakeAt(deadline, () => {
        listener();
      });
      const listener = (): void => {
        alarm.cancel();
        this.idleListeners.delete(listener);
        resolve();
      };
      this.idleListeners.add(listener);
    });
  }

  /** Resolves all waiting `idle` calls. */
  release(): void {
    for (const listener of [...this.idleListeners]) {
      listener();
    }
  }

  private ended(): void {
    this.count -= 1;
    if (this.count === 0) {
      this.release();
    }
  }
}
