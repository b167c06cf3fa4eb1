/**
 * Base of the folds of all streams: the position in the stream, repeated records and checkpoints.
 */

import { brandAs, type Offset, type Sequence, type WriterId } from '@bamboowell/types/ids';
import type { CheckpointPart, Effect, Stamped, VoidReason } from '@bamboowell/types/records';
import { DuplicateFilter } from './duplicate-filter.js';

const APPLIED: Effect = { kind: 'applied' };
const REPEATED: Effect = { kind: 'repeated' };

/** Position of a fold in its stream; part of every snapshot. */
export interface FoldPosition {
  readonly upTo: Offset;
  readonly writers: readonly (readonly [WriterId, Sequence])[];
}

/**
 * A deterministic fold of one stream's records. Every reader that applies the same entries in
 * order has the same state. Subclasses differ in what a record does.
 */
export abstract class Fold<LogRecord extends { readonly kind: string }> {
  private next: Offset = brandAs<Offset>(0);
  private writers = new DuplicateFilter();

  /** The offset below which all entries are applied. */
  get upTo(): Offset {
    return this.next;
  }

  /**
   * Applies one record. A checkpoint part changes nothing; a repeated record has no second effect.
   */
  apply({ writer, sequence, record }: Stamped<LogRecord | CheckpointPart>, offset: Offset): Effect {
    this.next = brandAs<Offset>(Math.max(this.next, offset + 1));
    if (isCheckpoint(record)) {
      return APPLIED;
    }
    if (!this.writers.admit(writer, sequence)) {
      return REPEATED;
    }
    const problem = this.effectOf(record);
    return problem === undefined ? APPLIED : { kind: 'void', reason: problem };
  }

  /** Applies the record to the state, or returns the reason why it has no effect. */
  protected abstract effectOf(record: LogRecord): VoidReason | undefined;

  protected position(): FoldPosition {
    return { upTo: this.next, writers: this.writers.entries() };
  }

  protected restorePosition({ upTo, writers }: FoldPosition): void {
    this.next = upTo;
    this.writers = new DuplicateFilter(writers);
  }
}

function isCheckpoint(record: { readonly kind: string }): record is CheckpointPart {
  return record.kind === 'checkpoint';
}
