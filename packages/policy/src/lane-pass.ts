/** One pass over a team's waiting work of one urgency, oldest first. */

import { Heap } from 'heap-js';
import { ageOrder, type WaitingEntry, type WaitingList } from './waiting-list.js';
import type { Lane } from './waiting-teams.js';

interface Cursor {
  readonly list: WaitingList;
  head: WaitingEntry;
}

/** Whether an entry may be returned now, is left out alone, or with all others of its size. */
export type Admission = 'admitted' | 'leave_out' | 'leave_out_size';

export class LanePass {
  private readonly cursors: Heap<Cursor>;
  private repeated: WaitingEntry | undefined;

  constructor(
    lane: Lane,
    private readonly admissionOf: (entry: WaitingEntry) => Admission,
  ) {
    this.cursors = new Heap<Cursor>((left, right) => ageOrder(left.head, right.head));
    this.cursors.init(cursorsOf(lane));
  }

  /** The oldest entry that may be returned. */
  peek(): WaitingEntry | undefined {
    if (this.repeated !== undefined && this.admissionOf(this.repeated) === 'admitted') {
      return this.repeated;
    }
    this.repeated = undefined;
    for (let cursor = this.cursors.peek(); cursor !== undefined; cursor = this.cursors.peek()) {
      const admission = this.admissionOf(cursor.head);
      if (admission === 'admitted') {
        return cursor.head;
      }
      if (admission === 'leave_out_size') {
        this.cursors.pop();
      } else {
        this.advance(cursor);
      }
    }
    return undefined;
  }

  /** Goes past the entry that `peek` returned. */
  take(): void {
    if (this.repeated !== undefined) {
      this.repeated = undefined;
      return;
    }
    const cursor = this.cursors.peek();
    if (cursor !== undefined) {
      this.advance(cursor);
    }
  }

  /** Returns the entry once more, before all others. */
  repeat(entry: WaitingEntry): void {
    this.repeated = entry;
  }

  private advance(cursor: Cursor): void {
    const head = cursor.list.firstAfter(cursor.head);
    if (head === undefined) {
      this.cursors.pop();
    } else {
      cursor.head = head;
      this.cursors.replace(cursor);
    }
  }
}

function cursorsOf(lane: Lane): Cursor[] {
  const cursors: Cursor[] = [];
  for (const list of lane.values()) {
    const head = list.firstAfter(undefined);
    if (head !== undefined) {
      cursors.push({ list, head });
    }
  }
  return cursors;
}
