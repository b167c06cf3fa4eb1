/** One pass over the waiting work of one bucket, oldest first. */

import { Heap } from 'heap-js';
import type { WaitingBucket } from './waiting-bucket.js';
import type { Size } from './ordering.js';
import { ageOrder, type WaitingEntry, type WaitingList } from './waiting-list.js';

/** Position in the list of one size. */
interface Cursor {
  readonly list: WaitingList;
  head: WaitingEntry;
}

/** Decides which entries a pass may return. */
export interface PassFilter {
  /** Whether the entry still waits and was not returned yet. */
  isOpen(entry: WaitingEntry): boolean;
  /**
   * Whether this size may be tried. Must be monotonic: false for a size implies false for larger
   * ones.
   */
  admits(size: Size): boolean;
}

/**
 * Returns the entries of the bucket by age until it meets a size that is not admitted. From then
 * on, it merges the lists of the sizes that are still admitted, or ends if the lower bound of all
 * sizes is not admitted either.
 */
export class BucketPass {
  private head: WaitingEntry | undefined;
  private hasBegun = false;
  private hasEnded = false;
  private bySize: Heap<Cursor> | undefined;
  private requeued: WaitingEntry | undefined;

  constructor(
    private readonly bucket: WaitingBucket,
    private readonly filter: PassFilter,
  ) {}

  /** The oldest entry that may be returned, without consuming it. */
  peek(): WaitingEntry | undefined {
    if (this.requeued !== undefined && this.mayReturn(this.requeued)) {
      return this.requeued;
    }
    this.requeued = undefined;
    if (this.hasEnded) {
      return undefined;
    }
    return this.bySize === undefined ? this.peekByAge() : this.peekBySize(this.bySize);
  }

  /** Consumes the entry that `peek` returned. */
  take(): void {
    if (this.requeued !== undefined) {
      this.requeued = undefined;
    } else if (this.bySize !== undefined) {
      advanceOldest(this.bySize);
    } else if (this.head !== undefined) {
      this.head = this.bucket.byAge.firstAfter(this.head);
    }
  }

  /** Makes the next `peek` return the entry again, before all others. */
  requeue(entry: WaitingEntry): void {
    this.requeued = entry;
  }

  private mayReturn(entry: WaitingEntry): boolean {
    return this.filter.isOpen(entry) && this.filter.admits(entry.candidate);
  }

  private peekByAge(): WaitingEntry | undefined {
    if (!this.hasBegun) {
      this.hasBegun = true;
      this.head = this.bucket.byAge.firstAfter(undefined);
    }
    while (this.head !== undefined && !this.filter.isOpen(this.head)) {
      this.head = this.bucket.byAge.firstAfter(this.head);
    }
    if (this.head === undefined || this.filter.admits(this.head.candidate)) {
      return this.head;
    }
    return this.continueBySize();
  }

  private continueBySize(): WaitingEntry | undefined {
    const { sizeLowerBound: lowerBound } = this.bucket;
    if (lowerBound === undefined || !this.filter.admits(lowerBound)) {
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
        advanceOldest(cursors);
      }
    }
    return undefined;
  }

  private admittedCursors(): Cursor[] {
    const cursors: Cursor[] = [];
    for (const { size, list } of this.bucket.sizes()) {
      const head = this.filter.admits(size) ? list.firstAfter(undefined) : undefined;
      if (head !== undefined) {
        cursors.push({ list, head });
      }
    }
    return cursors;
  }
}

/**
 * Moves the oldest cursor to the next entry of its size; drops the cursor at the end of its list.
 */
function advanceOldest(cursors: Heap<Cursor>): void {
  const cursor = cursors.peek();
  const head = cursor?.list.firstAfter(cursor.head);
  if (cursor === undefined || head === undefined) {
    cursors.pop();
    return;
  }
  cursor.head = head;
  cursors.replace(cursor);
}
