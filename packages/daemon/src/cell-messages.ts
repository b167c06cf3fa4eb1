/** Messages to and from the task that keeps the configuration and the shards' holdings. */

import type { Reply } from '@bamboowell/kernel/ask';
import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import type { StreamEvent } from '@bamboowell/log/stream-messages';
import type { MembersEvent } from '@bamboowell/membership/members-messages';
import type { CellSnapshot } from '@bamboowell/state/cell-fold';
import type { CellView } from '@bamboowell/owner/messages';
import type { Change, Configuration } from '@bamboowell/types/declarations';
import type { Epoch, Sequence, ShardId, TeamId, Version } from '@bamboowell/types/ids';
import type { CellRecord } from '@bamboowell/types/records';
import type { Resources } from '@bamboowell/types/resources';
import type { Deadline } from '@bamboowell/types/time';
import type { Result } from '@bamboowell/types/verdict';

export type CellMessage =
  | { readonly kind: 'subscribe'; readonly subscriber: MailboxAddress<CellEvent> }
  | {
      readonly kind: 'apply';
      readonly base: Version;
      readonly changes: readonly Change[];
      readonly deadline: Deadline;
      readonly reply: Reply<Result<Version>>;
    }
  | { readonly kind: 'inherit'; readonly shard: ShardId; readonly epoch: Epoch }
  | {
      readonly kind: 'take' | 'give_back';
      readonly shard: ShardId;
      readonly epoch: Epoch;
      readonly team: TeamId;
      readonly amount: Resources;
    }
  | { readonly kind: 'members'; readonly event: MembersEvent }
  | { readonly kind: 'stream'; readonly event: StreamEvent<CellRecord> }
  | { readonly kind: 'snapshot'; readonly reply: Reply<CellSnapshot> }
  /** Another member's snapshot; undefined if none was received. */
  | { readonly kind: 'handed_over'; readonly snapshot: CellSnapshot | undefined }
  /** Retries rejected records, updates the freshness and reports. */
  | { readonly kind: 'report' }
  /** The deadline of the change with this sequence number has passed. */
  | { readonly kind: 'expire'; readonly sequence: Sequence }
  /** The outcome of a withdrawal: `sent` if the record may be in the log. */
  | {
      readonly kind: 'withdrawn';
      readonly sequence: Sequence;
      readonly state: 'withdrawn' | 'sent';
    };

export type CellEvent =
  /** The configuration or the holdings have changed. */
  | {
      readonly kind: 'cell';
      readonly configuration: Configuration;
      readonly shards: ReadonlyMap<ShardId, CellView>;
    }
  /** The deadline until which the configuration is known to be fresh. */
  | { readonly kind: 'freshness'; readonly freshUntil: Deadline }
  /** A take or give-back was read back from the log; `applied` says whether it took effect. */
  | {
      readonly kind: 'settled';
      readonly shard: ShardId;
      readonly team: TeamId;
      readonly change: 'take' | 'give_back';
      readonly amount: Resources;
      readonly applied: boolean;
    };
