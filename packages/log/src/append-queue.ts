/**
 * The records of one stream that still have to be appended, in the writer's order.
 *
 * At most one append is in flight. If its outcome is unknown, the same body is appended again and
 * later records wait, because readers treat a sequence number below the highest one seen as a
 * duplicate.
 */

import type { Sequence, WriterId } from '@bamboowell/types/ids';
import { packEntry, type EncodedRecord } from './entry-format.js';

/** Limits of the queue and of one append. */
export const MAX_QUEUED_RECORDS = 20_000;
export const MAX_QUEUED_BYTES = 16_000_000;
export const MAX_APPEND_BYTES = 256_000;
/** The log would refuse a longer record every time. */
export const MAX_RECORD_BYTES = 1_000_000;

/** Identifies a record by its writer and sequence number. */
export interface Stamp {
  readonly writer: WriterId;
  readonly sequence: Sequence;
}

interface InFlight {
  readonly body: string;
  readonly records: readonly EncodedRecord[];
  readonly checkpointPart: EncodedRecord | undefined;
  /** Keys of the records that were not read back yet. */
  readonly unconfirmed: Set<string>;
  /** Whether an earlier attempt with the same body may have taken effect. */
  mayHaveTakenEffect: boolean;
}

export class AppendQueue {
  /** Queued records by sequence number, in the order in which they are sent. */
  private records = new Map<Sequence, EncodedRecord>();
  private bytes = 0;
  private checkpointParts: EncodedRecord[] = [];
  private inFlight: InFlight | undefined;

  /** Whether parts of a checkpoint still have to be appended. */
  get hasCheckpointParts(): boolean {
    return this.checkpointParts.length > 0 || this.inFlight?.checkpointPart !== undefined;
  }

  /** Number of queued records, without those in flight. */
  get size(): number {
    return this.records.size;
  }

  /** Whether anything is queued or in flight. */
  get hasWork(): boolean {
    return this.inFlight !== undefined || this.records.size > 0 || this.checkpointParts.length > 0;
  }

  /** Queues a record. Returns false if it is too long or the queue is full. */
  add(record: EncodedRecord): boolean {
    const hasRoom =
      record.bytes <= MAX_RECORD_BYTES &&
      this.records.size < MAX_QUEUED_RECORDS &&
      this.bytes + record.bytes <= MAX_QUEUED_BYTES;
    if (hasRoom) {
      this.records.set(record.sequence, record);
      this.bytes += record.bytes;
    }
    return hasRoom;
  }

  /** Queues the parts of a checkpoint. Each append carries at most one of them. */
  addCheckpointParts(parts: readonly EncodedRecord[]): void {
    this.checkpointParts.push(...parts);
  }

  /** Removes a record that is not in flight. Returns whether it was found. */
  withdraw(sequence: Sequence): boolean {
    const record = this.records.get(sequence);
    this.records.delete(sequence);
    this.bytes -= record?.bytes ?? 0;
    return record !== undefined;
  }

  /**
   * Returns the body to append: the one in flight if there is one, else a new one from the queue,
   * else undefined.
   */
  nextBody(): string | undefined {
    if (this.inFlight === undefined && this.hasWork) {
      this.inFlight = this.packQueued();
    }
    return this.inFlight?.body;
  }

  /** Records that the append in flight is in the log. */
  acknowledge(): void {
    this.inFlight = undefined;
  }

  /**
   * Records that the outcome of the append in flight is unknown: only the same body may be sent
   * next.
   */
  markUnknown(): void {
    if (this.inFlight !== undefined) {
      this.inFlight.mayHaveTakenEffect = true;
    }
  }

  /**
   * Records that the log refused the append in flight. Its records return to the queue, where they
   * can be withdrawn, unless an earlier attempt may have taken effect.
   */
  markRefused(): void {
    if (this.inFlight === undefined || this.inFlight.mayHaveTakenEffect) {
      return;
    }
    const { records, checkpointPart: part } = this.inFlight;
    this.records = new Map([...records.map(toMapEntry), ...this.records]);
    this.bytes += totalBytes(records);
    this.checkpointParts =
      part === undefined ? this.checkpointParts : [part, ...this.checkpointParts];
    this.inFlight = undefined;
  }

  /**
   * Records what was read back from the log. Returns whether that acknowledged the append in
   * flight.
   */
  readBack(stamps: readonly Stamp[]): boolean {
    if (this.inFlight === undefined) {
      return false;
    }
    for (const stamp of stamps) {
      this.inFlight.unconfirmed.delete(keyOf(stamp));
    }
    if (this.inFlight.unconfirmed.size > 0) {
      return false;
    }
    this.acknowledge();
    return true;
  }

  private packQueued(): InFlight {
    const records = this.takeBatch();
    const part = this.checkpointParts.shift();
    const all = part === undefined ? records : [...records, part];
    return {
      body: packEntry(all),
      records,
      checkpointPart: part,
      unconfirmed: new Set(all.map(keyOf)),
      mayHaveTakenEffect: false,
    };
  }

  /**
   * Removes the first records that fit into one append from the queue; at least one if there are
   * any.
   */
  private takeBatch(): EncodedRecord[] {
    const taken: EncodedRecord[] = [];
    let bytes = 0;
    for (const [sequence, record] of this.records) {
      bytes += record.bytes;
      if (taken.length > 0 && bytes > MAX_APPEND_BYTES) {
        break;
      }
      taken.push(record);
      this.records.delete(sequence);
    }
    this.bytes -= totalBytes(taken);
    return taken;
  }
}

function toMapEntry(record: EncodedRecord): [Sequence, EncodedRecord] {
  return [record.sequence, record];
}

function keyOf(stamp: Stamp): string {
  return `${stamp.sequence} ${stamp.writer}`;
}

function totalBytes(records: readonly EncodedRecord[]): number {
  return records.reduce((sum, record) => sum + record.bytes, 0);
}
