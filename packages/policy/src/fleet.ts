/** The workers of a shard and what is reserved on each. */

import type { RackId, WorkerId } from '@bamboowell/types/ids';
import { add, fits, NOTHING, subtract, type Resources } from '@bamboowell/types/resources';
import type { WorkerProfile } from '@bamboowell/types/work';

/** One worker as placement sees it. */
export interface Machine {
  readonly profile: WorkerProfile;
  /** Reserved by attempts that may live. */
  readonly used: Resources;
  /** Whether new work may be placed: attached, not leaving, not quarantined. */
  readonly usable: boolean;
}

/** Where tasks of the same work already are, for spreading. */
export interface Spread {
  readonly workers: ReadonlyMap<WorkerId, number>;
  readonly racks: ReadonlyMap<RackId, number>;
}

export const NO_SPREAD: Spread = { workers: new Map(), racks: new Map() };

/**
 * Reservations never pass a worker's capacity: `reserve` refuses what does not fit.
 * Reservations found on a worker (`adopt`) are counted whatever they are.
 */
export class Fleet {
  private readonly machines = new Map<WorkerId, Machine>();

  /** Adds a worker or replaces its profile; what is reserved stays. */
  put(profile: WorkerProfile, usable: boolean): void {
    const used = this.machines.get(profile.id)?.used ?? NOTHING;
    this.machines.set(profile.id, { profile, used, usable });
  }

  setUsable(worker: WorkerId, usable: boolean): void {
    const machine = this.machines.get(worker);
    if (machine !== undefined) {
      this.machines.set(worker, { ...machine, usable });
    }
  }

  remove(worker: WorkerId): void {
    this.machines.delete(worker);
  }

  get(worker: WorkerId): Machine | undefined {
    return this.machines.get(worker);
  }

  all(): IterableIterator<Machine> {
    return this.machines.values();
  }

  isEmpty(): boolean {
    return this.machines.size === 0;
  }

  /** Reserves the amount if the worker is usable and has room. */
  reserve(worker: WorkerId, amount: Resources): boolean {
    const machine = this.machines.get(worker);
    if (machine?.usable !== true || !fits(amount, this.freeOf(machine))) {
      return false;
    }
    this.adopt(worker, amount);
    return true;
  }

  /** Counts what already runs on a worker. */
  adopt(worker: WorkerId, amount: Resources): void {
    const machine = this.machines.get(worker);
    if (machine !== undefined) {
      this.machines.set(worker, { ...machine, used: add(machine.used, amount) });
    }
  }

  release(worker: WorkerId, amount: Resources): void {
    const machine = this.machines.get(worker);
    if (machine !== undefined) {
      this.machines.set(worker, { ...machine, used: subtract(machine.used, amount) });
    }
  }

  freeOf(machine: Machine): Resources {
    return subtract(machine.profile.capacity, machine.used);
  }

  /** Whether any known worker, empty, could hold the amount. */
  couldEverHold(amount: Resources): boolean {
    for (const machine of this.machines.values()) {
      if (fits(amount, machine.profile.capacity)) {
        return true;
      }
    }
    return false;
  }
}
