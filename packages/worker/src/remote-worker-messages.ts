/** Messages and options of the task that owns the connection to a worker. */

import type { Clock } from '@bamboowell/kernel/clock';
import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import type { WorkerId } from '@bamboowell/types/ids';
import type { Address } from '@bamboowell/types/vm';
import type { WorkerCommand, WorkerReport } from '@bamboowell/types/worker-messages';
import type { Meter } from '@bamboowell/wire/meter';
import type { TcpConnection } from '@bamboowell/wire/tcp-connection';
import type { TlsIdentity } from '@bamboowell/wire/tls-identity';
import type { WorkerSession } from './worker-session.js';

export type AttachCommand = Extract<WorkerCommand, { kind: 'attach' }>;

export type RemoteWorkerMessage =
  | { readonly kind: 'connect' }
  | { readonly kind: 'connected'; readonly connection: TcpConnection }
  | { readonly kind: 'unreachable'; readonly detail: string }
  | { readonly kind: 'command'; readonly command: WorkerCommand }
  | {
      readonly kind: 'reported';
      readonly session: WorkerSession;
      readonly report: WorkerReport | undefined;
    }
  | { readonly kind: 'attach_overdue'; readonly session: WorkerSession }
  | { readonly kind: 'connection_ended'; readonly session: WorkerSession }
  | { readonly kind: 'flush' };

export interface RemoteWorkerOptions {
  readonly worker: WorkerId;
  readonly address: Address;
  readonly clock: Clock;
  /** Receives everything that the worker reports, in order. */
  readonly reports: MailboxAddress<WorkerReport>;
  /** Returns numbers in [0, 1). */
  readonly random: () => number;
  readonly meter?: Meter;
  /** If set, the name in the worker's certificate must be the worker's id. */
  readonly tls?: TlsIdentity;
}
