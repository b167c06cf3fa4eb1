/** The platform's list of VMs, as the project sees it. */

import type { Vm } from '@bamboowell/types/vm';
import type { Deadline } from '@bamboowell/types/time';

export type VmListing =
  | { readonly kind: 'listed'; readonly vms: readonly Vm[] }
  | { readonly kind: 'unavailable'; readonly detail: string };

/**
 * What is assumed of the list: it lags. A VM may be missing that is live, or shown that is gone.
 * `leaving` is a promise that the VM goes away; the absence of a VM proves nothing.
 */
export abstract class VmList {
  /** Never throws for an outage. */
  abstract list(deadline: Deadline): Promise<VmListing>;
}
