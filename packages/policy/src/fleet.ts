/** The workers of a shard and the resources that are reserved on each. */

import type { RackId, WorkerId } from '@bamboowell/types/ids';
import {
  add,
  DIMENSIONS,
  fits,
  NO_RESOURCES,
  positivePart,
  subtract,
  type Resources,
} from '@bamboowell/types/resources';
import type { WorkerProfile } from '@bamboowell/types/work';
import { resourcesKeyOf, FleetIndex, type IndexedWorker, type WorkerGroup } from './fleet-index.js';

/** Infinite for an amount of nothing. */
function timesThatFit(amount: Resources, capacity: Resources): number {
  const counts = DIMENSIONS.filter((dimension) => amount[dimension] > 0).map((dimension) =>
    Math.floor(capacity[dimension] / amount[dimension]),
  );
  return Math.min(Number.POSITIVE_INFINITY, ...counts);
}

/** A worker as placement sees it. */
export interface FleetWorker {
  readonly profile: WorkerProfile;
  /** Reserved by attempts that may still run. */
  readonly used: Resources;
  /** Whether new work may be placed: the worker is attached, not leaving and not quarantined. */
  readonly usable: boolean;
}

/** Number of tasks of the same work on each worker and rack, for spreading. */
export interface Spread {
  readonly workers: ReadonlyMap<WorkerId, number>;
  readonly racks: ReadonlyMap<RackId, number>;
}

export const NO_SPREAD: Spread = { workers: new Map(), racks: new Map() };

/** Number of known workers with the same capacity. */
interface CapacityCount {
  readonly capacity: Resources;
  readonly workers: number;
}

/**
 * Reservations never exceed a worker's capacity: `reserve` rejects an amount that does not fit.
 * Only `adopt`, for attempts that already run on a worker, may exceed it.
 */
export class Fleet {
  private readonly entries = new Map<WorkerId, IndexedWorker>();
  private readonly index = new FleetIndex();
  private readonly capacities = new Map<string, CapacityCount>();
  private readonly workersByRack = new Map<RackId, number>();

  /** Adds a worker or replaces its profile; existing reservations stay. */
  put(profile: WorkerProfile, usable: boolean): void {
    const entry = this.entries.get(profile.id);
    if (entry === undefined) {
      this.addWorker({ profile, used: NO_RESOURCES, usable });
      return;
    }
    this.adjustCounts(entry.worker.profile, -1);
    this.adjustCounts(profile, 1);
    this.update(entry, { profile, used: entry.worker.used, usable });
  }

  setUsable(worker: WorkerId, usable: boolean): void {
    const entry = this.entries.get(worker);
    if (entry !== undefined) {
      this.update(entry, { ...entry.worker, usable });
    }
  }

  remove(worker: WorkerId): void {
    const entry = this.entries.get(worker);
    if (entry !== undefined) {
      this.index.remove(entry);
      this.entries.delete(worker);
      this.adjustCounts(entry.worker.profile, -1);
    }
  }

  get(worker: WorkerId): FleetWorker | undefined {
    return this.entries.get(worker)?.worker;
  }

  *all(): IterableIterator<FleetWorker> {
    for (const { worker } of this.entries.values()) {
      yield worker;
    }
  }

  /** Number of racks that have at least one known worker. */
  get rackCount(): number {
    return this.workersByRack.size;
  }

  /** Number of known workers. */
  get size(): number {
    return this.entries.size;
  }

  isEmpty(): boolean {
    return this.entries.size === 0;
  }

  /** Reserves the amount if the worker is usable and the amount fits; returns whether it did. */
  reserve(worker: WorkerId, amount: Resources): boolean {
    const entry = this.entries.get(worker);
    if (entry?.worker.usable !== true || !fits(amount, entry.free)) {
      return false;
    }
    this.updateUsed(entry, add(entry.worker.used, amount));
    return true;
  }

  /**
   * Adds the reservation of an attempt that already runs on the worker, even beyond its capacity.
   */
  adopt(worker: WorkerId, amount: Resources): void {
    const entry = this.entries.get(worker);
    if (entry !== undefined) {
      this.updateUsed(entry, add(entry.worker.used, amount));
    }
  }

  /** Releases a reservation, at most the amount that is reserved. */
  release(worker: WorkerId, amount: Resources): void {
    const entry = this.entries.get(worker);
    if (entry !== undefined) {
      this.updateUsed(entry, positivePart(subtract(entry.worker.used, amount)));
    }
  }

  freeOf(worker: FleetWorker): Resources {
    return subtract(worker.profile.capacity, worker.used);
  }

  /** Whether all known workers together could hold so many times the amount if nothing else ran there. */
  couldEverHold(amount: Resources, times = 1): boolean {
    let missing = times;
    for (const { capacity, workers } of this.capacities.values()) {
      missing -= workers * timesThatFit(amount, capacity);
    }
    return missing <= 0;
  }

  /** How many times the amount fits on the known worker that has most room for it if nothing runs there. */
  mostOnOneWorker(amount: Resources): number {
    const counts = [...this.capacities.values()].map(({ capacity }) =>
      timesThatFit(amount, capacity),
    );
    return Math.max(0, ...counts);
  }

  /** Groups of usable workers that may have a worker on which the demand fits. */
  groupsFor(demand: Resources): WorkerGroup[] {
    return this.index.groupsFor(demand);
  }

  /** Called after no worker of the group fitted, so that the next search skips the group. */
  recomputeMaxFree(group: WorkerGroup): void {
    this.index.recomputeMaxFree(group);
  }

  private addWorker(worker: FleetWorker): void {
    const entry = { worker, free: this.freeOf(worker), group: undefined, position: 0 };
    this.entries.set(worker.profile.id, entry);
    this.adjustCounts(worker.profile, 1);
    this.update(entry, worker);
  }

  private updateUsed(entry: IndexedWorker, used: Resources): void {
    this.update(entry, { ...entry.worker, used });
  }

  private update(entry: IndexedWorker, worker: FleetWorker): void {
    entry.worker = worker;
    entry.free = this.freeOf(worker);
    if (worker.usable) {
      this.index.put(entry);
    } else {
      this.index.remove(entry);
    }
  }

  private adjustCounts(profile: WorkerProfile, delta: number): void {
    const key = resourcesKeyOf(profile.capacity);
    const workers = (this.capacities.get(key)?.workers ?? 0) + delta;
    this.capacities.set(key, { capacity: profile.capacity, workers });
    if (workers === 0) {
      this.capacities.delete(key);
    }
    const inRack = (this.workersByRack.get(profile.rack) ?? 0) + delta;
    this.workersByRack.set(profile.rack, inRack);
    if (inRack === 0) {
      this.workersByRack.delete(profile.rack);
    }
  }
}
