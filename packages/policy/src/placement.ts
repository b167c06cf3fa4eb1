/** Which worker takes a task. */

import type { WorkerId } from '@bamboowell/types/ids';
import { fits, type Resources } from '@bamboowell/types/resources';
import type { Fleet, Spread } from './fleet.js';

/** A rule of placement. Deterministic for the same fleet and calls. */
export abstract class Placement {
  /** A usable worker with room for the amount; reserves nothing. */
  abstract choose(fleet: Fleet, demand: Resources, spread: Spread): WorkerId | undefined;
}

/** Takes the first worker with room. The baseline that other rules are measured against. */
export class FirstFit extends Placement {
  choose(fleet: Fleet, demand: Resources): WorkerId | undefined {
    for (const machine of fleet.all()) {
      if (machine.usable && fits(demand, fleet.freeOf(machine))) {
        return machine.profile.id;
      }
    }
    return undefined;
  }
}
