/** Which records of each writer a fold has seen, so that a repeated append has no second effect. */

import type { Sequence, WriterId } from '@bamboowell/types/ids';

/**
 * Most writers that are kept: each restart of a member makes a new one. Beyond that, the one that
 * has been silent for most records is forgotten.
 */
export const MAX_WRITERS = 1000;

export class DuplicateFilter {
  /** The writer of the newest record comes last. */
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
    this.highest.delete(writer);
    this.highest.set(writer, sequence);
    this.forgetSilent();
    return true;
  }

  /** In the order in which they would be forgotten. */
  entries(): [WriterId, Sequence][] {
    return [...this.highest.entries()];
  }

  private forgetSilent(): void {
    for (const writer of this.highest.keys()) {
      if (this.highest.size <= MAX_WRITERS) {
        return;
      }
      this.highest.delete(writer);
    }
  }
}
