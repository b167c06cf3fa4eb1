/** The owner's appends: a few on their way, in order, each repeated until its fate is known. */

import { brandAs } from '@bamboowell/types/ids';
import type { Term } from '@bamboowell/types/job';
import type { JobBatch } from '@bamboowell/jobs/messages';
import type { AppendCondition, ProducerEpoch, ProducerSequence, StoreWrite } from './store.js';

/** Most bytes of values in one append; the platform takes 2 MB in a call. */
const MAX_APPEND_BYTES = 1_000_000;

/** Appends on their way at once; the platform knows a repeat of the last five. */
const MAX_ON_THEIR_WAY = 4;

/** One append as it is sent. */
export interface SequencedAppend {
  readonly sequence: ProducerSequence;
  readonly writes: readonly StoreWrite[];
  readonly condition: AppendCondition;
}

interface Chunk {
  readonly sequence: ProducerSequence;
  readonly writes: readonly StoreWrite[];
  /** Batches that are complete with it. */
  readonly batches: number[];
  isSent: boolean;
}

export class AppendWindow {
  private readonly chunks: Chunk[] = [];
  private lastSequence = 0;
  /** After a failure only the first is sent, until it is answered. */
  private isProbing = false;

  constructor(private readonly term: Term) {}

  /** Whether everything is in the store. */
  get isIdle(): boolean {
    return this.chunks.length === 0;
  }

  /** Whether something has to be sent before more is taken in. */
  get hasUnsent(): boolean {
    return this.chunks.some(({ isSent }) => !isSent);
  }

  /** Whether one more may be on its way. */
  get canSend(): boolean {
    const onTheirWay = this.chunks.filter(({ isSent }) => isSent).length;
    return onTheirWay < (this.isProbing ? 1 : MAX_ON_THEIR_WAY);
  }

  /** Adds writes that belong to no batch. */
  addWrites(writes: readonly StoreWrite[]): void {
    this.add(writes, []);
  }

  /** A batch without writes is complete with what was added before it. */
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

  /** The append to send now, or nothing while enough are on their way or none is due. */
  next(): SequencedAppend | undefined {
    const chunk = this.chunks.find(({ isSent }) => !isSent);
    const isTurn = chunk !== undefined && (!this.isProbing || chunk === this.chunks[0]);
    if (!isTurn || !this.canSend) {
      return undefined;
    }
    chunk.isSent = true;
    const { sequence, writes } = chunk;
    const epoch = brandAs<ProducerEpoch>(this.term);
    return { sequence, writes, condition: { kind: 'producer', epoch, sequence } };
  }

  /** The append got no usable answer: the same one has to be sent again. */
  markFailed(sequence: ProducerSequence): void {
    const chunk = this.chunks.find((each) => each.sequence === sequence);
    if (chunk !== undefined) {
      chunk.isSent = false;
      this.isProbing = true;
    }
  }

  /** The store has it, and so all before it; returns the batches that are complete. */
  acknowledge(sequence: ProducerSequence): number[] {
    this.isProbing = false;
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
