/** Records of the log's streams. The order of a stream decides every race. */

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
  /** Names the snapshot; its parts share it. */
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
 * Records of the stream `cell`: the configuration and the holdings of limits.
 * They share a stream so that a limit's change and the takes against it have one order.
 */
export type CellRecord =
  /** Applied only if `base` is the current version. */
  | { readonly kind: 'change'; readonly base: Version; readonly changes: readonly Change[] }
  /** The owner of `epoch` takes over the shard's holdings; lower epochs are void from here on. */
  | { readonly kind: 'inherit'; readonly shard: ShardId; readonly epoch: Epoch }
  /** Void if it would pass the team's limit. */
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

/** Records of a shard's stream. All but claims are void unless `epoch` is the current one. */
export type ShardRecord =
  /** Void unless `epoch` is the current one plus one. `votes` suspect the earlier owner. */
  | {
      readonly kind: 'claim';
      readonly epoch: Epoch;
      readonly owner: MemberId;
      readonly votes: readonly MemberId[];
    }
  | { readonly kind: 'release'; readonly epoch: Epoch }
  | { readonly kind: 'accept'; readonly epoch: Epoch; readonly work: Work }
  | { readonly kind: 'cancel'; readonly epoch: Epoch; readonly works: readonly WorkId[] }
  /** Written before the starts are sent. A gang's attempts stand in one record. */
  | { readonly kind: 'place'; readonly epoch: Epoch; readonly attempts: readonly Attempt[] }
  | {
      readonly kind: 'end';
      readonly epoch: Epoch;
      readonly attempt: AttemptId;
      readonly outcome: Outcome;
    }
  | CheckpointPart;

/** A record with its writer's stamp, by which a repeated append is known. */
export interface Stamped<Entry> {
  readonly writer: WriterId;
  readonly sequence: Sequence;
  readonly record: Entry;
}

/** The records that one append packed, at their offset. */
export interface Batch<Entry> {
  readonly offset: Offset;
  readonly records: readonly Stamped<Entry>[];
}

/** What a fold did with a record. The reasons of `void` are stable names for logs and counters. */
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

/** The stream of a shard. */
export function streamOfShard(shard: ShardId): StreamName {
  return brandAs<StreamName>(`shard.${shard}`);
}
