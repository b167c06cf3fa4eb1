import test from 'ava';
import { CellFold } from '@bamboowell/state/cell-fold';
import type { Change } from '@bamboowell/types/declarations';
import {
  brandAs,
  type DataCentreId,
  type Epoch,
  type Offset,
  type RegionId,
  type Sequence,
  type ShardId,
  type TeamId,
  type Version,
  type WriterId,
} from '@bamboowell/types/ids';
import type { CellRecord } from '@bamboowell/types/records';
import type { Resources } from '@bamboowell/types/resources';
import { viewsOf } from './cell-views.js';

const SHARD = brandAs<ShardId>('a');
const LAB = brandAs<TeamId>('lab');

function coresOf(cores: number): Resources {
  return { millicores: cores * 1000, memoryMib: 0, accelerators: 0, slots: 0 };
}

function put(limit: Resources): Change {
  return { kind: 'put_team', team: { id: LAB, share: 1, limit } };
}

function foldOf(...records: readonly CellRecord[]): CellFold {
  const fold = new CellFold();
  for (const [index, record] of records.entries()) {
    const sequence = brandAs<Sequence>(index + 1);
    fold.apply({ writer: brandAs<WriterId>('w'), sequence, record }, brandAs<Offset>(index));
  }
  return fold;
}

function change(base: number, ...changes: readonly Change[]): CellRecord {
  return { kind: 'change', base: brandAs<Version>(base), changes };
}

const epoch = brandAs<Epoch>(1);
const dataCentre = { id: brandAs<DataCentreId>('a'), region: brandAs<RegionId>('r') };
const HELD = [
  change(0, put(coresOf(8)), { kind: 'put_data_centre', dataCentre }),
  { kind: 'inherit', shard: SHARD, epoch },
  { kind: 'take', shard: SHARD, epoch, team: LAB, amount: coresOf(6) },
] as const;

test('a view shows what the shard holds and may use', (t) => {
  const view = viewsOf(foldOf(...HELD)).get(SHARD);
  t.like(view?.holdings.get(LAB), { held: coresOf(6), total: coresOf(6), allowed: coresOf(6) });
});

test('the view of a removed data centre still shows a lowered limit', (t) => {
  const removed = change(1, { kind: 'remove_data_centre', id: dataCentre.id });
  const view = viewsOf(foldOf(...HELD, removed, change(2, put(coresOf(2))))).get(SHARD);
  t.is(view?.configuration.version, brandAs<Version>(3));
  t.deepEqual(view?.holdings.get(LAB)?.allowed, coresOf(2));
});
