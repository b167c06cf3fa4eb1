/** A task with a shard's owner and the stream that the owner appends to and reads back. */

import { match } from 'ts-pattern';
import type { Clock } from '@bamboowell/kernel/clock';
import { Task } from '@bamboowell/kernel/task';
import type { Log } from '@bamboowell/log/log';
import { shardCodec } from '@bamboowell/log/record-codecs';
import type { StreamEvent, StreamMessage, StreamStats } from '@bamboowell/log/stream-messages';
import { StreamTask } from '@bamboowell/log/stream-task';
import { encodeRecord, packEntry } from '@bamboowell/log/entry-format';
import { brandAs, type ShardId, type WriterId } from '@bamboowell/types/ids';
import { streamOfShard, type ShardRecord, type Stamped } from '@bamboowell/types/records';
import type { Resources } from '@bamboowell/types/resources';
import type { WorkerCommand, WorkerReport } from '@bamboowell/types/worker-messages';
import type { Shape } from '@bamboowell/types/work';
import { OwnerSimulation, OwnerObserver, type OwnerSimulationOptions } from './owner-simulation.js';
import { Traffic } from './traffic.js';
import { commandBytes, reportBytes } from './worker-traffic.js';

export type OwnerTaskMessage =
  | { readonly kind: 'stream'; readonly event: StreamEvent<ShardRecord> }
  /** What callers and workers do in one time step. */
  | {
      readonly kind: 'drive';
      readonly submits: readonly { readonly demand: Resources; readonly shape: Shape }[];
      readonly ends: number;
      readonly heartbeats: readonly number[];
    };

export class OwnerTask extends Task<OwnerTaskMessage> {
  readonly records = new Traffic();
  /** Cost of the same records if each were an append of its own. */
  readonly singleRecordAppends = new Traffic();
  readonly workerLinks = new Traffic();
  private readonly codec = shardCodec();
  private readonly simulation: OwnerSimulation;
  private readonly stream: StreamTask<ShardRecord>;

  constructor(options: OwnerSimulationOptions, log: Log, clock: Clock, appendsPerSecond: number) {
    super(`owner ${options.shard}`, clock);
    this.simulation = new OwnerSimulation(options, this.newObserver());
    this.stream = this.newStream(options.shard, log, appendsPerSecond);
  }

  stats(): Promise<StreamStats> {
    return new Promise((resolve) => {
      this.stream.post({ kind: 'stats', reply: resolve });
    });
  }

  clearTraffic(): void {
    for (const traffic of [this.records, this.singleRecordAppends, this.workerLinks]) {
      traffic.clear();
    }
  }

  protected override async onStart(): Promise<void> {
    await this.stream.start();
    this.simulation.now = this.clock.now();
    this.simulation.claim();
  }

  protected override onStop(): Promise<void> {
    return this.stream.stop();
  }

  protected receive(message: OwnerTaskMessage): void {
    this.simulation.now = this.clock.now();
    match(message)
      .with({ kind: 'stream' }, ({ event }) => {
        this.read(event);
      })
      .with({ kind: 'drive' }, ({ submits, ends, heartbeats }) => {
        for (const { demand, shape } of submits) {
          this.simulation.submit(demand, shape);
        }
        for (let end = 0; end < ends; end += 1) {
          this.simulation.endOldest();
        }
        for (const worker of heartbeats) {
          this.simulation.heartbeat(worker);
        }
      })
      .exhaustive();
    this.simulation.tickIfDue();
  }

  private read(event: StreamEvent<ShardRecord>): void {
    if (event.kind === 'batch') {
      this.simulation.step(event);
    }
  }

  private newStream(shard: ShardId, log: Log, appendsPerSecond: number) {
    return new StreamTask<ShardRecord>({
      name: `stream ${shard}`,
      stream: streamOfShard(shard),
      writer: brandAs<WriterId>(`entry-vm-00.0f8e2a4c.${shard}`),
      log,
      clock: this.clock,
      subscriber: { post: (event) => this.post({ kind: 'stream', event }) },
      codec: this.codec,
      appendsPerSecond,
      random: () => 0.5,
    });
  }

  private newObserver(): OwnerObserver {
    const append = (records: readonly Stamped<ShardRecord>[]): void => {
      this.append(records);
    };
    const count = (kind: string, bytes: number): void => {
      this.workerLinks.add(kind, bytes);
    };
    return new (class extends OwnerObserver {
      appended(records: readonly Stamped<ShardRecord>[]): void {
        append(records);
      }
      commanded(command: WorkerCommand): void {
        count(`to worker: ${command.kind}`, commandBytes(command));
      }
      reported(report: WorkerReport): void {
        count(`from worker: ${report.kind}`, reportBytes(report));
      }
    })();
  }

  private append(records: readonly Stamped<ShardRecord>[]): void {
    const message: StreamMessage<ShardRecord> = { kind: 'append', records };
    this.stream.post(message);
    for (const { writer, sequence, record } of records) {
      const encoded = encodeRecord(writer, sequence, this.codec.encode(record));
      this.records.add(record.kind, Buffer.byteLength(encoded.text));
      this.singleRecordAppends.add(record.kind, Buffer.byteLength(packEntry([encoded])));
    }
  }
}
