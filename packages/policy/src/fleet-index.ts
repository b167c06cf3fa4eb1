/** Index of usable workers by free capacity, so that placement need not scan all of them. */

import { fits, type Resources } from '@bamboowell/types/resources';
import type { FleetWorker } from './fleet.js';

/**
 * Number of levels of free capacity by which workers are grouped, for each dimension except
 * accelerators.
 */
const LEVELS = 16;

/** A usable worker in the index. */
export interface IndexedWorker {
  worker: FleetWorker;
  free: Resources;
  /** The group that the worker is in, and its position there. */
  group: WorkerGroup | undefined;
  position: number;
}

/** Usable workers of the same capacity with a similar free capacity. */
export interface WorkerGroup {
  readonly key: string;
  /** Total capacity of each worker of the group. */
  readonly capacity: Resources;
  readonly members: IndexedWorker[];
  /** Upper bound on the free capacity of the members, in each dimension. */
  maxFree: Resources;
}

/** Groups of usable workers by total and free capacity, updated with each reservation. */
export class FleetIndex {
  private readonly groups = new Map<string, WorkerGroup>();

  /** Adds the worker, or moves it to the group of its free capacity. */
  put(entry: IndexedWorker): void {
    const capacity = entry.worker.profile.capacity;
    const key = groupKeyOf(capacity, entry.free);
    if (entry.group?.key !== key) {
      this.remove(entry);
      this.addToGroup(entry, key, capacity);
    }
    if (entry.group !== undefined) {
      entry.group.maxFree = maximumOf(entry.group.maxFree, entry.free);
    }
  }

  remove(entry: IndexedWorker): void {
    const group = entry.group;
    if (group === undefined) {
      return;
    }
    const last = group.members.pop();
    if (last !== undefined && last !== entry) {
      group.members[entry.position] = last;
      last.position = entry.position;
    }
    if (group.members.length === 0) {
      this.groups.delete(group.key);
    }
    entry.group = undefined;
  }

  /** Groups that may have a worker on which the demand fits. */
  groupsFor(demand: Resources): WorkerGroup[] {
    const found: WorkerGroup[] = [];
    for (const group of this.groups.values()) {
      if (fits(demand, group.maxFree)) {
        found.push(group);
      }
    }
    return found;
  }

  /** Makes `maxFree` exact; called after a search of the group found no fitting worker. */
  recomputeMaxFree(group: WorkerGroup): void {
    const [first, ...others] = group.members;
    if (first !== undefined) {
      group.maxFree = others.reduce((maximum, { free }) => maximumOf(maximum, free), first.free);
    }
  }

  private addToGroup(entry: IndexedWorker, key: string, capacity: Resources): void {
    const group = this.groups.get(key) ?? {
      key,
      capacity,
      members: [],
      maxFree: entry.free,
    };
    this.groups.set(key, group);
    entry.group = group;
    entry.position = group.members.length;
    group.members.push(entry);
  }
}

function groupKeyOf(capacity: Resources, free: Resources): string {
  const levels = [
    levelOf(capacity.millicores, free.millicores),
    levelOf(capacity.memoryMib, free.memoryMib),
    free.accelerators,
    levelOf(capacity.slots, free.slots),
  ];
  return `${resourcesKeyOf(capacity)}:${levels.join(',')}`;
}

/** Map key that is equal for equal amounts. */
export function resourcesKeyOf(amount: Resources): string {
  return `${amount.millicores},${amount.memoryMib},${amount.accelerators},${amount.slots}`;
}

function levelOf(capacity: number, free: number): number {
  return capacity === 0 ? 0 : Math.max(0, Math.floor((free * LEVELS) / capacity));
}

function maximumOf(left: Resources, right: Resources): Resources {
  if (fits(right, left)) {
    return left;
  }
  return {
    millicores: Math.max(left.millicores, right.millicores),
    memoryMib: Math.max(left.memoryMib, right.memoryMib),
    accelerators: Math.max(left.accelerators, right.accelerators),
    slots: Math.max(left.slots, right.slots),
  };
}
