/** Settings of the members task. */

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
  /** Uniform in [0, 1); adds jitter to connection attempts. */
  readonly random: () => number;
  readonly count: (counter: MembersCounter) => void;
  /** Subscribed from the start, also after a restart of the task. */
  readonly subscribers: readonly MailboxAddress<MembersEvent>[];
  /** Handlers that are set on every connection from the start, by method. */
  readonly handlers: ReadonlyMap<string, Handler>;
}
