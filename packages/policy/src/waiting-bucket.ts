/** Waiting work of one team and urgency. */

import type { Resources } from '@bamboowell/types/resources';
import { resourcesKeyOf } from './fleet-index.js';
import type { Size } from './ordering.js';
import { WaitingList, type WaitingEntry } from './waiting-list.js';

/** Keeps its entries by age, and those of each size by age. */
export class WaitingBucket {
  readonly byAge = new WaitingList();
  private readonly bySize = new Map<string, SizeList>();
  /** No entry needs less than this in any dimension. */
  private least: Size | undefined;

  /** What every entry needs at least; `undefined` if there is no entry. */
  get sizeLowerBound(): Size | undefined {
    return this.least;
  }

  sizes(): IterableIterator<SizeList> {
    return this.bySize.values();
  }

  insert(entry: WaitingEntry): void {
    const key = keyOf(entry.candidate);
    const { demand, gangSize: together } = entry.candidate;
    const sized = this.bySize.get(key) ?? {
      size: { demand, gangSize: together },
      list: new WaitingList(),
    };
    this.bySize.set(key, sized);
    sized.list.insert(entry);
    this.byAge.insert(entry);
    this.least = smallerOf(this.least, sized.size);
  }

  /** Takes out an entry of this lane. */
  remove(entry: WaitingEntry): void {
    const key = keyOf(entry.candidate);
    const sized = this.bySize.get(key);
    this.byAge.remove(entry);
    sized?.list.remove(entry);
    if (sized?.list.size === 0) {
      this.bySize.delete(key);
      this.raiseLeast(sized.size);
    }
  }

  /** Finds the smallest needs anew if the size that has gone was one of them. */
  private raiseLeast(gone: Size): void {
    if (this.least === undefined || !touches(this.least, gone)) {
      return;
    }
    this.least = undefined;
    for (const { size } of this.bySize.values()) {
      this.least = smallerOf(this.least, size);
    }
  }
}

/** Waiting work of one size. */
export interface SizeList {
  readonly size: Size;
  readonly list: WaitingList;
}

function keyOf(size: Size): string {
  return `${resourcesKeyOf(size.demand)}x${size.gangSize}`;
}

function smallerOf(left: Size | undefined, right: Size): Size {
  if (left === undefined) {
    return right;
  }
  return {
    demand: smallerAmountOf(left.demand, right.demand),
    gangSize: Math.min(left.gangSize, right.gangSize),
  };
}

function smallerAmountOf(left: Resources, right: Resources): Resources {
  return {
    millicores: Math.min(left.millicores, right.millicores),
    memoryMib: Math.min(left.memoryMib, right.memoryMib),
    accelerators: Math.min(left.accelerators, right.accelerators),
    slots: Math.min(left.slots, right.slots),
  };
}

/** Whether the size is as small as the least in some dimension. */
function touches(least: Size, size: Size): boolean {
  return (
    least.gangSize === size.gangSize ||
    least.demand.millicores === size.demand.millicores ||
    least.demand.memoryMib === size.demand.memoryMib ||
    least.demand.accelerators === size.demand.accelerators ||
    least.demand.slots === size.demand.slots
  );
}
