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

interface OpenLink {
  readonly workerLink: WorkerLink;
  attach: Attach;
}

/** Delay before a failed link is opened again. */
const REOPEN_DELAY_MILLIS = MILLIS_PER_SECOND;

/** Dependencies of WorkerLinks. */
export interface WorkerLinksParts {
  readonly maker: LinkMaker;
  readonly reports: MailboxAddress<WorkerReport>;
  readonly watcher: Watcher;
  readonly clock: Clock;
}

export class WorkerLinks {
  private readonly links = new Map<WorkerId, OpenLink>();
  private readonly addresses = new Map<WorkerId, WorkerVm['address']>();

  constructor(private readonly parts: WorkerLinksParts) {}

  /** Records the workers' addresses and replaces links whose worker's address has changed. */
  updateFromVmList(vms: readonly WorkerVm[]): void {
    for (const { worker, address } of vms) {
      const before = this.addresses.get(worker);
      this.addresses.set(worker, address);
      if (before !== undefined && !isSameAddress(before, address)) {
        this.replace(worker);
      }
    }
  }

  /** Sends a command to the worker. A start that can't be sent is reported as refused. */
  send(worker: WorkerId, command: WorkerCommand): void {
    if (command.kind === 'attach') {
      this.attach(worker, command);
      return;
    }
    const sent = this.links.get(worker)?.workerLink.send(command);
    if (sent?.kind !== 'done' && command.kind === 'start') {
      const { attempt } = command;
      this.parts.reports.post({ kind: 'start_refused', worker, attempt, why: 'not_sent' });
    }
  }

  /** Closes all links and keeps the addresses. */
  async closeAll(): Promise<void> {
    const links = [...this.links.values()];
    this.links.clear();
    await Promise.all(links.map(({ workerLink }) => workerLink.close()));
  }

  private attach(worker: WorkerId, attach: Attach): void {
    const known = this.links.get(worker);
    if (known === undefined) {
      this.open(worker, attach);
      return;
    }
    known.attach = attach;
    known.workerLink.send(attach);
  }

  private open(worker: WorkerId, attach: Attach): void {
    const address = this.addresses.get(worker);
    if (address === undefined) {
      return;
    }
    const workerLink = this.parts.maker.open({
      worker,
      address,
      reports: this.parts.reports,
      failed: (error) => {
        this.handleFailure(worker, workerLink, error);
      },
    });
    this.links.set(worker, { workerLink, attach });
    workerLink.send(attach);
  }

  private replace(worker: WorkerId): void {
    const link = this.links.get(worker);
    if (link !== undefined) {
      this.links.delete(worker);
      void link.workerLink.close();
      this.parts.reports.post({ kind: 'detached', worker });
      this.open(worker, link.attach);
    }
  }

  private handleFailure(worker: WorkerId, workerLink: WorkerLink, error: unknown): void {
    const { watcher, reports, clock } = this.parts;
    watcher.restarted(`worker ${worker}`, error);
    reports.post({ kind: 'detached', worker });
    clock.wakeAt(deadlineAfter(clock.now(), REOPEN_DELAY_MILLIS), () => {
      if (this.links.get(worker)?.workerLink === workerLink) {
        this.replace(worker);
      }
    });
  }
}

function isSameAddress(left: WorkerVm['address'], right: WorkerVm['address']): boolean {
  return left.host === right.host && left.port === right.port;
}
