/** The keys by which the daemon's services find each other. */

import { ServiceKey } from '@bamboowell/kernel/service';
import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import type { Backend } from '@bamboowell/front/backend';
import type { TlsIdentity } from '@bamboowell/front/http-server';
import type { Log } from '@bamboowell/log/log';
import type { EventLog } from '@bamboowell/logger/logger';
import type { MembersMessage } from '@bamboowell/membership/members-messages';
import type { VmList } from '@bamboowell/membership/vm-list';
import type { Counters } from '@bamboowell/metrics/counters';
import type { CertificatesMessage } from './certificates-task.js';
import type { CellMessage } from './cell-messages.js';
import type { GaugesMessage } from './gauges-task.js';
import type { LinkMaker, Transport } from './platform.js';
import type { ReporterMessage } from './reporter-task.js';
import type { RoutingMessage } from './routing-task.js';
import type { ShardsMessage } from './shard-messages.js';

export const CERTIFICATES = new ServiceKey<MailboxAddress<CertificatesMessage>>('certificates');
export const EVENTS = new ServiceKey<EventLog>('events');
export const COUNTERS = new ServiceKey<Counters>('counters');
export const GAUGES = new ServiceKey<MailboxAddress<GaugesMessage>>('gauges');
export const LOG = new ServiceKey<Log>('log');
export const VM_LIST = new ServiceKey<VmList>('vm list');
export const TRANSPORT = new ServiceKey<Transport>('transport');
export const LINKS = new ServiceKey<LinkMaker>('links');
export const MEMBERS = new ServiceKey<MailboxAddress<MembersMessage>>('members');
export const REPORTER = new ServiceKey<MailboxAddress<ReporterMessage>>('reporter');
export const CELL = new ServiceKey<MailboxAddress<CellMessage>>('cell');
export const SHARDS = new ServiceKey<MailboxAddress<ShardsMessage>>('shards');
export const ROUTING = new ServiceKey<MailboxAddress<RoutingMessage>>('routing');
export const ROUTER = new ServiceKey<Backend>('router');
export const FRONT = new ServiceKey<FrontHandle>('front');

/** What the front end offers to other services. */
export interface FrontHandle {
  readonly host: string;
  readonly port: number;
  /** Replaces the certificate for new connections. */
  readonly setTls: (tls: TlsIdentity) => void;
}
