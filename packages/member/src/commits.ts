/** The owner's appends: one on its way at a time, each repeated until its fate is known. */

import { brandAs } from '@bamboowell/types/ids';
import type { Term } from '@bamboowell/types/job';
import type { JobBatch } from '@bamboowell/jobs/messages';
import type { AppendCondition, ProducerEpoch, ProducerSequence, StoreWrite } from './store.js';

/** Most bytes of values in one append; the platform takes 2 MB in a call. */
const MAX_APPEND_BYTES = 1_000_000;

/** One append and what is known once it is in the store. */
export interface PlannedAppend {
  readonly writes: readonly StoreWrite[];
  readonly condition: AppendCondition;
}

interface Chunk {
  readonly writes: readonly StoreWrite[];
  /** Set on the last chunk of a batch. */
  readonly batch: number | undefined;
}

export class Commits {
  private readonly chunks: Chunk[] = [];
  private sequence = 1;
  private isSent = false;

  constructor(private readonly term: Term) {}

  /** Whether nothing waits to be appended. */
  get isIdle(): boolean {
    return this.chunks.length === 0;
  }

  /** Adds writes that belong to no batch. */
  addWrites(writes: readonly StoreWrite[]): void {
    this.chunks.push({ writes, batch: undefined });
  }

  addBatch({ number, writes }: JobBatch): void {
    const texts = writes.map(({ key, value }) => ({
      key,
      value: value === undefined ? undefined : JSON.stringify(value),
    }));
    const parts = split(texts);
    parts.forEach((part, index) => {
      this.chunks.push({ writes: part, batch: index === parts.length - 1 ? number : undefined });
    });
  }

  /** The append to send now, or nothing while one is on its way or none is due. */
  next(): PlannedAppend | undefined {
    const chunk = this.chunks[0];
    if (chunk === undefined || this.isSent) {
      return undefined;
    }
    this.isSent = true;
    return {
      writes: chunk.writes,
      condition: {
        kind: 'producer',
        epoch: brandAs<ProducerEpoch>(this.term),
        sequence: brandAs<ProducerSequence>(this.sequence),
      },
    };
  }

  /** The append got no usable answer: the same one has to be sent again. */
  unanswered(): void {
    this.isSent = false;
  }

  /** The store has it; returns the batch that is complete with it. */
  appended(): number | undefined {
    const chunk = this.chunks.shift();
    this.isSent = false;
    this.sequence += 1;
    return chunk?.batch;
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
