/** Puts changes of the evacuated data centres into force, and logs them. */

import type { DataCentreId } from '@bamboowell/types/ids';
import type { JobContext } from './context.js';
import type { KnownEvacuations } from './evacuations.js';
import type { Worker } from './model.js';
import type { Orders } from './orders.js';

export class EvacuationControl {
  /** Whether the records were current when that was last checked. */
  private wasCurrent = true;

  constructor(
    private readonly context: JobContext,
    private readonly orders: Orders,
  ) {}

  /** Takes over what was read before this owner started anything. */
  begin(known: KnownEvacuations): void {
    this.apply(known, true);
  }

  /** Starts that have not been sent are dropped; what runs in these data centres may finish. */
  replace(known: KnownEvacuations): void {
    this.apply(known, false);
    this.orders.sendDeferredStarts();
    this.check();
  }

  /** Logs when the records become too old for anything to be started, and when they no longer are. */
  check(): void {
    const { evacuations, now } = this.context;
    const isCurrent = evacuations.isCurrent(now);
    if (isCurrent !== this.wasCurrent) {
      this.wasCurrent = isCurrent;
      this.context.event(isCurrent ? 'evacuations.current' : 'evacuations.outdated', {});
    }
  }

  private apply(known: KnownEvacuations, isTakeover: boolean): void {
    const { context } = this;
    const { began, ended } = context.evacuations.replace(known);
    for (const zone of began) {
      const workers = this.workersIn(zone);
      context.event('evacuation.began', {
        zone,
        workers: workers.length,
        runs: runsOn(workers),
        isTakeover,
      });
      if (workers.length === 0) {
        context.event('evacuation.unknown_zone', { zone });
      }
    }
    for (const zone of ended) {
      context.event('evacuation.ended', { zone, runs: runsOn(this.workersIn(zone)) });
    }
    if (began.length > 0) {
      this.orders.dropUnsentStarts();
    }
    if (began.length + ended.length > 0) {
      context.needsPlacement = true;
    }
  }

  private workersIn(id: DataCentreId): Worker[] {
    return [...this.context.workers.values()].filter(
      ({ registration }) => registration.zone === id,
    );
  }
}

function runsOn(workers: readonly Worker[]): number {
  return workers.reduce((sum, { runs }) => sum + runs.size, 0);
}
