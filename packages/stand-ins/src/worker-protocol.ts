/** Messages that the worker stand-in accepts. WORKER.md describes the protocol. */

import { z } from 'zod';
import { brandAs, type AttemptId, type Epoch } from '@bamboowell/types/ids';
import type { WorkerInstant } from '@bamboowell/types/time';

const amount = z.number().int().nonnegative();
const attempt = z
  .string()
  .min(1)
  .transform((value) => brandAs<AttemptId>(value));
const epoch = amount.transform((value) => brandAs<Epoch>(value));
const workerInstant = z.number().transform((value) => brandAs<WorkerInstant>(value));

const resources = z.object({
  millicores: amount,
  memoryMib: amount,
  accelerators: amount,
  slots: amount,
});

export const ATTACH = z.object({ epoch, shard: z.string(), member: z.string() });

export const START = z.object({
  epoch,
  attempt,
  demand: resources,
  payload: z.string(),
  startBy: workerInstant,
  leaseUntil: workerInstant,
  checkpoint: z.string().optional(),
});

export type Start = z.infer<typeof START>;

export const RENEW = z.object({ epoch, leaseUntil: workerInstant });

export const STOP = z.object({ epoch, attempt, checkpoint: z.boolean() });

export const THROTTLE = z.object({ epoch, attempt });

export const FORGET = z.object({ epoch, attempts: z.array(attempt) });

export const REPORT_AGAIN = z.object({ attempt });

const ALL_SWITCHES = z
  .object({
    /** Existing connections neither send nor read, though they stay open; new ones work. */
    silent: z.boolean(),
    /** The worker does nothing, as if its process were suspended. */
    frozen: z.boolean(),
    /** Every attempt that starts fails at once. */
    failEverything: z.boolean(),
    /** Delay before an attempt starts. */
    slowStartMillis: amount,
    /** Number of the next answers that are cut in the middle. */
    cutAnswers: amount,
    /** The worker reports that it is leaving, and refuses starts. */
    leaving: z.boolean(),
    /** `started` and `start_refused` are not sent. */
    dropStartReports: z.boolean(),
  })
  .strict();

/** Faults that can be switched on and off. */
export type Switches = z.infer<typeof ALL_SWITCHES>;

/** A switch that a message leaves out stays as it is. */
export const SWITCHES = ALL_SWITCHES.partial();

export type SwitchChange = z.infer<typeof SWITCHES>;

/** The parameters of `runs`: none. */
export const INSPECT = z.unknown();

export const NO_FAULTS: Switches = {
  silent: false,
  frozen: false,
  failEverything: false,
  slowStartMillis: 0,
  cutAnswers: 0,
  leaving: false,
  dropStartReports: false,
};

/** A payload that says what a task does. Any other payload is returned at once as the answer. */
const PROGRAM = z
  .object({
    millis: z.number().nonnegative(),
    answer: z.string(),
    fail: z.boolean(),
    usage: z.object({ millicores: amount, memoryMib: amount }),
  })
  .partial();

export type Program = z.infer<typeof PROGRAM>;

export function programOf(payload: string): Program {
  try {
    const parsed = PROGRAM.safeParse(JSON.parse(payload));
    return parsed.success ? parsed.data : { answer: payload };
  } catch {
    return { answer: payload };
  }
}
