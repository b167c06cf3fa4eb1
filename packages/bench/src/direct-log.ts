/** An owner's log that is a list in memory: what was appended is read back when asked for. */

import { shardCodec } from '@bamboowell/log/record-codecs';
import { brandAs, type Offset } from '@bamboowell/types/ids';
import type { ShardRecord, Stamped } from '@bamboowell/types/records';
import { OwnerSimulation, OwnerObserver, type OwnerSimulationOptions } from './owner-simulation.js';

export class DirectLog extends OwnerObserver {
  private pending: Stamped<ShardRecord>[] = [];
  private next = 0;
  private readonly codec = shardCodec();

  /** @param isCopying Whether records are read back as new objects, as from a real log. */
  constructor(private readonly isCopying: boolean) {
    super();
  }

  appended(records: readonly Stamped<ShardRecord>[]): void {
    for (const record of records) {
      this.pending.push(record);
    }
  }

  commanded(): void {
    return undefined;
  }

  reported(): void {
    return undefined;
  }

  /** Lets the owner read back one entry with all that it appended; false if there is nothing. */
  readBack(run: OwnerSimulation): boolean {
    if (this.pending.length === 0) {
      return false;
    }
    const records = this.isCopying ? this.pending.map((one) => this.copyOf(one)) : this.pending;
    this.pending = [];
    const offset = brandAs<Offset>(this.next);
    this.next += 1;
    run.step({ kind: 'batch', batch: { offset, records } });
    return true;
  }

  private copyOf(stamped: Stamped<ShardRecord>): Stamped<ShardRecord> {
    const json: unknown = JSON.parse(this.codec.encode(stamped.record));
    return { ...stamped, record: this.codec.decode(json) ?? stamped.record };
  }
}

/** An owner in possession of its shard, with its log. */
export interface OwnerWithLog {
  readonly simulation: OwnerSimulation;
  readonly log: DirectLog;
}

export function newOwnerWithLog(plan: OwnerSimulationOptions, isCopying: boolean): OwnerWithLog {
  const log = new DirectLog(isCopying);
  const run = new OwnerSimulation(plan, log);
  run.claim();
  settle({ simulation: run, log });
  return { simulation: run, log };
}

/** Reads back until the owner appends nothing more and has placed what it can. */
export function settle({ simulation: run, log }: OwnerWithLog): void {
  while (log.readBack(run)) {
    run.tickIfDue();
  }
}
