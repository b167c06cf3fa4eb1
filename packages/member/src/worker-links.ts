/** The owner's links to workers, by the life that each one is for. */

import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import type { Clock } from '@bamboowell/kernel/clock';
import type { WorkerIncarnation, Term, WorkerRegistration } from '@bamboowell/types/job';
import type { Deadline } from '@bamboowell/types/time';
import type { OwnerMessage } from './owner-messages.js';
import type { WorkerPort } from './ports.js';
import { WorkerLinkTask, type WorkerLinkMessage } from './worker-link.js';

export interface WorkerLinksOptions {
  readonly port: WorkerPort;
  readonly term: Term;
  readonly owner: MailboxAddress<OwnerMessage>;
  readonly longestLeaseMillis: number;
  /** Whether leases may still be renewed. */
  readonly mayRenew: () => boolean;
}

export class WorkerLinks {
  private readonly links = new Map<WorkerIncarnation, WorkerLinkTask>();

  constructor(
    private readonly options: WorkerLinksOptions,
    private readonly clock: Clock,
  ) {}

  /** Begins to talk to a worker; an earlier owner's lease there may run until `lapsesAt`. */
  open({ id, incarnation, address }: WorkerRegistration, lapsesAt: Deadline): void {
    const target = { id, incarnation, address };
    const link = new WorkerLinkTask(
      { ...this.options, target, earlierLeaseEnds: lapsesAt },
      this.clock,
    );
    this.links.set(incarnation, link);
    void link.start();
  }

  /** Hands a message to the link of a life; one that is over needs none. */
  post(incarnation: WorkerIncarnation, message: WorkerLinkMessage): void {
    this.links.get(incarnation)?.post(message);
  }

  close(incarnation: WorkerIncarnation): void {
    const link = this.links.get(incarnation);
    this.links.delete(incarnation);
    void link?.stop();
  }

  closeAll(): void {
    [...this.links.keys()].forEach((incarnation) => {
      this.close(incarnation);
    });
  }
}
