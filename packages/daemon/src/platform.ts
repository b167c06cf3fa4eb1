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

/** Takes a connection, with the name in its certificate where there is one. */
export type Accept = (connection: Connection, certified?: MemberId) => void;

/** Connections between daemons, in both directions. */
export abstract class Transport {
  abstract readonly dialler: Dialler;

  /** Hands over every connection that another daemon opens. */
  abstract listen(accept: Accept): Promise<unknown>;

  /** Uses other keys for new connections; absent where a transport has none. */
  readonly setIdentity: ((identity: TlsIdentity) => void) | undefined = undefined;

  /** Takes no further connections; requests in hand may end until the deadline. */
  abstract close(deadline: Deadline): Promise<void>;
}

/** One link that is to be opened. */
export interface LinkOptions {
  readonly worker: WorkerId;
  readonly address: Address;
  /** Gets everything that the worker reports, in its order. */
  readonly reports: MailboxAddress<WorkerReport>;
  /** The link failed and does nothing more. */
  readonly failed: (error: unknown) => void;
}

/** Makes links to workers. */
export abstract class LinkMaker {
  abstract open(plan: LinkOptions): WorkerLink;
}
