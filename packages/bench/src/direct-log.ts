/** An owner's log as a list in memory. The owner reads its appends back when the caller says so. */

import { shardCodec } from '@bamboowell/log/record-codecs';
import { brandAs, type Offset } from '@bamboowell/types/ids';
import type { ShardRecord, Stamped } from '@bamboowell/types/records';
import { OwnerSimulation, OwnerObserver, type OwnerSimulationOptions } from './owner-simulation.js';

export class DirectLog extends OwnerObserver {
  private pending: Stamped<ShardRecord>[] = [];
  private next = 0;
  private readonly codec = shardCodec();

  /** @param copiesRecords Whether records are read back as new objects, as from a real log. */
  constructor(private readonly copiesRecords: boolean) {
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

  /** Lets the owner read back all its appends as one entry. Returns false if there are none. */
  readBack(simulation: OwnerSimulation): boolean {
    if (this.pending.length === 0) {
      return false;
    }
    const records = this.copiesRecords ? this.pending.map((one) => this.copyOf(one)) : this.pending;
    this.pending = [];
    const offset = brandAs<Offset>(this.next);
    this.next += 1;
    simulation.step({ kind: 'batch', batch: { offset, records } });
    return true;
  }

  private copyOf(stamped: Stamped<ShardRecord>): Stamped<ShardRecord> {
    const json: unknown = JSON.parse(this.codec.encode(stamped.record));
    return { ...stamped, record: this.codec.decode(json) ?? stamped.record };
  }
}

/** An owner that has claimed its shard, with its log. */
export interface OwnerWithLog {
  readonly simulation: OwnerSimulation;
  readonly log: DirectLog;
}

export function newOwnerWithLog(
  options: OwnerSimulationOptions,
  copiesRecords: boolean,
): OwnerWithLog {
  const log = new DirectLog(copiesRecords);
  const simulation = new OwnerSimulation(options, log);
  simulation.claim();
  settle({ simulation, log });
  return { simulation, log };
}

/** Lets the owner read back until it appends nothing more and has placed all work that fits. */
export function settle({ simulation, log }: OwnerWithLog): void {
  while (log.readBack(simulation)) {
    simulation.tickIfDue();
  }
}
