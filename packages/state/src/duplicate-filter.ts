/**
 * Remembers each writer's highest sequence number, so that a repeated append has no second effect.
 */

import type { Sequence, WriterId } from '@bamboowell/types/ids';

/**
 * Maximum number of writers that are remembered; each restart of a member adds one. Beyond it the
 * writer whose last record is the oldest is forgotten.
 */
export const MAX_WRITERS = 1000;

export class DuplicateFilter {
  /** The highest sequence number of each writer. The writer of the newest record comes last. */
  private readonly highest: Map<WriterId, Sequence>;

  constructor(entries: Iterable<readonly [WriterId, Sequence]> = []) {
    this.highest = new Map(entries);
  }

  /**
   * Whether the record is new. A writer sends its records in order and repeats whole appends, so
   * a sequence number at or below the highest seen is a repeat.
   */
  admit(writer: WriterId, sequence: Sequence): boolean {
    const seen = this.highest.get(writer) ?? 0;
    if (sequence <= seen) {
      return false;
    }
    this.highest.delete(writer);
    this.highest.set(writer, sequence);
    this.forgetOldest();
    return true;
  }

  /**
   * The writers with their highest sequence numbers, in the order in which they would be forgotten.
   */
  entries(): [WriterId, Sequence][] {
    return [...this.highest.entries()];
  }

  private forgetOldest(): void {
    for (const writer of this.highest.keys()) {
      if (this.highest.size <= MAX_WRITERS) {
        return;
      }
      this.highest.delete(writer);
    }
  }
}
