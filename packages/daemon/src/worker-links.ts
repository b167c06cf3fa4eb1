/** The links of a shard's task to its workers. */

import type { Clock } from '@bamboowell/kernel/clock';
import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import type { Watcher } from '@bamboowell/kernel/supervisor';
import type { WorkerId } from '@bamboowell/types/ids';
import { deadlineAfter, MILLIS_PER_SECOND } from '@bamboowell/types/time';
import type { WorkerCommand, WorkerReport } from '@bamboowell/types/worker-messages';
import type { WorkerLink } from '@bamboowell/worker/worker-link';
import type { LinkMaker } from './platform.js';
import type { WorkerVm } from './shard-messages.js';

type Attach = Extract<WorkerCommand, { kind: 'attach' }>;

interface Link {
  readonly wire: WorkerLink;
  attach: Attach;
}

/** Time before a link that failed is made again, milliseconds. */
const REOPEN_MILLIS = MILLIS_PER_SECOND;

/** What the links work with. */
export interface WorkerLinksParts {
  readonly maker: LinkMaker;
  readonly reports: MailboxAddress<WorkerReport>;
  readonly watcher: Watcher;
  readonly clock: Clock;
}

export class WorkerLinks {
  private readonly links = new Map<WorkerId, Link>();
  private readonly addresses = new Map<WorkerId, WorkerVm['address']>();

  constructor(private readonly parts: WorkerLinksParts) {}

  /** Notes where workers are; a link to an address that has changed is replaced. */
  updateFromVmList(vms: readonly WorkerVm[]): void {
    for (const { worker, address } of vms) {
      const before = this.addresses.get(worker);
      this.addresses.set(worker, address);
      if (before !== undefined && !isSame(before, address)) {
        this.replace(worker);
      }
    }
  }

  /** Hands a command to the worker. A start that can't be sent is reported as refused. */
  send(worker: WorkerId, command: WorkerCommand): void {
    if (command.kind === 'attach') {
      this.attach(worker, command);
      return;
    }
    const sent = this.links.get(worker)?.wire.send(command);
    if (sent?.kind !== 'done' && command.kind === 'start') {
      const { attempt } = command;
      this.parts.reports.post({ kind: 'start_refused', worker, attempt, why: 'not_sent' });
    }
  }

  /** Ends all links; the addresses stay known. */
  async closeAll(): Promise<void> {
    const links = [...this.links.values()];
    this.links.clear();
    await Promise.all(links.map(({ wire }) => wire.close()));
  }

  private attach(worker: WorkerId, attach: Attach): void {
    const known = this.links.get(worker);
    if (known === undefined) {
      this.open(worker, attach);
      return;
    }
    known.attach = attach;
    known.wire.send(attach);
  }

  private open(worker: WorkerId, attach: Attach): void {
    const address = this.addresses.get(worker);
    if (address === undefined) {
      return;
    }
    const wire = this.parts.maker.open({
      worker,
      address,
      reports: this.parts.reports,
      failed: (error) => {
        this.failed(worker, wire, error);
      },
    });
    this.links.set(worker, { wire, attach });
    wire.send(attach);
  }

  private replace(worker: WorkerId): void {
    const link = this.links.get(worker);
    if (link !== undefined) {
      this.links.delete(worker);
      void link.wire.close();
      this.parts.reports.post({ kind: 'detached', worker });
      this.open(worker, link.attach);
    }
  }

  private failed(worker: WorkerId, wire: WorkerLink, error: unknown): void {
    const { watcher, reports, clock } = this.parts;
    watcher.restarted(`worker ${worker}`, error);
    reports.post({ kind: 'detached', worker });
    clock.wakeAt(deadlineAfter(clock.now(), REOPEN_MILLIS), () => {
      if (this.links.get(worker)?.wire === wire) {
        this.replace(worker);
      }
    });
  }
}

function isSame(left: WorkerVm['address'], right: WorkerVm['address']): boolean {
  return left.host === right.host && left.port === right.port;
}
