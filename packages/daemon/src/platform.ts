/** How a daemon reaches other processes. Subclasses differ in what carries the messages. */

import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import type { Dialler } from '@bamboowell/membership/dialler';
import type { MemberId, WorkerId } from '@bamboowell/types/ids';
import type { Deadline } from '@bamboowell/types/time';
import type { Address } from '@bamboowell/types/vm';
import type { WorkerReport } from '@bamboowell/types/worker-messages';
import type { Connection } from '@bamboowell/wire/connection';
import type { TlsIdentity } from '@bamboowell/wire/tls-identity';
import type { WorkerLink } from '@bamboowell/worker/worker-link';

/** Called with an accepted connection, and with the member id in its certificate if it has one. */
export type Accept = (connection: Connection, certified?: MemberId) => void;

/** Connections between daemons, in both directions. */
export abstract class Transport {
  abstract readonly dialler: Dialler;

  /** Passes every connection that another daemon opens to `accept`. */
  abstract listen(accept: Accept): Promise<unknown>;

  /** Replaces the TLS identity for new connections; undefined for a transport without TLS. */
  readonly setIdentity: ((identity: TlsIdentity) => void) | undefined = undefined;

  /** Accepts no further connections; requests in progress may finish until the deadline. */
  abstract close(deadline: Deadline): Promise<void>;
}

/** Options of one link to a worker. */
export interface LinkOptions {
  readonly worker: WorkerId;
  readonly address: Address;
  /** Receives all reports of the worker in order. */
  readonly reports: MailboxAddress<WorkerReport>;
  /** Called when the link has failed for good. */
  readonly failed: (error: unknown) => void;
}

/** Opens links to workers. */
export abstract class LinkMaker {
  abstract open(options: LinkOptions): WorkerLink;
}
