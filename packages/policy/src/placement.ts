/** Choice of the worker on which a task runs. */

import type { WorkerId } from '@bamboowell/types/ids';
import { fits, type Resources } from '@bamboowell/types/resources';
import type { Fleet, Spread } from './fleet.js';

/** A placement strategy. Deterministic for the same sequence of calls on the same fleet. */
export abstract class Placement {
  /** Returns a usable worker on which the demand fits, if any. Does not reserve the amount. */
  abstract choose(fleet: Fleet, demand: Resources, spread: Spread): WorkerId | undefined;
}

/**
 * Chooses the first worker on which the demand fits. The baseline to which other strategies are
 * compared.
 */
export class FirstFit extends Placement {
  choose(fleet: Fleet, demand: Resources): WorkerId | undefined {
    for (const worker of fleet.all()) {
      if (worker.usable && fits(demand, fleet.freeOf(worker))) {
        return worker.profile.id;
      }
    }
    return undefined;
  }
}
