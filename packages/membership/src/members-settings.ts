/** What the members task is told of itself and what it works with. */

import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import type { DataCentreId, Incarnation, MemberId, RegionId } from '@bamboowell/types/ids';
import type { Handler } from '@bamboowell/wire/connection';
import type { Dialler } from './dialler.js';
import type { MembersCounter, MembersEvent } from './members-messages.js';
import type { VmList } from './vm-list.js';

export interface MembersSettings {
  readonly member: MemberId;
  readonly incarnation: Incarnation;
  readonly region: RegionId;
  readonly dataCentre: DataCentreId;
  readonly vmList: VmList;
  readonly dialler: Dialler;
  /** Uniform in [0, 1); spreads attempts to connect. */
  readonly random: () => number;
  readonly count: (counter: MembersCounter) => void;
  /** Subscribed from the start, also after the task was restarted. */
  readonly subscribers: readonly MailboxAddress<MembersEvent>[];
  /** Served from the start, by method. */
  readonly handlers: ReadonlyMap<string, Handler>;
}
