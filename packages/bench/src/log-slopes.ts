/** Measures CPU time of writing and reading the log, and size and cost of a shard's checkpoint. */

import {
  encodeRecord,
  packEntry,
  unpackEntry,
  type EncodedRecord,
} from '@bamboowell/log/entry-format';
import { shardCodec } from '@bamboowell/log/record-codecs';
import { splitSnapshot } from '@bamboowell/log/checkpoint-parts';
import { ShardFold } from '@bamboowell/state/shard-fold';
import {
  attemptIdOf,
  brandAs,
  taskIdOf,
  type Offset,
  type Sequence,
  type ShardId,
  type WriterId,
} from '@bamboowell/types/ids';
import type { MemberId } from '@bamboowell/types/ids';
import type { ShardRecord, Stamped } from '@bamboowell/types/records';
import { amountOf } from './fleets.js';
import { EPOCH, incarnationOf, workerOf, workOf } from './owner-plan.js';
import { slopeOf } from './slope.js';
import { cpuMicrosOf } from './usage.js';

const SHARD = brandAs<ShardId>('data-centre-1');
const WRITER = brandAs<WriterId>('entry-vm-00.0f8e2a4c.data-centre-1');
const DEMAND = amountOf(1, 1, 0, 0);
const WORKERS = 1_134;
/** Records of one task: accept, place, end. */
const RECORDS_OF_WORK = 3;
const ENTRY_SIZES = [3, 15, 45, 90];
const RECORDS_MEASURED = 18_000;
const WORKS_OF_SNAPSHOT = [2_000, 5_000, 10_000, 20_000];

export function measureLogSlopes(): object {
  readMicros(15);
  return {
    writeMicrosByRecordsOfEntry: slopeOf(ENTRY_SIZES, writeMicros),
    bytesByRecordsOfEntry: slopeOf(ENTRY_SIZES, entryBytes),
    readMicrosByRecordsOfEntry: slopeOf(ENTRY_SIZES, readMicros),
    checkpointBytesByWorks: slopeOf(WORKS_OF_SNAPSHOT, checkpointBytes),
    checkpointStallMicrosByWorks: slopeOf(WORKS_OF_SNAPSHOT, checkpointStallMicros),
    checkpointPackMicrosByWorks: slopeOf(WORKS_OF_SNAPSHOT, checkpointPackMicros),
  };
}

/** Accept, place and end records of `works` work items, in this order for each. */
function recordsOf(works: number): Stamped<ShardRecord>[] {
  const records: ShardRecord[] = [];
  for (let number = 0; number < works; number += 1) {
    const work = workOf(SHARD, number, DEMAND, { kind: 'batch', tasks: 1 });
    const task = taskIdOf(work.id, 0);
    const id = attemptIdOf(task, 1);
    const worker = workerOf(SHARD, number % WORKERS);
    const attempt = { id, task, worker, incarnation: incarnationOf(worker) };
    records.push({ kind: 'accept', epoch: EPOCH, work });
    records.push({ kind: 'place', epoch: EPOCH, attempts: [attempt] });
    const outcome = { kind: 'succeeded' as const, answer: 'done' };
    records.push({ kind: 'end', epoch: EPOCH, attempt: id, outcome });
  }
  return records.map((record, index) => ({
    writer: WRITER,
    sequence: brandAs<Sequence>(index + 2),
    record,
  }));
}

function encoded(records: readonly Stamped<ShardRecord>[]): EncodedRecord[] {
  const codec = shardCodec();
  return records.map(({ writer, sequence, record }) =>
    encodeRecord(writer, sequence, codec.encode(record)),
  );
}

/** Entries of `size` records each. */
function entriesOf(size: number): string[] {
  const records = recordsOf(RECORDS_MEASURED / RECORDS_OF_WORK);
  const entries: string[] = [];
  for (let first = 0; first < records.length; first += size) {
    entries.push(packEntry(encoded(records.slice(first, first + size))));
  }
  return entries;
}

/** CPU time to encode, pack and compress one entry. */
function writeMicros(size: number): number {
  const records = recordsOf(RECORDS_MEASURED / RECORDS_OF_WORK);
  const micros = cpuMicrosOf(() => {
    for (let first = 0; first < records.length; first += size) {
      packEntry(encoded(records.slice(first, first + size)));
    }
  });
  return (micros * size) / RECORDS_MEASURED;
}

function entryBytes(size: number): number {
  const entries = entriesOf(size);
  const bytes = entries.reduce((sum, entry) => sum + Buffer.byteLength(entry), 0);
  return bytes / entries.length;
}

/** CPU time to decompress, decode, check and fold one entry. */
function readMicros(size: number): number {
  const entries = entriesOf(size);
  const fold = ownedFold();
  const codec = shardCodec();
  const micros = cpuMicrosOf(() => {
    for (const [index, entry] of entries.entries()) {
      for (const stamped of unpackEntry(entry, codec) ?? []) {
        fold.apply(stamped, brandAs<Offset>(index + 1));
      }
    }
  });
  return micros / entries.length;
}

function ownedFold(): ShardFold {
  const fold = new ShardFold();
  const owner = brandAs<MemberId>('entry-vm-00');
  const claim: ShardRecord = { kind: 'claim', epoch: EPOCH, owner, votes: [] };
  const sequence = brandAs<Sequence>(1);
  fold.apply({ writer: WRITER, sequence, record: claim }, brandAs<Offset>(0));
  return fold;
}

/** A fold with `works` running work items. */
function foldWith(works: number): ShardFold {
  const fold = ownedFold();
  const running = recordsOf(works).filter(({ record }) => record.kind !== 'end');
  for (const stamped of running) {
    fold.apply(stamped, brandAs<Offset>(1));
  }
  return fold;
}

/** Bytes of the entries that hold the parts of a checkpoint. */
function checkpointBytes(works: number): number {
  const entries = partsOf(foldWith(works)).map((part) => packEntry([part]));
  return entries.reduce((sum, entry) => sum + Buffer.byteLength(entry), 0);
}

/** CPU time of the part of a checkpoint during which the owner is blocked. */
function checkpointStallMicros(works: number): number {
  const fold = foldWith(works);
  return cpuMicrosOf(() => {
    partsOf(fold);
  });
}

/** CPU time of packing a checkpoint's parts, which is spread over one append for each part. */
function checkpointPackMicros(works: number): number {
  const parts = partsOf(foldWith(works));
  return cpuMicrosOf(() => {
    for (const part of parts) {
      packEntry([part]);
    }
  });
}

function partsOf(fold: ShardFold): EncodedRecord[] {
  const parts = splitSnapshot(JSON.stringify(fold.snapshot()));
  return parts.map((part, index) =>
    encodeRecord(WRITER, brandAs<Sequence>(index + 1), JSON.stringify(part)),
  );
}
