/**
 * The data centres that the operator evacuates: no task is started on their workers. Guards against starts
 * in a data centre that is about to be taken out of service, also while the owner can't learn whether
 * another one has joined these, as when the store answers for a part of its topics only.
 */

import { brandAs, type DataCentreId } from '@bamboowell/types/ids';
import type { WorkerRegistration } from '@bamboowell/types/job';
import { NEVER, hasPassed, type Deadline, type Instant } from '@bamboowell/types/time';

const ALWAYS_PASSED = brandAs<Deadline>(0);

/** What the operator's records were when they were last read. */
export interface KnownEvacuations {
  readonly zones: readonly DataCentreId[];
  /** Until then tasks may be started elsewhere, unless the records are read again before. */
  readonly currentUntil: Deadline;
}

/** Where nothing is evacuated and no records are followed. */
export const NO_EVACUATIONS: KnownEvacuations = { zones: [], currentUntil: NEVER };

/** Until the records have been read: nothing is started. */
export const UNREAD_EVACUATIONS: KnownEvacuations = { zones: [], currentUntil: ALWAYS_PASSED };

export interface EvacuationChanges {
  readonly began: readonly DataCentreId[];
  readonly ended: readonly DataCentreId[];
}

type Place = Pick<WorkerRegistration, 'zone'>;

export class Evacuations {
  private zones: ReadonlySet<DataCentreId> = new Set();
  private currentUntil: Deadline = NEVER;

  /** Replaces the set, and returns which data centres have joined and left it. */
  replace({ zones, currentUntil }: KnownEvacuations): EvacuationChanges {
    const before = this.zones;
    this.zones = new Set(zones);
    this.currentUntil = currentUntil;
    return {
      began: [...this.zones].filter((zone) => !before.has(zone)),
      ended: [...before].filter((zone) => !this.zones.has(zone)),
    };
  }

  /** Whether the records were read so recently that tasks may be started where they allow it. */
  isCurrent(now: Instant): boolean {
    return !hasPassed(this.currentUntil, now);
  }

  isEvacuated({ zone }: Place): boolean {
    return this.zones.size > 0 && this.zones.has(brandAs<DataCentreId>(zone));
  }

  /** Whether a start may be sent to a worker of this data centre now. */
  mayStart(place: Place, now: Instant): boolean {
    return this.isCurrent(now) && !this.isEvacuated(place);
  }
}
