/** Measures CPU time and size of the `cell` stream's fold against the number of declarations. */

import { CellFold } from '@bamboowell/state/cell-fold';
import type { Change } from '@bamboowell/types/declarations';
import {
  brandAs,
  type KeyId,
  type Offset,
  type QueueId,
  type Sequence,
  type TeamId,
  type Version,
  type WriterId,
} from '@bamboowell/types/ids';
import type { CellRecord } from '@bamboowell/types/records';
import { amountOf } from './fleets.js';
import { slopeOf } from './slope.js';
import { cpuMicrosOf, heapBytes } from './usage.js';

/** Number of declarations of each kind: teams, queues and keys. */
const SIZES = [77, 300, 1_000, 3_000];
const MEASURED_CHANGES = 1_000;
const LIMIT = amountOf(1_000, 2_000, 100, 100);
const HASH_CHARACTERS = 64;
const WRITER = brandAs<WriterId>('entry-vm-00.0f8e2a4c.cell');

export function measureCellSlopes(): object {
  changeMicros(100);
  return {
    note: 'x is the number of teams, and of queues, and of keys: three declarations for each',
    changeMicrosByEachKind: slopeOf(SIZES, changeMicros),
    snapshotBytesByEachKind: slopeOf(SIZES, snapshotBytes),
    heapBytesByEachKind: slopeOf(SIZES, heapOfFold),
  };
}

/** Applies changes to a fold, each as one record. */
class CellWriter {
  readonly fold = new CellFold();
  private count = 0;

  apply(changes: readonly Change[]): void {
    const base = brandAs<Version>(this.fold.configuration.version);
    const record: CellRecord = { kind: 'change', base, changes };
    const sequence = brandAs<Sequence>(this.count + 1);
    const effect = this.fold.apply({ writer: WRITER, sequence, record }, this.offset());
    if (effect.kind !== 'applied') {
      throw new Error(`a change was ${effect.kind}`);
    }
    this.count += 1;
  }

  private offset(): Offset {
    return brandAs<Offset>(this.count);
  }
}

function writerWith(size: number): CellWriter {
  const writer = new CellWriter();
  for (let number = 0; number < size; number += 1) {
    writer.apply([putTeam(number, 1), putQueue(number), putKey(number)]);
  }
  return writer;
}

function changeMicros(size: number): number {
  const writer = writerWith(size);
  const micros = cpuMicrosOf(() => {
    for (let number = 0; number < MEASURED_CHANGES; number += 1) {
      writer.apply([putTeam(number % size, 2 + number)]);
    }
  });
  return micros / MEASURED_CHANGES;
}

function snapshotBytes(size: number): number {
  return Buffer.byteLength(JSON.stringify(writerWith(size).fold.snapshot()));
}

function heapOfFold(size: number): number {
  const before = heapBytes();
  const writer = writerWith(size);
  const after = heapBytes();
  // Using the fold after the measurement keeps it from being collected before.
  return writer.fold.upTo < 0 ? 0 : after - before;
}

function teamIdOf(number: number): TeamId {
  return brandAs<TeamId>(`team-${String(number).padStart(4, '0')}`);
}

function putTeam(number: number, share: number): Change {
  return { kind: 'put_team', team: { id: teamIdOf(number), share, limit: LIMIT } };
}

function putQueue(number: number): Change {
  const id = brandAs<QueueId>(`queue-${String(number).padStart(4, '0')}`);
  const access = { kind: 'teams' as const, teams: [teamIdOf(number)] };
  return { kind: 'put_queue', queue: { id, access, maxWaiting: 1_000 } };
}

function putKey(number: number): Change {
  const id = brandAs<KeyId>(`key-${String(number).padStart(4, '0')}`);
  const secretHash = String(number).padStart(HASH_CHARACTERS, 'a');
  return {
    kind: 'put_key',
    key: { id, team: teamIdOf(number), secretHash, withdrawn: false },
  };
}
