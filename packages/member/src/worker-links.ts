/** The owner's links to workers, one per incarnation of a worker. */

import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import type { Clock } from '@bamboowell/kernel/clock';
import type { Fence, WorkerIncarnation, Term, WorkerRegistration } from '@bamboowell/types/job';
import type { Deadline } from '@bamboowell/types/time';
import { Fences } from './fences.js';
import type { OwnerMessage } from './owner-messages.js';
import type { WorkerPort } from './ports.js';
import { WorkerLinkTask, type WorkerLinkMessage } from './worker-link.js';

export interface WorkerLinksOptions {
  readonly port: WorkerPort;
  readonly term: Term;
  readonly owner: MailboxAddress<OwnerMessage>;
  readonly longestLeaseMillis: number;
  /** Whether leases may be renewed. */
  readonly mayRenew: () => boolean;
  /** Whether a start may be sent to the worker now. */
  readonly mayStart: (registration: WorkerRegistration) => boolean;
}

export class WorkerLinks {
  private readonly links = new Map<WorkerIncarnation, WorkerLinkTask>();
  private readonly fences: Fences;

  constructor(
    private readonly options: WorkerLinksOptions,
    private readonly clock: Clock,
  ) {
    this.fences = new Fences(options.term);
  }

  /** Opens a link to a worker, where the lease of an earlier owner may run until `lapsesAt`. */
  open(registration: WorkerRegistration, lapsesAt: Deadline): void {
    const { id, incarnation, address } = registration;
    const mayStart = (): boolean => this.options.mayStart(registration);
    const target = { id, incarnation, address };
    const nextFence = (): Fence => this.fences.next();
    const link = new WorkerLinkTask(
      { ...this.options, mayStart, target, nextFence, earlierLeaseEnds: lapsesAt },
      this.clock,
    );
    this.links.set(incarnation, link);
    void link.start();
  }

  /** Posts a message to the link of an incarnation; ignored if there is none any more. */
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
