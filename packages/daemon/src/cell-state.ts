/** The newest state of the cell that this daemon knows. It never goes back to an older one. */

import { CellFold, type CellSnapshot } from '@bamboowell/state/cell-fold';
import type { Offset } from '@bamboowell/types/ids';
import type { CellRecord, Effect, Stamped } from '@bamboowell/types/records';

/**
 * The stream task may restart from an older snapshot, and another member may send a newer state
 * than was read here. `current` is the newest of them.
 */
export class CellState {
  private streamed = new CellFold();
  private retained: CellFold | undefined;

  get current(): CellFold {
    const { retained, streamed } = this;
    return retained !== undefined && retained.upTo > streamed.upTo ? retained : streamed;
  }

  /** Restarts reading from a snapshot, or from the empty state. */
  restart(snapshot: CellSnapshot | undefined): void {
    this.retained = this.current;
    this.streamed = snapshot === undefined ? new CellFold() : CellFold.restore(snapshot);
  }

  apply(stamped: Stamped<CellRecord>, offset: Offset): Effect {
    return this.streamed.apply(stamped, offset);
  }

  /** Adopts another member's state if it is newer. Returns whether it was. */
  adoptIfNewer(snapshot: CellSnapshot): boolean {
    const isNewer = snapshot.upTo > this.current.upTo;
    if (isNewer) {
      this.retained = CellFold.restore(snapshot);
    }
    return isNewer;
  }
}
