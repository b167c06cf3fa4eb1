/**
 * Records of the log's streams. Their order in the stream decides which of several concurrent
 * writers wins.
 */

import type { Change } from './declarations.js';
import type {
  AttemptId,
  Epoch,
  MemberId,
  Offset,
  Sequence,
  ShardId,
  StreamName,
  TeamId,
  Version,
  WorkId,
  WriterId,
} from './ids.js';
import { brandAs } from './ids.js';
import type { Resources } from './resources.js';
import type { Attempt, Outcome, Work } from './work.js';

/** One part of a snapshot of a stream's state. */
export interface CheckpointPart {
  readonly kind: 'checkpoint';
  /** Id of the snapshot, the same in all its parts. */
  readonly id: string;
  /** The snapshot holds the effect of all entries below this offset. */
  readonly upTo: Offset;
  readonly part: number;
  readonly parts: number;
  /** SHA-256 of the whole snapshot's text, hex. */
  readonly hash: string;
  readonly body: string;
}

/**
 * Records of the stream `cell`: the configuration, and how much of each team's limit each shard
 * holds. They share a stream so that changes of a limit and the amounts taken from it have one
 * order.
 */
export type CellRecord =
  /** Applied only if `base` is the current version. */
  | { readonly kind: 'change'; readonly base: Version; readonly changes: readonly Change[] }
  /**
   * The owner of `epoch` takes over the shard's holdings; later records of lower epochs have no
   * effect.
   */
  | { readonly kind: 'inherit'; readonly shard: ShardId; readonly epoch: Epoch }
  /**
   * Takes a part of the team's limit for the shard. Has no effect if the limit would be exceeded.
   */
  | {
      readonly kind: 'take';
      readonly shard: ShardId;
      readonly epoch: Epoch;
      readonly team: TeamId;
      readonly amount: Resources;
    }
  | {
      readonly kind: 'give_back';
      readonly shard: ShardId;
      readonly epoch: Epoch;
      readonly team: TeamId;
      readonly amount: Resources;
    }
  | CheckpointPart;

/** Records of a shard's stream. All but claims have no effect unless `epoch` is the current one. */
export type ShardRecord =
  /**
   * Has no effect unless `epoch` is the current one plus one. `votes` are the members that suspect
   * the previous owner to have failed.
   */
  | {
      readonly kind: 'claim';
      readonly epoch: Epoch;
      readonly owner: MemberId;
      readonly votes: readonly MemberId[];
    }
  | { readonly kind: 'release'; readonly epoch: Epoch }
  | { readonly kind: 'accept'; readonly epoch: Epoch; readonly work: Work }
  | { readonly kind: 'cancel'; readonly epoch: Epoch; readonly works: readonly WorkId[] }
  /** Written before the start commands are sent. All attempts of a gang are in one record. */
  | { readonly kind: 'place'; readonly epoch: Epoch; readonly attempts: readonly Attempt[] }
  | {
      readonly kind: 'end';
      readonly epoch: Epoch;
      readonly attempt: AttemptId;
      readonly outcome: Outcome;
    }
  | CheckpointPart;

/** A record with its writer and sequence number, by which a repeated append is recognised. */
export interface Stamped<LogRecord> {
  readonly writer: WriterId;
  readonly sequence: Sequence;
  readonly record: LogRecord;
}

/** The records of one append, which share an offset. */
export interface Batch<LogRecord> {
  readonly offset: Offset;
  readonly records: readonly Stamped<LogRecord>[];
}

/**
 * What a fold did with a record: `void` means that the record has no effect. The reasons are stable
 * names that logs and counters use.
 */
export type Effect =
  | { readonly kind: 'applied' }
  | { readonly kind: 'repeated' }
  | { readonly kind: 'void'; readonly reason: VoidReason };

export type VoidReason =
  | 'stale_epoch'
  | 'stale_base'
  | 'over_limit'
  | 'not_held'
  | 'unknown_team'
  | 'unknown_work'
  | 'repeated_request'
  | 'already_ended'
  | 'already_placed'
  | 'invalid_change';

export const CELL_STREAM: StreamName = brandAs<StreamName>('cell');

/** The name of a shard's stream. */
export function streamOfShard(shard: ShardId): StreamName {
  return brandAs<StreamName>(`shard.${shard}`);
}
