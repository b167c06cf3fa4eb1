/** How a daemon reaches other processes. Subclasses differ in what carries the messages. */

import type { Address as MailboxAddress } from '@bamboowell/kernel/mailbox';
import type { Dialler } from '@bamboowell/membership/dialler';
import type { WorkerId } from '@bamboowell/types/ids';
import type { Deadline } from '@bamboowell/types/time';
import type { Address } from '@bamboowell/types/vm';
import type { WorkerReport } from '@bamboowell/types/worker-messages';
import type { Connection } from '@bamboowell/wire/connection';
import type { WorkerLink } from '@bamboowell/worker/worker-link';

/** Connections between daemons, in both directions. */
export abstract class Transport {
  abstract readonly dialler: Dialler;

  /** Hands over every connection that another daemon opens. */
  abstract listen(accept: (connection: Connection) => void): Promise<void>;

  /** Takes no further connections; requests in hand may end until the deadline. */
  abstract close(deadline: Deadline): Promise<void>;
}

/** One link that is to be opened. */
export interface LinkPlan {
  readonly worker: WorkerId;
  readonly address: Address;
  /** Gets everything that the worker reports, in its order. */
  readonly reports: MailboxAddress<WorkerReport>;
  /** The link failed and does nothing more. */
  readonly failed: (error: unknown) => void;
}

/** Makes links to workers. */
export abstract class LinkMaker {
  abstract open(plan: LinkPlan): WorkerLink;
}
