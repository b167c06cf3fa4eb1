/** A list of waiting work, oldest first. */

import type { Candidate } from './ordering.js';

/** Minimum number of removed entries before the list is compacted. */
const MIN_REMOVED_TO_COMPACT = 32;

/** A candidate in the waiting set. */
export interface WaitingEntry {
  readonly candidate: Candidate;
  /** Order of insertion, which decides between candidates that wait since the same instant. */
  readonly sequence: number;
  /** False once the entry was removed. */
  waiting: boolean;
}

/** Whether the left entry is older than the right one. */
export function isOlder(left: WaitingEntry, right: WaitingEntry): boolean {
  return ageOrder(left, right) < 0;
}

/** Comparator by age, oldest first. */
export function ageOrder(left: WaitingEntry, right: WaitingEntry): number {
  return (
    left.candidate.waitingSince - right.candidate.waitingSince || left.sequence - right.sequence
  );
}

/** Sorted by age. Removal only marks an entry; marked entries are deleted in bulk. */
export class WaitingList {
  private entries: WaitingEntry[] = [];
  private removedCount = 0;

  get size(): number {
    return this.entries.length - this.removedCount;
  }

  insert(entry: WaitingEntry): void {
    const last = this.entries.at(-1);
    if (last === undefined || isOlder(last, entry)) {
      this.entries.push(entry);
      return;
    }
    this.entries.splice(this.positionAfter(entry), 0, entry);
  }

  /** Removes an entry of this list. */
  remove(entry: WaitingEntry): void {
    entry.waiting = false;
    this.removedCount += 1;
    if (
      this.removedCount >= MIN_REMOVED_TO_COMPACT &&
      this.removedCount * 2 >= this.entries.length
    ) {
      this.entries = this.entries.filter(({ waiting }) => waiting);
      this.removedCount = 0;
    }
  }

  /** The oldest entry, or the oldest one younger than `previous`. */
  firstAfter(previous: WaitingEntry | undefined): WaitingEntry | undefined {
    if (previous === undefined) {
      this.dropRemovedHead();
    }
    const from = previous === undefined ? 0 : this.positionAfter(previous);
    for (let position = from; position < this.entries.length; position += 1) {
      const entry = this.entries[position];
      if (entry?.waiting === true) {
        return entry;
      }
    }
    return undefined;
  }

  private dropRemovedHead(): void {
    let head = 0;
    while (this.entries[head]?.waiting === false) {
      head += 1;
    }
    if (head > 0) {
      this.entries.splice(0, head);
      this.removedCount -= head;
    }
  }

  /** Position of the first entry that is younger than the given one. */
  private positionAfter(entry: WaitingEntry): number {
    let low = 0;
    let high = this.entries.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      const other = this.entries[middle];
      if (other !== undefined && !isOlder(entry, other)) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }
}
