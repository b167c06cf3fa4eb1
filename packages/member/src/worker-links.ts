/** The owner's links to workers, one per incarnation of a worker. */

import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import type { Clock } from '@bamboowell/kernel/clock';
import type { Fence, WorkerIncarnation, Term, WorkerRegistration } from '@bamboowell/types/job';
import type { Deadline } from '@bamboowell/types/time';
import { Fences } from './fences.js';
import { maxOrdersUnderWay } from './order-queue.js';
import type { OwnerMessage } from './owner-messages.js';
import type { WorkerPort } from './ports.js';
import { WorkerLinkTask, type WorkerLinkMessage } from './worker-link.js';

export interface WorkerLinksOptions {
  readonly port: WorkerPort;
  readonly term: Term;
  readonly owner: MailboxAddress<OwnerMessage>;
  readonly longestLeaseMillis: number;
  /** How long the tasks of a gang wait for each other on workers. */
  readonly gangAssemblyMillis: number;
  /** Whether leases may be renewed. */
  readonly mayRenew: () => boolean;
  /** Whether a start may be sent to the worker now. */
  readonly mayStart: (registration: WorkerRegistration) => boolean;
}

export class WorkerLinks {
  private readonly links = new Map<WorkerIncarnation, WorkerLinkTask>();
  private readonly fences: Fences;
  /** Messages that are not posted yet. */
  private readonly outbox = new Map<WorkerIncarnation, WorkerLinkMessage[]>();

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
      {
        ...this.options,
        mayStart,
        target,
        nextFence,
        earlierLeaseEnds: lapsesAt,
        maxOrdersUnderWay: () => maxOrdersUnderWay(this.links.size),
      },
      this.clock,
    );
    this.links.set(incarnation, link);
    void link.start();
  }

  /** Adds a message for the link of an incarnation; ignored if there is none any more. `flush` posts it. */
  post(incarnation: WorkerIncarnation, message: WorkerLinkMessage): void {
    if (!this.links.has(incarnation)) {
      return;
    }
    const messages = this.outbox.get(incarnation);
    if (messages === undefined) {
      this.outbox.set(incarnation, [message]);
    } else {
      messages.push(message);
    }
  }

  /** Posts what was added, to each link in one message. What a full mailbox does not take stays for the next time. */
  flush(): void {
    for (const [incarnation, messages] of this.outbox) {
      if (this.links.get(incarnation)?.post({ kind: 'batch', messages }) !== 'full') {
        this.outbox.delete(incarnation);
      }
    }
  }

  close(incarnation: WorkerIncarnation): void {
    const link = this.links.get(incarnation);
    this.links.delete(incarnation);
    this.outbox.delete(incarnation);
    void link?.stop();
  }

  closeAll(): void {
    [...this.links.keys()].forEach((incarnation) => {
      this.close(incarnation);
    });
  }
}
