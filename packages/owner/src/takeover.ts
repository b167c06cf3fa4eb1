/** Takes over a shard: its work from the fold, and its workers from the VM list. */

import type { Epoch, WorkerId, WorkId } from '@bamboowell/types/ids';
import type { Context } from './context.js';
import type { ShardVm } from './messages.js';
import type { Reports } from './reports.js';
import type { Sessions } from './sessions.js';
import type { WaitingTasks } from './waiting-tasks.js';

/** The parts of the owner that a takeover initialises. */
export interface TakeoverParts {
  readonly sessions: Sessions;
  readonly reports: Reports;
  readonly waiting: WaitingTasks;
}

export class Takeover {
  private vms: readonly ShardVm[] = [];
  /** Workers that were asked to attach under the owned epoch. */
  private readonly attachSent = new Set<WorkerId>();

  constructor(
    private readonly context: Context,
    private readonly parts: TakeoverParts,
  ) {}

  /** Starts ownership in the given epoch. */
  takeOver(epoch: Epoch): void {
    this.context.ownedEpoch = epoch;
    this.context.event('shard_owned', { epoch });
    this.context.emit({ kind: 'inherit', epoch });
    for (const entry of this.context.fold.works.values()) {
      this.resume(entry.work.id);
    }
    this.attachListed();
  }

  /** Sets the workers in the VM list. */
  updateFromVmList(vms: readonly ShardVm[]): void {
    this.vms = vms;
    this.context.listedWorkerCount = vms.length;
    if (this.context.ownedEpoch !== undefined) {
      this.attachListed();
    }
  }

  clear(): void {
    this.attachSent.clear();
  }

  /** Takes over a work item from the fold: its waiting tasks, and its attempts that may run. */
  private resume(work: WorkId): void {
    const entry = this.context.fold.get(work);
    for (const task of entry?.tasks ?? []) {
      if (task.state.kind === 'placed') {
        this.parts.sessions.open(task.state.attempt.worker);
        this.parts.reports.adoptPlaced(task.state.attempt, 'starting');
      }
    }
    if (entry !== undefined) {
      this.parts.waiting.resume(entry);
    }
  }

  /** Attaches each worker once its address is listed, even if it runs work of an earlier owner. */
  private attachListed(): void {
    this.parts.sessions.updateFromVmList(this.vms);
    for (const { worker } of this.vms) {
      this.attach(worker);
    }
  }

  /** Sends `attach` once; the link to the worker repeats it on every new connection. */
  private attach(worker: WorkerId): void {
    const epoch = this.context.ownedEpoch;
    if (epoch !== undefined && !this.attachSent.has(worker)) {
      this.attachSent.add(worker);
      const { shard, member } = this.context.options;
      this.context.command(worker, { kind: 'attach', epoch, shard, member });
    }
  }
}
