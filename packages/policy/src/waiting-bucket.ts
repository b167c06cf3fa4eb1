/** The waiting work of one team and urgency. */

import type { Resources } from '@bamboowell/types/resources';
import { resourcesKeyOf } from './fleet-index.js';
import type { Size } from './ordering.js';
import { WaitingList, type WaitingEntry } from './waiting-list.js';

/** Keeps all entries in order of age, and also those of each size. */
export class WaitingBucket {
  readonly byAge = new WaitingList();
  private readonly bySize = new Map<string, SizeList>();
  private lowerBound: Size | undefined;

  /** Minimum of the sizes of all entries, in each dimension; `undefined` if there is no entry. */
  get sizeLowerBound(): Size | undefined {
    return this.lowerBound;
  }

  sizes(): IterableIterator<SizeList> {
    return this.bySize.values();
  }

  insert(entry: WaitingEntry): void {
    const key = keyOf(entry.candidate);
    const { demand, gangSize } = entry.candidate;
    const sized = this.bySize.get(key) ?? {
      size: { demand, gangSize },
      list: new WaitingList(),
    };
    this.bySize.set(key, sized);
    sized.list.insert(entry);
    this.byAge.insert(entry);
    this.lowerBound = minimumOf(this.lowerBound, sized.size);
  }

  /** Removes an entry of this bucket. */
  remove(entry: WaitingEntry): void {
    const key = keyOf(entry.candidate);
    const sized = this.bySize.get(key);
    this.byAge.remove(entry);
    sized?.list.remove(entry);
    if (sized?.list.size === 0) {
      this.bySize.delete(key);
      this.recomputeLowerBound(sized.size);
    }
  }

  /** Recomputes the lower bound if the removed size may have determined it. */
  private recomputeLowerBound(removed: Size): void {
    if (this.lowerBound === undefined || !equalsInSomeDimension(this.lowerBound, removed)) {
      return;
    }
    this.lowerBound = undefined;
    for (const { size } of this.bySize.values()) {
      this.lowerBound = minimumOf(this.lowerBound, size);
    }
  }
}

/** The waiting work of one size, by age. */
export interface SizeList {
  readonly size: Size;
  readonly list: WaitingList;
}

function keyOf(size: Size): string {
  return `${resourcesKeyOf(size.demand)}x${size.gangSize}`;
}

function minimumOf(left: Size | undefined, right: Size): Size {
  if (left === undefined) {
    return right;
  }
  return {
    demand: minimumAmountOf(left.demand, right.demand),
    gangSize: Math.min(left.gangSize, right.gangSize),
  };
}

function minimumAmountOf(left: Resources, right: Resources): Resources {
  return {
    millicores: Math.min(left.millicores, right.millicores),
    memoryMib: Math.min(left.memoryMib, right.memoryMib),
    accelerators: Math.min(left.accelerators, right.accelerators),
    slots: Math.min(left.slots, right.slots),
  };
}

/** Whether the size equals the lower bound in some dimension. */
function equalsInSomeDimension(lowerBound: Size, size: Size): boolean {
  return (
    lowerBound.gangSize === size.gangSize ||
    lowerBound.demand.millicores === size.demand.millicores ||
    lowerBound.demand.memoryMib === size.demand.memoryMib ||
    lowerBound.demand.accelerators === size.demand.accelerators ||
    lowerBound.demand.slots === size.demand.slots
  );
}
