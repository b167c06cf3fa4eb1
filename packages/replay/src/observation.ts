/** Observations of a run, in the order in which they occur: the only input of the checks. */

import { z } from 'zod';

const amount = z.number();
const resources = z.object({
  millicores: amount,
  memoryMib: amount,
  accelerators: amount,
  slots: amount,
});
const verdict = z.enum(['done', 'not_run', 'may_have_run', 'ran']);
const at = z.number();

/** An observation at time `at`, in milliseconds since the start of the trace. */
export const observation = z.discriminatedUnion('saw', [
  /** A worker with its capacity. */
  z.object({ at, saw: z.literal('worker'), worker: z.string(), capacity: resources }),
  /** An attempt started. `request` names the caller's request that its work came from. */
  z.object({
    at,
    saw: z.literal('run'),
    worker: z.string(),
    attempt: z.string(),
    task: z.string(),
    team: z.string(),
    request: z.string(),
    demand: resources,
    idempotent: z.boolean(),
  }),
  /** An attempt stopped running. `answer` is its result, or null if it gave none. */
  z.object({
    at,
    saw: z.literal('run_ended'),
    worker: z.string(),
    attempt: z.string(),
    answer: z.string().nullable(),
  }),
  /** A daemon received a caller's request. */
  z.object({
    at,
    saw: z.literal('request'),
    request: z.string(),
    daemon: z.string(),
    key: z.string().nullable(),
    queue: z.string(),
    kind: z.enum(['submit', 'call']),
  }),
  /** A caller received the answer. `lost`: the connection ended without one. */
  z.object({
    at,
    saw: z.literal('answer'),
    request: z.string(),
    verdict: z.union([verdict, z.literal('lost')]),
    reason: z.string().nullable(),
    answer: z.string().nullable(),
    work: z.string().nullable(),
  }),
  /** A daemon has a version of the configuration in force. */
  z.object({
    at,
    saw: z.literal('configuration'),
    daemon: z.string(),
    version: z.number(),
    limits: z.record(z.string(), resources),
    /** Team of each key that is not withdrawn. */
    keys: z.record(z.string(), z.string()),
    openQueues: z.array(z.string()),
  }),
  /** An operator received confirmation that a version was applied. */
  z.object({ at, saw: z.literal('applied'), version: z.number() }),
  /** A worker, with all that runs on it, was frozen or resumed. */
  z.object({
    at,
    saw: z.literal('worker_is'),
    worker: z.string(),
    is: z.enum(['frozen', 'resumed']),
  }),
  /** The platform shows a worker as leaving. */
  z.object({ at, saw: z.literal('leaving'), worker: z.string() }),
  /**
   * A daemon was started, asked to stop, ended, killed, paused or resumed, or its connection to the
   * log was cut (`cut_off`) or restored (`reached`).
   */
  z.object({
    at,
    saw: z.literal('daemon'),
    daemon: z.string(),
    is: z.enum(['up', 'stopping', 'ended', 'killed', 'paused', 'resumed', 'cut_off', 'reached']),
  }),
  /** A daemon became the owner of a shard. */
  z.object({
    at,
    saw: z.literal('owner'),
    daemon: z.string(),
    shard: z.string(),
    epoch: z.number(),
  }),
]);

export type Observation = z.output<typeof observation>;
export type ObservationKind = Observation['saw'];
export type ObservationOf<Kind extends ObservationKind> = Extract<Observation, { saw: Kind }>;
