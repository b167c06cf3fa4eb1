/** The heartbeat that members send one another: the body of the notification `heartbeat`. */

import { z } from 'zod';
import {
  brandAs,
  type Branded,
  type DataCentreId,
  type Epoch,
  type Incarnation,
  type MemberId,
  type Offset,
  type RegionId,
  type ShardId,
  type Version,
} from '@bamboowell/types/ids';

export const HEARTBEAT_METHOD = 'heartbeat';

/** Longest id in a heartbeat, characters. */
const MAX_ID_LENGTH = 128;

/** Most entries in each list of a heartbeat. */
const MAX_LIST_LENGTH = 256;

/** The newest heartbeat of the receiver that the sender had received. */
export interface Echo {
  readonly incarnation: Incarnation;
  readonly sequence: number;
}

/** A shard that the sender owns, with the load that it carries. */
export interface OwnedShard {
  readonly shard: ShardId;
  readonly epoch: Epoch;
  readonly running: number;
  readonly waiting: number;
}

/** The epoch of a shard whose stream the sender has read to its end. */
export interface KnownEpoch {
  readonly shard: ShardId;
  readonly epoch: Epoch;
}

/** What a member tells of itself. The daemon's services hand it to the members task. */
export interface Report {
  /** Whether the log answered any read or append since the report before. */
  readonly logAnswers: boolean;
  /** How much of the stream `cell` is folded, and the version that it gives. */
  readonly version: Version;
  readonly cellUpTo: Offset;
  readonly unresolvedClaims: readonly ShardId[];
  readonly epochs: readonly KnownEpoch[];
  readonly owned: readonly OwnedShard[];
}

/** Nothing is known yet: the log is said to answer, which is the cautious report. */
export const FIRST_REPORT: Report = {
  logAnswers: true,
  version: brandAs<Version>(0),
  cellUpTo: brandAs<Offset>(0),
  unresolvedClaims: [],
  epochs: [],
  owned: [],
};

/** `leaving`: gets no new shards. `left`: this incarnation owns and claims nothing any more. */
export type Phase = 'serving' | 'leaving' | 'left';

export interface Heartbeat extends Report {
  readonly member: MemberId;
  readonly incarnation: Incarnation;
  readonly region: RegionId;
  readonly dataCentre: DataCentreId;
  /** Counts the heartbeats of this incarnation, from 1. */
  readonly sequence: number;
  readonly echo: Echo | null;
  readonly phase: Phase;
  /** Whom the sender hears. */
  readonly hears: readonly MemberId[];
  readonly suspects: readonly MemberId[];
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

const heartbeatSchema = z.strictObject({
  member: textId<MemberId>(),
  incarnation: textId<Incarnation>(),
  region: textId<RegionId>(),
  dataCentre: textId<DataCentreId>(),
  sequence: z.int().positive(),
  echo: z
    .strictObject({ incarnation: textId<Incarnation>(), sequence: z.int().positive() })
    .nullable(),
  phase: z.enum(['serving', 'leaving', 'left']),
  hears: listOf(textId<MemberId>()),
  suspects: listOf(textId<MemberId>()),
  logAnswers: z.boolean(),
  version: countId<Version>(),
  cellUpTo: countId<Offset>(),
  unresolvedClaims: listOf(textId<ShardId>()),
  epochs: listOf(z.strictObject({ shard: textId<ShardId>(), epoch: countId<Epoch>() })),
  owned: listOf(
    z.strictObject({
      shard: textId<ShardId>(),
      epoch: countId<Epoch>(),
      running: z.int().nonnegative(),
      waiting: z.int().nonnegative(),
    }),
  ),
});

/** The heartbeat in a notification's parameters, or nothing if they are malformed. */
export function parseHeartbeat(params: unknown): Heartbeat | undefined {
  const parsed = heartbeatSchema.safeParse(params);
  return parsed.success ? parsed.data : undefined;
}

/** Whether both hold the same members. */
export function sameMembers(left: ReadonlySet<MemberId>, right: ReadonlySet<MemberId>): boolean {
  return left.size === right.size && [...left].every((member) => right.has(member));
}

/** Whether the heartbeat tells something that others decide by, beyond its being alive. */
export function changesView(before: Heartbeat, after: Heartbeat): boolean {
  return (
    before.incarnation !== after.incarnation ||
    before.phase !== after.phase ||
    !sameMembers(new Set(before.suspects), new Set(after.suspects)) ||
    !sameMembers(new Set(before.hears), new Set(after.hears))
  );
}
