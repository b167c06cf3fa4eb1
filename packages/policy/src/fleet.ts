/** The workers of a shard and what is reserved on each. */

import type { RackId, WorkerId } from '@bamboowell/types/ids';
import {
  add,
  fits,
  NO_RESOURCES,
  positivePart,
  subtract,
  type Resources,
} from '@bamboowell/types/resources';
import type { WorkerProfile } from '@bamboowell/types/work';
import { resourcesKeyOf, FleetIndex, type IndexedWorker, type WorkerGroup } from './fleet-index.js';

/** One worker as placement sees it. */
export interface FleetWorker {
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

/** How many known workers have one capacity. */
interface CapacityCount {
  readonly capacity: Resources;
  readonly workers: number;
}

/**
 * Reservations never pass a worker's capacity: `reserve` refuses what does not fit.
 * Reservations found on a worker (`adopt`) are counted whatever they are.
 */
export class Fleet {
  private readonly entries = new Map<WorkerId, IndexedWorker>();
  private readonly index = new FleetIndex();
  private readonly capacities = new Map<string, CapacityCount>();
  private readonly workersByRack = new Map<RackId, number>();

  /** Adds a worker or replaces its profile; what is reserved stays. */
  put(profile: WorkerProfile, usable: boolean): void {
    const entry = this.entries.get(profile.id);
    if (entry === undefined) {
      this.addMachine({ profile, used: NO_RESOURCES, usable });
      return;
    }
    this.count(entry.worker.profile, -1);
    this.count(profile, 1);
    this.change(entry, { profile, used: entry.worker.used, usable });
  }

  setUsable(worker: WorkerId, usable: boolean): void {
    const entry = this.entries.get(worker);
    if (entry !== undefined) {
      this.change(entry, { ...entry.worker, usable });
    }
  }

  remove(worker: WorkerId): void {
    const entry = this.entries.get(worker);
    if (entry !== undefined) {
      this.index.remove(entry);
      this.entries.delete(worker);
      this.count(entry.worker.profile, -1);
    }
  }

  get(worker: WorkerId): FleetWorker | undefined {
    return this.entries.get(worker)?.worker;
  }

  *all(): IterableIterator<FleetWorker> {
    for (const { worker: machine } of this.entries.values()) {
      yield machine;
    }
  }

  /** Number of racks that have a known worker. */
  get rackCount(): number {
    return this.workersByRack.size;
  }

  isEmpty(): boolean {
    return this.entries.size === 0;
  }

  /** Reserves the amount if the worker is usable and has room. */
  reserve(worker: WorkerId, amount: Resources): boolean {
    const entry = this.entries.get(worker);
    if (entry?.worker.usable !== true || !fits(amount, entry.free)) {
      return false;
    }
    this.changeUsed(entry, add(entry.worker.used, amount));
    return true;
  }

  /** Counts what already runs on a worker. */
  adopt(worker: WorkerId, amount: Resources): void {
    const entry = this.entries.get(worker);
    if (entry !== undefined) {
      this.changeUsed(entry, add(entry.worker.used, amount));
    }
  }

  /** Ends a reservation. More than what is reserved is cut to what is reserved. */
  release(worker: WorkerId, amount: Resources): void {
    const entry = this.entries.get(worker);
    if (entry !== undefined) {
      this.changeUsed(entry, positivePart(subtract(entry.worker.used, amount)));
    }
  }

  freeOf(machine: FleetWorker): Resources {
    return subtract(machine.profile.capacity, machine.used);
  }

  /** Whether any known worker, empty, could hold the amount. */
  couldEverHold(amount: Resources): boolean {
    for (const { capacity } of this.capacities.values()) {
      if (fits(amount, capacity)) {
        return true;
      }
    }
    return false;
  }

  /** Groups of usable workers that may have room for the amount. */
  groupsFor(demand: Resources): WorkerGroup[] {
    return this.index.groupsFor(demand);
  }

  /** Tells that no member of the group has room, so that the next search leaves it out. */
  recomputeMaxFree(group: WorkerGroup): void {
    this.index.recomputeMaxFree(group);
  }

  private addMachine(worker: FleetWorker): void {
    const entry = { worker: worker, free: this.freeOf(worker), group: undefined, position: 0 };
    this.entries.set(worker.profile.id, entry);
    this.count(worker.profile, 1);
    this.change(entry, worker);
  }

  private changeUsed(entry: IndexedWorker, used: Resources): void {
    this.change(entry, { ...entry.worker, used });
  }

  private change(entry: IndexedWorker, machine: FleetWorker): void {
    entry.worker = machine;
    entry.free = this.freeOf(machine);
    if (machine.usable) {
      this.index.put(entry);
    } else {
      this.index.remove(entry);
    }
  }

  private count(profile: WorkerProfile, difference: number): void {
    const key = resourcesKeyOf(profile.capacity);
    const workers = (this.capacities.get(key)?.workers ?? 0) + difference;
    this.capacities.set(key, { capacity: profile.capacity, workers });
    if (workers === 0) {
      this.capacities.delete(key);
    }
    const inRack = (this.workersByRack.get(profile.rack) ?? 0) + difference;
    this.workersByRack.set(profile.rack, inRack);
    if (inRack === 0) {
      this.workersByRack.delete(profile.rack);
    }
  }
}
