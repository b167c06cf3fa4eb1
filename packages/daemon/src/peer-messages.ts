/** Requests about shards that daemons send to each other, and the wire method for them. */

import { z } from 'zod';
import type { Work } from '@bamboowell/types/work';
import type { ShardId, WorkId } from '@bamboowell/types/ids';
import { REASONS, type Result } from '@bamboowell/types/verdict';

/** Wire method of every request to a shard. */
export const SHARD_METHOD = 'shard';

/** A request to a shard's task, on this daemon or another one. */
export type ShardOperation =
  | { readonly kind: 'submit'; readonly work: Work }
  | { readonly kind: 'call'; readonly work: Work }
  | { readonly kind: 'cancel'; readonly works: readonly WorkId[] }
  | { readonly kind: 'get'; readonly work: WorkId }
  | { readonly kind: 'explain'; readonly work: WorkId }
  | { readonly kind: 'status' };

/** A request as it is sent to another daemon. */
export interface ForwardedRequest {
  readonly shard: ShardId;
  readonly ask: ShardOperation;
  /** Time left until the caller's deadline; the clocks of daemons differ. */
  readonly timeoutMillis: number;
}

const id = z.string().min(1);
const amount = z.int().min(0);

const work = z.object({
  id,
  team: id,
  queue: id,
  requestId: id,
  shape: z.discriminatedUnion('kind', [
    z.object({ kind: z.literal('service'), replicas: amount }),
    z.object({ kind: z.literal('batch'), tasks: amount }),
    z.object({ kind: z.literal('gang'), tasks: amount }),
    z.object({ kind: z.literal('quick_call') }),
  ]),
  urgency: z.enum(['urgent', 'ordinary', 'patient']),
  demand: z.object({ millicores: amount, memoryMib: amount, accelerators: amount, slots: amount }),
  expectedMillis: amount,
  idempotent: z.boolean(),
  checkpointable: z.boolean(),
  payload: z.string(),
});

const requestSchema = z.object({
  shard: id,
  timeoutMillis: z.number().min(0),
  ask: z.discriminatedUnion('kind', [
    z.object({ kind: z.literal('submit'), work }),
    z.object({ kind: z.literal('call'), work }),
    z.object({ kind: z.literal('cancel'), works: z.array(id) }),
    z.object({ kind: z.literal('get'), work: id }),
    z.object({ kind: z.literal('explain'), work: id }),
    z.object({ kind: z.literal('status') }),
  ]),
});

/** The request in a message's parameters; undefined if they are malformed. */
export function parseForwardedRequest(params: unknown): ForwardedRequest | undefined {
  const parsed = requestSchema.safeParse(params);
  return parsed.success ? (parsed.data as unknown as ForwardedRequest) : undefined;
}

const resultSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('done'), value: z.unknown() }),
  z.object({
    kind: z.literal('refused'),
    refusal: z.looseObject({
      verdict: z.enum(['not_run', 'may_have_run', 'ran']),
      reason: z.enum(REASONS),
      detail: z.string(),
    }),
  }),
]);

/** The result in an answer; undefined if it is malformed. */
export function parseResult<Value>(answer: unknown): Result<Value> | undefined {
  const parsed = resultSchema.safeParse(answer);
  return parsed.success ? (parsed.data as unknown as Result<Value>) : undefined;
}
