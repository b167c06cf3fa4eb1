/**
 * Sliding window over the owner's appends: numbered in sequence, a few in flight at a time, each
 * retried until its outcome is known.
 */

import { brandAs } from '@bamboowell/types/ids';
import type { Term } from '@bamboowell/types/job';
import type { JobBatch } from '@bamboowell/jobs/messages';
import type { AppendCondition, ProducerEpoch, ProducerSequence, StoreWrite } from './store.js';

/** Maximum size of the keys and values in one append; the platform accepts 2 MB per call. */
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
  readonly writes: readonly StoreWrite[];
  /** Batches that are complete once this chunk is stored. */
  readonly batches: number[];
  isSent: boolean;
}

export class AppendWindow {
  private readonly chunks: Chunk[] = [];
  private lastSequence = 0;
  /** After a failure only the first chunk is sent, until one is acknowledged. */
  private isRetrying = false;

  constructor(private readonly term: Term) {}

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
  addWrites(writes: readonly StoreWrite[]): void {
    this.add(writes, []);
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

  /**
   * The store has this append and so all before it: removes them and returns the batches that are
   * complete.
   */
  acknowledge(sequence: ProducerSequence): number[] {
    this.isRetrying = false;
    const count = this.chunks.filter((each) => each.sequence <= sequence).length;
    return this.chunks.splice(0, count).flatMap(({ batches }) => batches);
  }

  private add(writes: readonly StoreWrite[], batches: number[]): void {
    this.lastSequence += 1;
    const sequence = brandAs<ProducerSequence>(this.lastSequence);
    this.chunks.push({ sequence, writes, batches, isSent: false });
  }
}

function split(writes: readonly StoreWrite[]): StoreWrite[][] {
  const parts: StoreWrite[][] = [[]];
  let bytes = 0;
  for (const write of writes) {
    const size = write.key.length + (write.value?.length ?? 0);
    if (bytes > 0 && bytes + size > MAX_APPEND_BYTES) {
      parts.push([]);
      bytes = 0;
    }
    parts.at(-1)?.push(write);
    bytes += size;
  }
  return parts;
}
