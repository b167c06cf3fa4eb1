/** The links of a shard's task to its workers. */

import type { Address } from '@bamboowell/kernel/mailbox';
import type { Watcher } from '@bamboowell/kernel/supervisor';
import type { WorkerId } from '@bamboowell/types/ids';
import { deadlineAfter, MILLIS_PER_SECOND } from '@bamboowell/types/time';
import type { WorkerCommand, WorkerReport } from '@bamboowell/types/worker-messages';
import { RemoteWorker } from '@bamboowell/worker/remote-worker';
import type { Environment } from './environment.js';
import type { WorkerVm } from './shard-messages.js';

type Attach = Extract<WorkerCommand, { kind: 'attach' }>;

interface Link {
  readonly address: WorkerVm['address'];
  readonly task: RemoteWorker;
  attach: Attach;
}

/** Time before a link whose task failed is made again, milliseconds. */
const REOPEN_MILLIS = MILLIS_PER_SECOND;

export class WorkerLinks {
  private readonly links = new Map<WorkerId, Link>();
  private readonly addresses = new Map<WorkerId, WorkerVm['address']>();

  constructor(
    private readonly environment: Environment,
    private readonly reports: Address<WorkerReport>,
    private readonly watcher: Watcher,
  ) {}

  /** Notes where workers are; a link to an address that has changed is replaced. */
  listed(vms: readonly WorkerVm[]): void {
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
    const sent = this.links.get(worker)?.task.send(command);
    if (sent?.kind !== 'done' && command.kind === 'start') {
      this.reports.post({
        kind: 'start_refused',
        worker,
        attempt: command.attempt,
        why: 'not_sent',
      });
    }
  }

  /** Ends all links; the addresses stay known. */
  async closeAll(): Promise<void> {
    const links = [...this.links.values()];
    this.links.clear();
    await Promise.all(links.map(({ task }) => task.stop()));
  }

  private attach(worker: WorkerId, attach: Attach): void {
    const known = this.links.get(worker);
    if (known === undefined) {
      this.open(worker, attach);
      return;
    }
    known.attach = attach;
    known.task.send(attach);
  }

  private open(worker: WorkerId, attach: Attach): void {
    const address = this.addresses.get(worker);
    if (address === undefined) {
      return;
    }
    const { clock, random } = this.environment;
    const task = new RemoteWorker({ worker, address, clock, reports: this.reports, random });
    this.links.set(worker, { address, task, attach });
    void task.start((error) => {
      this.failed(worker, task, error);
    });
    task.send(attach);
  }

  private replace(worker: WorkerId): void {
    const link = this.links.get(worker);
    if (link !== undefined) {
      this.links.delete(worker);
      void link.task.stop();
      this.reports.post({ kind: 'detached', worker });
      this.open(worker, link.attach);
    }
  }

  private failed(worker: WorkerId, task: RemoteWorker, error: unknown): void {
    this.watcher.restarted(task.name, error);
    this.reports.post({ kind: 'detached', worker });
    const { clock } = this.environment;
    clock.wakeAt(deadlineAfter(clock.now(), REOPEN_MILLIS), () => {
      if (this.links.get(worker)?.task === task) {
        this.replace(worker);
      }
    });
  }
}

function isSame(left: WorkerVm['address'], right: WorkerVm['address']): boolean {
  return left.host === right.host && left.port === right.port;
}
