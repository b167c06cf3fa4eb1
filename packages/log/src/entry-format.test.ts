import { deflateRawSync } from 'node:zlib';
import test from 'ava';
import fc from 'fast-check';
import { brandAs, type Sequence, type WriterId } from '@bamboowell/types/ids';
import type { CellRecord, ShardRecord } from '@bamboowell/types/records';
import { NO_RESOURCES } from '@bamboowell/types/resources';
import type { Codec } from './codec.js';
import { encodeRecord, packEntry, unpackEntry } from './entry-format.js';
import { cellCodec, shardCodec } from './record-codecs.js';

const CHECKPOINT = {
  kind: 'checkpoint',
  id: 'id',
  upTo: 1,
  part: 0,
  parts: 1,
  hash: '0'.repeat(64),
  body: 'text',
};

const TASK = 'work/0';
const ATTEMPT = { id: `${TASK}#1`, task: TASK, worker: 'worker', incarnation: '1' };

const WORK = {
  id: 'work',
  team: 'team',
  queue: 'queue',
  requestId: 'request',
  shape: { kind: 'gang', tasks: 4 },
  urgency: 'urgent',
  demand: { ...NO_RESOURCES, slots: 1 },
  expectedMillis: 10,
  idempotent: false,
  checkpointable: true,
  payload: '{"seat":"A12"}',
};

const SHARD_RECORDS = [
  { kind: 'claim', epoch: 1, owner: 'member', votes: ['other'] },
  { kind: 'release', epoch: 1 },
  { kind: 'accept', epoch: 1, work: WORK },
  { kind: 'cancel', epoch: 1, works: ['work'] },
  { kind: 'place', epoch: 1, attempts: [ATTEMPT] },
  { kind: 'end', epoch: 1, attempt: ATTEMPT.id, outcome: { kind: 'succeeded', answer: 'yes' } },
  { kind: 'end', epoch: 1, attempt: ATTEMPT.id, outcome: { kind: 'stopped', checkpoint: 'c' } },
  { kind: 'end', epoch: 1, attempt: ATTEMPT.id, outcome: { kind: 'lost' } },
  CHECKPOINT,
] as unknown as ShardRecord[];

const HOLDING = { shard: 'shard', epoch: 1, team: 'team', amount: { ...NO_RESOURCES, slots: 2 } };

const CELL_RECORDS = [
  {
    kind: 'change',
    base: 0,
    changes: [
      { kind: 'put_team', team: { id: 'team', share: 2, limit: NO_RESOURCES } },
      {
        kind: 'put_queue',
        queue: { id: 'q', access: { kind: 'open', team: 'team' }, maxWaiting: 9 },
      },
      {
        kind: 'put_queue',
        queue: { id: 'r', access: { kind: 'teams', teams: ['team'] }, maxWaiting: 9 },
      },
      { kind: 'put_key', key: { id: 'key', team: null, secretHash: 'hash', withdrawn: false } },
      { kind: 'withdraw_key', id: 'key' },
      { kind: 'put_data_centre', dataCentre: { id: 'nairobi-1', region: 'nairobi' } },
      { kind: 'remove_data_centre', id: 'nairobi-1' },
      { kind: 'remove_queue', id: 'q' },
      { kind: 'remove_team', id: 'team' },
    ],
  },
  { kind: 'inherit', shard: 'shard', epoch: 1 },
  { kind: 'take', ...HOLDING },
  { kind: 'give_back', ...HOLDING },
  CHECKPOINT,
] as unknown as CellRecord[];

/** An entry with records of two writers. */
function packed<Entry>(records: readonly Entry[], codec: Codec<Entry>): string {
  return packEntry(
    records.map((record, index) =>
      encodeRecord(
        brandAs<WriterId>(`writer${index % 2}`),
        brandAs<Sequence>(index + 1),
        codec.encode(record),
      ),
    ),
  );
}

test('every kind of record survives a round trip in plain and in compressed entries', (t) => {
  const shards = unpackEntry(packed(SHARD_RECORDS, shardCodec()), shardCodec()) ?? [];
  const cells = unpackEntry(packed(CELL_RECORDS, cellCodec()), cellCodec()) ?? [];
  t.deepEqual(
    shards.map(({ record }) => record),
    SHARD_RECORDS,
  );
  t.deepEqual(
    cells.map(({ record }) => record),
    CELL_RECORDS,
  );
  t.deepEqual(
    shards.slice(0, 2).map(({ writer, sequence }) => [writer, sequence]),
    [
      [brandAs<WriterId>('writer0'), brandAs<Sequence>(1)],
      [brandAs<WriterId>('writer1'), brandAs<Sequence>(2)],
    ],
  );
  for (const record of SHARD_RECORDS) {
    const body = packed([record], shardCodec());
    t.true(body.startsWith('{'));
    t.deepEqual(
      unpackEntry(body, shardCodec())?.map((stamped) => stamped.record),
      [record],
    );
  }
});

test('a long entry is compressed', (t) => {
  const records = Array.from({ length: 100 }, () => SHARD_RECORDS).flat();
  const body = packed(records, shardCodec());
  t.true(body.startsWith('deflate:'));
  t.true(body.length < JSON.stringify(records).length / 4);
});

test('an entry with one invalid record is discarded as a whole', (t) => {
  const bad = [
    { kind: 'accept', epoch: 1 },
    { kind: 'accept', epoch: 1, work: { ...WORK, demand: { slots: -1 } } },
    { kind: 'place', epoch: '1', attempts: [ATTEMPT] },
    { kind: 'end', epoch: 1, attempt: 'a', outcome: { kind: 'odd' } },
    { kind: 'odd', epoch: 1 },
  ] as unknown as ShardRecord[];
  for (const record of bad) {
    t.is(unpackEntry(packed([...SHARD_RECORDS, record], shardCodec()), shardCodec()), undefined);
  }
});

test('malformed entries never throw, whether truncated, damaged or too long after decompression', (t) => {
  const body = packed(Array.from({ length: 10 }, () => SHARD_RECORDS).flat(), shardCodec());
  const bomb = `deflate:${deflateRawSync(Buffer.alloc(20_000_000, 32)).toString('base64')}`;
  t.is(unpackEntry(bomb, shardCodec()), undefined);
  fc.assert(
    fc.property(fc.nat(body.length - 1), fc.string({ minLength: 1 }), (at, text) => {
      const cut = unpackEntry(body.slice(0, at), shardCodec());
      unpackEntry(body.slice(0, at) + text + body.slice(at + 1), shardCodec());
      unpackEntry(text, shardCodec());
      return cut === undefined;
    }),
    { seed: 20_261_204, numRuns: 300 },
  );
});
