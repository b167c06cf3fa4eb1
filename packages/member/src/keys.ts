/** Keys under which the services of a member find each other. */

import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import { ServiceKey } from '@bamboowell/kernel/service';
import type { EventLog } from '@bamboowell/logger/logger';
import type { ConfigurationMessage } from './configuration-task.js';
import type { GatewayMessage } from './gateway-messages.js';
import type { ReaderLinkMessage } from './reader-link-task.js';
import type { OwnerMessage } from './owner-messages.js';
import type { OwnershipMessage } from './ownership-messages.js';
import type { Peers } from './peers.js';
import type { AdvicePort, Documents, WorkerPort } from './ports.js';
import type { MachineMessage } from './machine-task.js';
import type { Store } from './store.js';
import type { Traffic } from './traffic.js';

export const TRAFFIC = new ServiceKey<Traffic>('member.traffic');
export const MACHINE = new ServiceKey<MailboxAddress<MachineMessage>>('member.machine');
export const EVENTS = new ServiceKey<EventLog>('member.events');
export const STORE = new ServiceKey<Store>('member.store');
export const WORKERS = new ServiceKey<WorkerPort>('member.workers');
export const ADVICE = new ServiceKey<AdvicePort>('member.advice');
export const DOCUMENTS = new ServiceKey<Documents>('member.documents');
export const GATEWAY = new ServiceKey<MailboxAddress<GatewayMessage>>('member.gate');
export const OWNER = new ServiceKey<MailboxAddress<OwnerMessage>>('member.owner');
export const OWNERSHIP = new ServiceKey<MailboxAddress<OwnershipMessage>>('member.ownership');
export const READER_LINK = new ServiceKey<MailboxAddress<ReaderLinkMessage>>('member.reader-link');
export const PEERS = new ServiceKey<Peers>('member.peers');
export const CONFIGURATION = new ServiceKey<MailboxAddress<ConfigurationMessage>>(
  'member.configuration',
);
