/** The state of the cell that is in force here. It never goes back to an earlier one. */

import { CellFold, type CellSnapshot } from '@bamboowell/state/cell-fold';
import type { Offset } from '@bamboowell/types/ids';
import type { CellRecord, Effect, Stamped } from '@bamboowell/types/records';

/**
 * The stream may start again from an earlier snapshot, and another member may hand over a later
 * state than was read here. What is in force is the newest of them.
 */
export class CellState {
  private reading = new CellFold();
  private kept: CellFold | undefined;

  get current(): CellFold {
    const { kept, reading } = this;
    return kept !== undefined && kept.upTo > reading.upTo ? kept : reading;
  }

  /** The stream starts again from a snapshot, or from empty. */
  restart(snapshot: CellSnapshot | undefined): void {
    this.kept = this.current;
    this.reading = snapshot === undefined ? new CellFold() : CellFold.restore(snapshot);
  }

  apply(stamped: Stamped<CellRecord>, offset: Offset): Effect {
    return this.reading.apply(stamped, offset);
  }

  /** Takes another member's state if it is newer; whether it was. */
  adoptIfNewer(snapshot: CellSnapshot): boolean {
    const isNewer = snapshot.upTo > this.current.upTo;
    if (isNewer) {
      this.kept = CellFold.restore(snapshot);
    }
    return isNewer;
  }
}
