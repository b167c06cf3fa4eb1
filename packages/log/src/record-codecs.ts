/** Codecs for the records of the stream `cell` and of the shard streams. */

import { z } from 'zod';
import type { CellRecord, ShardRecord } from '@bamboowell/types/records';
import { JsonCodec, type Codec } from './codec.js';

const id = z.string().min(1);
const count = z.int().min(0);

const resources = z.object({
  millicores: count,
  memoryMib: count,
  accelerators: count,
  slots: count,
});

const checkpoint = z.object({
  kind: z.literal('checkpoint'),
  id,
  upTo: count,
  part: count,
  parts: z.int().min(1),
  hash: z.string().length(64),
  body: z.string(),
});

const access = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('open'), team: id }),
  z.object({ kind: z.literal('teams'), teams: z.array(id) }),
]);

const change = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('put_team'),
    team: z.object({ id, share: z.number().min(0), limit: resources }),
  }),
  z.object({ kind: z.literal('remove_team'), id }),
  z.object({
    kind: z.literal('put_queue'),
    queue: z.object({ id, access, maxWaiting: count }),
  }),
  z.object({ kind: z.literal('remove_queue'), id }),
  z.object({
    kind: z.literal('put_key'),
    key: z.object({ id, team: id.nullable(), secretHash: z.string(), withdrawn: z.boolean() }),
  }),
  z.object({ kind: z.literal('withdraw_key'), id }),
  z.object({ kind: z.literal('put_data_centre'), dataCentre: z.object({ id, region: id }) }),
  z.object({ kind: z.literal('remove_data_centre'), id }),
]);

const holding = { shard: id, epoch: count, team: id, amount: resources };

const cellRecord = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('change'), base: count, changes: z.array(change) }),
  z.object({ kind: z.literal('inherit'), shard: id, epoch: count }),
  z.object({ kind: z.literal('take'), ...holding }),
  z.object({ kind: z.literal('give_back'), ...holding }),
  checkpoint,
]);

/** Maximum number of tasks of one work item that a reader accepts. */
const MAX_TASKS = 1_000_000;
const taskCount = z.int().min(1).max(MAX_TASKS);

const shape = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('service'), replicas: taskCount }),
  z.object({ kind: z.literal('batch'), tasks: taskCount }),
  z.object({ kind: z.literal('gang'), tasks: taskCount }),
  z.object({ kind: z.literal('quick_call') }),
]);

const work = z.object({
  id,
  team: id,
  queue: id,
  requestId: id,
  shape,
  urgency: z.enum(['urgent', 'ordinary', 'patient']),
  demand: resources,
  expectedMillis: z.number().min(0),
  idempotent: z.boolean(),
  checkpointable: z.boolean(),
  payload: z.string(),
});

const attempt = z.object({ id, task: id, worker: id, incarnation: id });

const outcome = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('succeeded'), answer: z.string() }),
  z.object({ kind: z.literal('failed'), detail: z.string() }),
  z.object({ kind: z.literal('stopped'), checkpoint: z.string().optional() }),
  z.object({ kind: z.literal('never_started') }),
  z.object({ kind: z.literal('lost') }),
]);

const shardRecord = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('claim'), epoch: count, owner: id, votes: z.array(id) }),
  z.object({ kind: z.literal('release'), epoch: count }),
  z.object({ kind: z.literal('accept'), epoch: count, work }),
  z.object({ kind: z.literal('cancel'), epoch: count, works: z.array(id) }),
  z.object({ kind: z.literal('place'), epoch: count, attempts: z.array(attempt) }),
  z.object({ kind: z.literal('end'), epoch: count, attempt: id, outcome }),
  checkpoint,
]);

export function cellCodec(): Codec<CellRecord> {
  return new JsonCodec<CellRecord>(cellRecord);
}

export function shardCodec(): Codec<ShardRecord> {
  return new JsonCodec<ShardRecord>(shardRecord);
}
