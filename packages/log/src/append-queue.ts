/**
 * The records of one stream that still have to get into the log, in the writer's order.
 *
 * One append is in flight at a time. If its outcome is not known, the same text is appended again
 * and later records wait, because readers take a sequence below the highest seen for a repeat.
 */

import type { Sequence, WriterId } from '@bamboowell/types/ids';
import { packEntry, type EncodedRecord } from './entry-format.js';

/** Bounds of the records that wait, and of one append. */
export const MAX_QUEUED_RECORDS = 20_000;
export const MAX_QUEUED_BYTES = 16_000_000;
export const MAX_APPEND_BYTES = 256_000;
/** A longer record would never be taken by the log. */
export const MAX_RECORD_BYTES = 1_000_000;

/** A record as both its writer and its place identify it. */
export interface Stamp {
  readonly writer: WriterId;
  readonly sequence: Sequence;
}

interface InFlight {
  readonly body: string;
  readonly records: readonly EncodedRecord[];
  readonly part: EncodedRecord | undefined;
  readonly awaited: Set<string>;
  mayHaveRun: boolean;
}

export class AppendQueue {
  /** By sequence, in the order in which they go out. */
  private records = new Map<Sequence, EncodedRecord>();
  private bytes = 0;
  private parts: EncodedRecord[] = [];
  private current: InFlight | undefined;

  /** Whether a checkpoint is still being written. */
  get hasCheckpointParts(): boolean {
    return this.parts.length > 0 || this.current?.part !== undefined;
  }

  /** The number of records that wait and were not sent. */
  get size(): number {
    return this.records.size;
  }

  /** Whether anything is in flight or waits. */
  get hasWork(): boolean {
    return this.current !== undefined || this.records.size > 0 || this.parts.length > 0;
  }

  /** Whether there was room for the record. */
  add(record: EncodedRecord): boolean {
    const isRoom =
      record.bytes <= MAX_RECORD_BYTES &&
      this.records.size < MAX_QUEUED_RECORDS &&
      this.bytes + record.bytes <= MAX_QUEUED_BYTES;
    if (isRoom) {
      this.records.set(record.sequence, record);
      this.bytes += record.bytes;
    }
    return isRoom;
  }

  /** Adds the parts of a checkpoint; one of them goes with each append. */
  addCheckpointParts(parts: readonly EncodedRecord[]): void {
    this.parts.push(...parts);
  }

  /** Takes a record back if it was not sent. */
  withdraw(sequence: Sequence): boolean {
    const record = this.records.get(sequence);
    this.records.delete(sequence);
    this.bytes -= record?.bytes ?? 0;
    return record !== undefined;
  }

  /** The text to append: again that in flight, else what waits, else nothing. */
  nextBody(): string | undefined {
    if (this.current === undefined && this.hasWork) {
      this.current = this.packWaiting();
    }
    return this.current?.body;
  }

  /** The append in flight is in the log. */
  acknowledge(): void {
    this.current = undefined;
  }

  /** The outcome of the append in flight is not known: only the same text may follow it. */
  markUnknown(): void {
    if (this.current !== undefined) {
      this.current.mayHaveRun = true;
    }
  }

  /** The log refused the append in flight. What surely was not taken may be withdrawn again. */
  markRefused(): void {
    if (this.current === undefined || this.current.mayHaveRun) {
      return;
    }
    const { records, part } = this.current;
    this.records = new Map([...records.map(bySequence), ...this.records]);
    this.bytes += sumOf(records);
    this.parts = part === undefined ? this.parts : [part, ...this.parts];
    this.current = undefined;
  }

  /** Notes records read back from the log. Whether this settled the append in flight. */
  readBack(stamps: readonly Stamp[]): boolean {
    if (this.current === undefined) {
      return false;
    }
    for (const stamp of stamps) {
      this.current.awaited.delete(keyOf(stamp));
    }
    if (this.current.awaited.size > 0) {
      return false;
    }
    this.acknowledge();
    return true;
  }

  private packWaiting(): InFlight {
    const records = this.takeThatFit();
    const part = this.parts.shift();
    const all = part === undefined ? records : [...records, part];
    return {
      body: packEntry(all),
      records,
      part,
      awaited: new Set(all.map(keyOf)),
      mayHaveRun: false,
    };
  }

  /** Takes the first records that fit into one append; at least one. */
  private takeThatFit(): EncodedRecord[] {
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
    this.bytes -= sumOf(taken);
    return taken;
  }
}

function bySequence(record: EncodedRecord): [Sequence, EncodedRecord] {
  return [record.sequence, record];
}

function keyOf(stamp: Stamp): string {
  return `${stamp.sequence} ${stamp.writer}`;
}

function sumOf(records: readonly EncodedRecord[]): number {
  return records.reduce((sum, record) => sum + record.bytes, 0);
}
