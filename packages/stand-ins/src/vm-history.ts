/** The list of VMs over time. */

import type { Instant } from '@bamboowell/types/time';
import type { Vm } from '@bamboowell/types/vm';

interface Version {
  readonly from: Instant;
  readonly vms: readonly Vm[];
}

export class VmHistory {
  private readonly versions: Version[] = [];

  set(from: Instant, vms: readonly Vm[]): void {
    this.versions.push({ from, vms });
  }

  /** The list as it was at the instant; empty before the first `set`. */
  at(instant: number): readonly Vm[] {
    return this.versions.findLast((version) => version.from <= instant)?.vms ?? [];
  }
}
