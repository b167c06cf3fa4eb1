/** Which records of each writer a fold has seen, so that a repeated append has no second effect. */

import type { Sequence, WriterId } from '@bamboowell/types/ids';

export class Writers {
  private readonly highest: Map<WriterId, Sequence>;

  constructor(entries: Iterable<readonly [WriterId, Sequence]> = []) {
    this.highest = new Map(entries);
  }

  /**
   * Whether the record is new. A writer sends its records in order and repeats whole appends, so
   * that a sequence at or below the highest seen is a repeat.
   */
  admit(writer: WriterId, sequence: Sequence): boolean {
    const seen = this.highest.get(writer) ?? 0;
    if (sequence <= seen) {
      return false;
    }
    this.highest.set(writer, sequence);
    return true;
  }

  entries(): [WriterId, Sequence][] {
    return [...this.highest.entries()];
  }
}
