/** Zod schemas of the messages of a worker. Anything else is malformed. */

import { z } from 'zod';
import {
  brandAs,
  type AttemptId,
  type DataCentreId,
  type Epoch,
  type Incarnation,
  type RackId,
  type WorkerId,
} from '@bamboowell/types/ids';
import type { WorkerInstant } from '@bamboowell/types/time';

const MAX_ID_LENGTH = 512;

const idText = z.string().min(1).max(MAX_ID_LENGTH);
const amount = z.number().int().nonnegative();

const attempt = idText.transform((value) => brandAs<AttemptId>(value));
const epoch = amount.transform((value) => brandAs<Epoch>(value));
const workerNow = z.number().transform((value) => brandAs<WorkerInstant>(value));

const resources = z.object({
  millicores: amount,
  memoryMib: amount,
  accelerators: amount,
  slots: amount,
});

const digest = {
  bytes: amount,
  sha256: z.string().regex(/^[0-9a-f]{64}$/),
};

/** An outcome with the digest of the text that it contains. */
export const OUTCOME_WITH_DIGEST = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('succeeded'), answer: z.string(), ...digest }),
  z.object({ kind: z.literal('failed'), detail: z.string() }),
  z.object({ kind: z.literal('stopped') }),
  z.object({ kind: z.literal('checkpointed'), checkpoint: z.string(), ...digest }),
  z.object({ kind: z.literal('never_started') }),
]);

/** The answer to `report_again`. */
export const REPORTED_AGAIN = OUTCOME_WITH_DIGEST;

export type OutcomeWithDigest = z.infer<typeof OUTCOME_WITH_DIGEST>;

const attemptReport = z.object({
  attempt,
  demand: resources,
  state: z.discriminatedUnion('kind', [
    z.object({ kind: z.literal('running') }),
    z.object({ kind: z.literal('ended'), outcome: OUTCOME_WITH_DIGEST }),
  ]),
});

export const ATTACHED = z.object({
  incarnation: idText.transform((value) => brandAs<Incarnation>(value)),
  epoch,
  profile: z.object({
    id: idText.transform((value) => brandAs<WorkerId>(value)),
    dataCentre: idText.transform((value) => brandAs<DataCentreId>(value)),
    rack: idText.transform((value) => brandAs<RackId>(value)),
    capacity: resources,
  }),
  workerNow,
  attempts: z.array(attemptReport),
  leaving: z.boolean(),
});

export type Attached = z.infer<typeof ATTACHED>;

export const FENCED = z.object({ epoch });

export const STARTED = z.object({ attempt });

export const START_REFUSED = z.object({
  attempt,
  why: z.enum(['late', 'no_room', 'leaving', 'fenced']),
});

export const ENDED = z.object({ attempt, outcome: OUTCOME_WITH_DIGEST });

/** Attempts that are not listed use as much as before. Empty lists and `false` are left out. */
export const USAGE = z.object({
  workerNow,
  attempts: z.array(z.object({ attempt, millicores: amount, memoryMib: amount })).default([]),
  leaving: z.boolean().default(false),
});
