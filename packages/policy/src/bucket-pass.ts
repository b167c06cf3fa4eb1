/** One pass over a team's waiting work of one urgency, oldest first. */

import { Heap } from 'heap-js';
import type { WaitingBucket } from './waiting-bucket.js';
import type { Size } from './ordering.js';
import { ageOrder, type WaitingEntry, type WaitingList } from './waiting-list.js';

interface Cursor {
  readonly list: WaitingList;
  head: WaitingEntry;
}

/** What a pass may return. */
export interface PassFilter {
  /** Whether the entry waits and was not returned yet. */
  isOpen(entry: WaitingEntry): boolean;
  /** Whether something of this size may be tried; false for all larger ones if false for one. */
  admits(size: Size): boolean;
}

/**
 * Goes along the age of the lane's entries until a size is not admitted. Then the whole lane is
 * left out if its smallest size is not admitted either; otherwise the pass goes on along the ages
 * of the sizes that are.
 */
export class BucketPass {
  private head: WaitingEntry | undefined;
  private hasBegun = false;
  private hasEnded = false;
  private bySize: Heap<Cursor> | undefined;
  private repeated: WaitingEntry | undefined;

  constructor(
    private readonly lane: WaitingBucket,
    private readonly filter: PassFilter,
  ) {}

  /** The oldest entry that may be returned. */
  peek(): WaitingEntry | undefined {
    if (this.repeated !== undefined && this.mayReturn(this.repeated)) {
      return this.repeated;
    }
    this.repeated = undefined;
    if (this.hasEnded) {
      return undefined;
    }
    return this.bySize === undefined ? this.peekByAge() : this.peekBySize(this.bySize);
  }

  /** Goes past the entry that `peek` returned. */
  take(): void {
    if (this.repeated !== undefined) {
      this.repeated = undefined;
    } else if (this.bySize !== undefined) {
      advance(this.bySize);
    } else if (this.head !== undefined) {
      this.head = this.lane.byAge.firstAfter(this.head);
    }
  }

  /** Returns the entry once more, before all others. */
  requeue(entry: WaitingEntry): void {
    this.repeated = entry;
  }

  private mayReturn(entry: WaitingEntry): boolean {
    return this.filter.isOpen(entry) && this.filter.admits(entry.candidate);
  }

  private peekByAge(): WaitingEntry | undefined {
    if (!this.hasBegun) {
      this.hasBegun = true;
      this.head = this.lane.byAge.firstAfter(undefined);
    }
    while (this.head !== undefined && !this.filter.isOpen(this.head)) {
      this.head = this.lane.byAge.firstAfter(this.head);
    }
    if (this.head === undefined || this.filter.admits(this.head.candidate)) {
      return this.head;
    }
    return this.leaveOutSizes();
  }

  private leaveOutSizes(): WaitingEntry | undefined {
    const { sizeLowerBound: smallest } = this.lane;
    if (smallest === undefined || !this.filter.admits(smallest)) {
      this.hasEnded = true;
      return undefined;
    }
    this.bySize = new Heap<Cursor>((left, right) => ageOrder(left.head, right.head));
    this.bySize.init(this.admittedCursors());
    return this.peekBySize(this.bySize);
  }

  private peekBySize(cursors: Heap<Cursor>): WaitingEntry | undefined {
    for (let cursor = cursors.peek(); cursor !== undefined; cursor = cursors.peek()) {
      if (!this.filter.admits(cursor.head.candidate)) {
        cursors.pop();
      } else if (this.filter.isOpen(cursor.head)) {
        return cursor.head;
      } else {
        advance(cursors);
      }
    }
    return undefined;
  }

  private admittedCursors(): Cursor[] {
    const cursors: Cursor[] = [];
    for (const { size, list } of this.lane.sizes()) {
      const head = this.filter.admits(size) ? list.firstAfter(undefined) : undefined;
      if (head !== undefined) {
        cursors.push({ list, head });
      }
    }
    return cursors;
  }
}

/** Moves the oldest cursor to the next entry of its size. */
function advance(cursors: Heap<Cursor>): void {
  const cursor = cursors.peek();
  const head = cursor?.list.firstAfter(cursor.head);
  if (cursor === undefined || head === undefined) {
    cursors.pop();
    return;
  }
  cursor.head = head;
  cursors.replace(cursor);
}
