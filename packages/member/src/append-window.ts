/**
 * Sliding window over the owner's appends: numbered in sequence, a few in flight at a time, each
 * retried until its outcome is known.
 */

import { brandAs } from '@bamboowell/types/ids';
import type { Term } from '@bamboowell/types/job';
import type { JobBatch } from '@bamboowell/jobs/messages';
import type { AppendCondition, ProducerEpoch, ProducerSequence, StoreWrite } from './store.js';

/** Maximum size of the keys and values in one append, bytes; the platform accepts 2 MB per call. */
const MAX_APPEND_BYTES = 1_000_000;

/** Appends in flight at once; the platform recognises retries of the last five. */
const MAX_IN_FLIGHT = 4;

/** An append as it is sent to the store. */
export interface SequencedAppend {
  readonly sequence: ProducerSequence;
  readonly writes: readonly StoreWrite[];
  readonly condition: AppendCondition;
}

interface Chunk {
  readonly sequence: ProducerSequence;
  writes: readonly StoreWrite[];
  /** Batches that are complete once this chunk is stored. */
  readonly batches: number[];
  isSent: boolean;
  /** Called once it is stored. */
  onStored: (() => void) | undefined;
  /** Key of the write that the store rejected by itself, and which the filler replaces. */
  rejectedKey: string | undefined;
}

/** What is known once an append is stored. */
export interface Acknowledgement {
  /** Batches that are complete. */
  readonly batches: number[];
  /** Keys of writes that the store takes in no append, while it takes others. */
  readonly rejectedKeys: string[];
}

export class AppendWindow {
  private readonly chunks: Chunk[] = [];
  private lastSequence = 0;
  /** After a failure only the first chunk is sent, until one is acknowledged. */
  private isRetrying = false;

  constructor(
    private readonly term: Term,
    /** A write that does no harm, in place of one that the store rejects. */
    private readonly filler: StoreWrite,
  ) {}

  /** Whether all writes are stored. */
  get isIdle(): boolean {
    return this.chunks.length === 0;
  }

  /** Whether chunks wait to be sent. */
  get hasUnsent(): boolean {
    return this.chunks.some(({ isSent }) => !isSent);
  }

  /** Whether another append may be in flight. */
  get canSend(): boolean {
    const inFlight = this.chunks.filter(({ isSent }) => isSent).length;
    return inFlight < (this.isRetrying ? 1 : MAX_IN_FLIGHT);
  }

  /** Adds writes that belong to no batch. */
  addWrites(writes: readonly StoreWrite[], onStored?: () => void): void {
    this.add(writes, [], onStored);
  }

  /** Adds a batch. One without writes is complete together with the writes added before it. */
  addBatch({ number, writes }: JobBatch): void {
    const last = this.chunks.at(-1);
    if (writes.length === 0 && last !== undefined) {
      last.batches.push(number);
      return;
    }
    const texts = writes.map(({ key, value }) => ({
      key,
      value: value === undefined ? undefined : JSON.stringify(value),
    }));
    const parts = split(texts);
    parts.forEach((part, index) => {
      this.add(part, index === parts.length - 1 ? [number] : []);
    });
  }

  /** Returns the append to send now; undefined if none waits or enough are in flight. */
  next(): SequencedAppend | undefined {
    const chunk = this.chunks.find(({ isSent }) => !isSent);
    const maySend = chunk !== undefined && (!this.isRetrying || chunk === this.chunks[0]);
    if (!maySend || !this.canSend) {
      return undefined;
    }
    chunk.isSent = true;
    const { sequence, writes } = chunk;
    const epoch = brandAs<ProducerEpoch>(this.term);
    return { sequence, writes, condition: { kind: 'producer', epoch, sequence } };
  }

  /** Schedules a retry of an append that got no usable answer. */
  markFailed(sequence: ProducerSequence): void {
    const chunk = this.chunks.find((each) => each.sequence === sequence);
    if (chunk !== undefined) {
      chunk.isSent = false;
      this.isRetrying = true;
    }
  }

  /** Whether the append is not known to be stored. */
  has(sequence: ProducerSequence): boolean {
    return this.chunks.some((each) => each.sequence === sequence);
  }

  /** Schedules a repeat of all appends that are in flight, the first one before the others. */
  markAllFailed(): void {
    this.chunks.forEach((chunk) => {
      chunk.isSent = false;
    });
    this.isRetrying = this.chunks.length > 0;
  }

  /**
   * The store will never take this append. Looks for the write that it rejects: the first half of the writes
   * keeps the sequence, and the rest is appended last, but for what has been written anew since. A write that
   * is rejected by itself is replaced by the filler, whose answer tells whether the store takes anything.
   * Returns whether the append has changed, so that it can be sent again at once.
   */
  reject(sequence: ProducerSequence): boolean {
    const chunk = this.chunks.find((each) => each.sequence === sequence);
    if (chunk === undefined) {
      return false;
    }
    this.markFailed(sequence);
    const [first, ...others] = chunk.writes;
    if (first === undefined || chunk.rejectedKey !== undefined || first === this.filler) {
      return false;
    }
    if (others.length === 0) {
      chunk.rejectedKey = first.key;
      chunk.onStored = undefined;
      chunk.writes = [this.filler];
      return true;
    }
    const half = Math.ceil(chunk.writes.length / 2);
    const rest = chunk.writes.slice(half);
    chunk.writes = chunk.writes.slice(0, half);
    const later = this.chunks.filter((each) => each.sequence > sequence);
    const rewritten = new Set(later.flatMap(({ writes }) => writes.map(({ key }) => key)));
    const left = rest.filter(({ key }) => !rewritten.has(key));
    this.add(left.length === 0 ? [this.filler] : left, chunk.batches.splice(0));
    return true;
  }

  /** The store has this append and so all before it: removes them. */
  acknowledge(sequence: ProducerSequence): Acknowledgement {
    this.isRetrying = false;
    const count = this.chunks.filter((each) => each.sequence <= sequence).length;
    const stored = this.chunks.splice(0, count);
    stored.forEach(({ onStored }) => onStored?.());
    return {
      batches: stored.flatMap(({ batches }) => batches),
      rejectedKeys: stored.flatMap(({ rejectedKey }) => rejectedKey ?? []),
    };
  }

  private add(writes: readonly StoreWrite[], batches: number[], onStored?: () => void): void {
    this.lastSequence += 1;
    const sequence = brandAs<ProducerSequence>(this.lastSequence);
    this.chunks.push({
      sequence,
      writes,
      batches,
      isSent: false,
      onStored,
      rejectedKey: undefined,
    });
  }
}

function split(writes: readonly StoreWrite[]): StoreWrite[][] {
  const parts: StoreWrite[][] = [[]];
  let bytes = 0;
  for (const write of writes) {
    const size = Buffer.byteLength(write.key) + Buffer.byteLength(write.value ?? '');
    if (bytes > 0 && bytes + size > MAX_APPEND_BYTES) {
      parts.push([]);
      bytes = 0;
    }
    parts.at(-1)?.push(write);
    bytes += size;
  }
  return parts;
}
