/**
 * What members tell one another. A heartbeat travels in two notifications: `details`, sent when
 * they change and first on each connection, and `heartbeat`, which names the details that hold.
 */

import {
  brandAs,
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
export const DETAILS_METHOD = 'details';

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

/** The part that changes rarely. */
export interface Details {
  readonly region: RegionId;
  readonly dataCentre: DataCentreId;
  /** Whom the sender has heard. */
  readonly hears: readonly MemberId[];
  readonly epochs: readonly KnownEpoch[];
}

/** The part that is sent every time. */
export interface Beat extends Omit<Report, 'epochs'> {
  readonly member: MemberId;
  readonly incarnation: Incarnation;
  /** Rises with the heartbeats of this incarnation. */
  readonly sequence: number;
  readonly echo: Echo | null;
  readonly phase: Phase;
  readonly suspects: readonly MemberId[];
}

export interface Heartbeat extends Beat, Details {}

/** The part of the details that members of other regions need. */
export function detailsForOtherRegion(details: Details): Details {
  return { ...details, hears: [], epochs: [] };
}

/** The part of a beat that members of other regions need. */
export function beatForOtherRegion(beat: Beat): Beat {
  return { ...beat, unresolvedClaims: [], owned: [] };
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
