/** Schemas of the parameters of the notifications `heartbeat` and `details`. */

import { z } from 'zod';
import type {
  Branded,
  DataCentreId,
  Epoch,
  Incarnation,
  MemberId,
  Offset,
  RegionId,
  ShardId,
  Version,
} from '@bamboowell/types/ids';
import type { Beat, Details } from './heartbeat.js';

/** Maximum length of an id in a heartbeat, characters. */
const MAX_ID_LENGTH = 128;

/** Maximum number of entries in each list of a heartbeat. */
const MAX_LIST_LENGTH = 256;

/** A beat, and the number of the details that apply to it on the same connection. */
export interface BeatParams {
  readonly beat: Beat;
  readonly details: number;
}

/** Details, and their number, which increases on each connection. */
export interface DetailsParams {
  readonly number: number;
  readonly details: Details;
}

function textId<Id extends Branded<string, string>>() {
  return z.custom<Id>(
    (value) => typeof value === 'string' && value.length > 0 && value.length <= MAX_ID_LENGTH,
  );
}

function countId<Id extends Branded<number, string>>() {
  return z.custom<Id>((value) => Number.isSafeInteger(value) && Number(value) >= 0);
}

function listOf<Item extends z.ZodType>(item: Item) {
  return z.array(item).max(MAX_LIST_LENGTH);
}

const count = z.int().nonnegative();
const knownEpoch = z.strictObject({ shard: textId<ShardId>(), epoch: countId<Epoch>() });

const beatParams = z.strictObject({
  details: count,
  beat: z.strictObject({
    member: textId<MemberId>(),
    incarnation: textId<Incarnation>(),
    sequence: z.int().positive(),
    echo: z
      .strictObject({ incarnation: textId<Incarnation>(), sequence: z.int().positive() })
      .nullable(),
    phase: z.enum(['serving', 'leaving', 'left']),
    suspects: listOf(textId<MemberId>()),
    logAnswers: z.boolean(),
    version: countId<Version>(),
    cellUpTo: countId<Offset>(),
    unresolvedClaims: listOf(textId<ShardId>()),
    owned: listOf(knownEpoch.extend({ running: count, waiting: count })),
  }),
});

const detailsParams = z.strictObject({
  number: count,
  details: z.strictObject({
    region: textId<RegionId>(),
    dataCentre: textId<DataCentreId>(),
    hears: listOf(textId<MemberId>()),
    epochs: listOf(knownEpoch),
  }),
});

/** Returns the parameters of `heartbeat`, or undefined if they are malformed. */
export function parseBeat(params: unknown): BeatParams | undefined {
  return beatParams.safeParse(params).data;
}

/** Returns the parameters of `details`, or undefined if they are malformed. */
export function parseDetails(params: unknown): DetailsParams | undefined {
  return detailsParams.safeParse(params).data;
}
