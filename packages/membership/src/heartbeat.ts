/**
 * Heartbeats between members. A heartbeat is sent as two notifications: `details`, first on each
 * connection and whenever they change, and `heartbeat`, which refers to the current details by
 * number.
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

/**
 * Identifies the newest heartbeat of the receiver that the sender had received when its report was
 * made.
 */
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

/** What a member reports about itself. The daemon's services post it to the members task. */
export interface Report {
  /** Whether the log answered any read or append since the previous report. */
  readonly logAnswers: boolean;
  /**
   * Version of the configuration from the part of the stream `cell` that is folded, which ends at
   * `cellUpTo`.
   */
  readonly version: Version;
  readonly cellUpTo: Offset;
  readonly unresolvedClaims: readonly ShardId[];
  readonly epochs: readonly KnownEpoch[];
  readonly owned: readonly OwnedShard[];
}

/**
 * The report before anything is known. It says that the log answers, which is the cautious
 * assumption.
 */
export const FIRST_REPORT: Report = {
  logAnswers: true,
  version: brandAs<Version>(0),
  cellUpTo: brandAs<Offset>(0),
  unresolvedClaims: [],
  epochs: [],
  owned: [],
};

/** `leaving`: gets no new shards. `left`: this incarnation no longer owns or claims anything. */
export type Phase = 'serving' | 'leaving' | 'left';

/** The part of a heartbeat that changes rarely. */
export interface Details {
  readonly region: RegionId;
  readonly dataCentre: DataCentreId;
  /** The members from which the sender has received a heartbeat. */
  readonly hears: readonly MemberId[];
  readonly epochs: readonly KnownEpoch[];
}

/** The part of a heartbeat that is sent every time. */
export interface Beat extends Omit<Report, 'epochs'> {
  readonly member: MemberId;
  readonly incarnation: Incarnation;
  /** Increases with each heartbeat of this incarnation. */
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

/** Whether both sets contain the same members. */
export function sameMembers(left: ReadonlySet<MemberId>, right: ReadonlySet<MemberId>): boolean {
  return left.size === right.size && [...left].every((member) => right.has(member));
}

/**
 * Whether the heartbeat changes anything on which others base decisions, apart from showing that
 * the member is alive.
 */
export function changesView(before: Heartbeat, after: Heartbeat): boolean {
  return (
    before.incarnation !== after.incarnation ||
    before.phase !== after.phase ||
    !sameMembers(new Set(before.suspects), new Set(after.suspects)) ||
    !sameMembers(new Set(before.hears), new Set(after.hears))
  );
}
