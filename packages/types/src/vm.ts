/** VMs as the platform lists them. */

import type { DataCentreId, MemberId, RackId, RegionId, WorkerId } from './ids.js';

/** An address by IP number and port. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

export type VmState = 'live' | 'leaving';

/** One VM. The list may still show VMs that are gone, and may not yet show new ones. */
export type Vm =
  | {
      readonly role: 'entry';
      readonly member: MemberId;
      readonly region: RegionId;
      readonly dataCentre: DataCentreId;
      /** Where other daemons reach it. */
      readonly address: Address;
      readonly state: VmState;
    }
  | {
      readonly role: 'worker';
      readonly worker: WorkerId;
      readonly region: RegionId;
      readonly dataCentre: DataCentreId;
      readonly rack: RackId;
      readonly address: Address;
      readonly state: VmState;
    };
