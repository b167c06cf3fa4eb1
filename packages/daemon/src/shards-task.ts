/** The task that starts and supervises one task for each shard of its region. */

import { match } from 'ts-pattern';
import type { Reply } from '@bamboowell/kernel/ask';
import { SupervisedTask } from '@bamboowell/kernel/supervisor';
import { Task } from '@bamboowell/kernel/task';
import type { MembersEvent } from '@bamboowell/membership/members-messages';
import { brandAs, type ShardId } from '@bamboowell/types/ids';
import type { CellEvent } from './cell-messages.js';
import type { ShardMessage, ShardsMessage, WorkerVm } from './shard-messages.js';
import { ShardTask, type ShardParts } from './shard-task.js';

export type ShardsParts = Omit<ShardParts, 'shard'>;

export class ShardsTask extends Task<ShardsMessage> {
  private readonly shards = new Map<ShardId, SupervisedTask<ShardMessage>>();
  private lastCell: CellEvent | undefined;
  private lastView: MembersEvent | undefined;
  private vms: readonly WorkerVm[] = [];
  private hasWorkerList = false;

  constructor(private readonly parts: ShardsParts) {
    super('shards', parts.environment.clock);
  }

  protected override async onStop(): Promise<void> {
    await Promise.all([...this.shards.values()].map((shard) => shard.stop()));
  }

  protected receive(message: ShardsMessage): void {
    match(message)
      .with({ kind: 'deliver' }, ({ shard, message: inner, reply }) => {
        const posted = this.shards.get(shard)?.post(inner);
        reply(posted === 'accepted');
      })
      .with({ kind: 'cell' }, ({ event }) => {
        this.handleCellEvent(event);
      })
      .with({ kind: 'members' }, ({ event }) => {
        this.lastView = event.kind === 'view' ? event : this.lastView;
        this.postAll({ kind: 'members', event });
      })
      .with({ kind: 'workers_listed' }, ({ vms }) => {
        this.vms = vms;
        this.hasWorkerList = true;
        for (const [shard, task] of this.shards) {
          task.post({ kind: 'workers', vms: this.vmsOf(shard) });
        }
      })
      .with({ kind: 'drain' }, ({ reply }) => {
        this.releaseAll(reply);
      })
      .exhaustive();
  }

  private handleCellEvent(event: CellEvent): void {
    if (event.kind === 'cell') {
      this.lastCell = event;
      this.startShards(event);
    }
    this.postAll({ kind: 'cell', event });
  }

  private startShards({ configuration }: Extract<CellEvent, { kind: 'cell' }>): void {
    const { region } = this.parts.environment.settings;
    for (const dataCentre of configuration.dataCentres.values()) {
      const shard = brandAs<ShardId>(dataCentre.id);
      if (dataCentre.region === region && !this.shards.has(shard)) {
        this.startShard(shard);
      }
    }
  }

  private startShard(shard: ShardId): void {
    const make = (): ShardTask => {
      const task = new ShardTask({ ...this.parts, shard });
      this.sendCurrentState(task, shard);
      return task;
    };
    const supervised = new SupervisedTask<ShardMessage>(make, this.clock, this.parts.watcher);
    this.shards.set(shard, supervised);
    void supervised.start();
  }

  /** Sends a new task what the other tasks have received already. */
  private sendCurrentState(task: ShardTask, shard: ShardId): void {
    if (this.lastCell !== undefined) {
      task.post({ kind: 'cell', event: this.lastCell });
    }
    if (this.lastView !== undefined) {
      task.post({ kind: 'members', event: this.lastView });
    }
    if (this.hasWorkerList) {
      task.post({ kind: 'workers', vms: this.vmsOf(shard) });
    }
  }

  private vmsOf(shard: ShardId): WorkerVm[] {
    return this.vms.filter((vm) => brandAs<ShardId>(vm.dataCentre) === shard);
  }

  private postAll(message: ShardMessage): void {
    for (const task of this.shards.values()) {
      task.post(message);
    }
  }

  private releaseAll(reply: Reply<null>): void {
    let remaining = this.shards.size;
    if (remaining === 0) {
      reply(null);
    }
    const releasedOne = (): void => {
      remaining -= 1;
      if (remaining === 0) {
        reply(null);
      }
    };
    for (const task of this.shards.values()) {
      if (task.post({ kind: 'drain', reply: releasedOne }) !== 'accepted') {
        releasedOne();
      }
    }
  }
}
