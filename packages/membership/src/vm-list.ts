/** Interface of the platform's VM list. */

import type { Vm } from '@bamboowell/types/vm';
import type { Deadline } from '@bamboowell/types/time';

export type VmListing =
  | {
      readonly kind: 'listed';
      readonly vms: readonly Vm[];
      /** What is wrong with the entries that can't be read; absent if all can. */
      readonly unreadable?: readonly string[];
    }
  | { readonly kind: 'unavailable'; readonly detail: string };

/**
 * Client of the VM list. The list is assumed to lag: it may lack a live VM or show one that is
 * gone. `leaving` guarantees that the VM goes away; the absence of a VM proves nothing.
 */
export abstract class VmList {
  /** Doesn't throw when the list is unavailable. */
  abstract list(deadline: Deadline): Promise<VmListing>;
}
