/** Messages to the shard tasks and to the task that keeps them. */

import type { Reply } from '@bamboowell/kernel/ask';
import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import type { Explanation, ShardView, WorkView } from '@bamboowell/front/backend';
import type { StreamEvent } from '@bamboowell/log/stream-messages';
import type { MembersEvent } from '@bamboowell/membership/members-messages';
import type { Response } from '@bamboowell/owner/messages';
import type { Sequence, ShardId, WorkId } from '@bamboowell/types/ids';
import type { ShardRecord } from '@bamboowell/types/records';
import type { Deadline } from '@bamboowell/types/time';
import type { Result } from '@bamboowell/types/verdict';
import type { Vm } from '@bamboowell/types/vm';
import type { Work } from '@bamboowell/types/work';
import type { WorkerReport } from '@bamboowell/types/worker-messages';
import type { CellEvent } from './cell-messages.js';

/** A request to a shard's owner. */
export type ShardRequest =
  | { readonly kind: 'submit'; readonly work: Work; readonly deadline: Deadline }
  | { readonly kind: 'call'; readonly work: Work; readonly deadline: Deadline }
  | { readonly kind: 'cancel'; readonly works: readonly WorkId[]; readonly deadline: Deadline };

/** A read-only request, which the shard's task on any daemon answers from what it has read. */
export type ShardQuery =
  | { readonly kind: 'get'; readonly work: WorkId; readonly reply: Reply<Result<WorkView>> }
  | { readonly kind: 'explain'; readonly work: WorkId; readonly reply: Reply<Result<Explanation>> }
  | { readonly kind: 'status'; readonly reply: Reply<Result<ShardView>> };

/** Notification that a work item has changed. */
export interface WorkChange {
  readonly work: WorkId;
}

export type ShardMessage =
  | {
      readonly kind: 'request';
      readonly request: ShardRequest;
      readonly reply: Reply<Result<Response>>;
    }
  | ShardQuery
  | { readonly kind: 'watch'; readonly work: WorkId; readonly watcher: MailboxAddress<WorkChange> }
  | {
      readonly kind: 'unwatch';
      readonly work: WorkId;
      readonly watcher: MailboxAddress<WorkChange>;
    }
  | { readonly kind: 'stream'; readonly event: StreamEvent<ShardRecord> }
  | { readonly kind: 'members'; readonly event: MembersEvent }
  | { readonly kind: 'cell'; readonly event: CellEvent }
  | { readonly kind: 'workers'; readonly vms: readonly WorkerVm[] }
  | { readonly kind: 'report'; readonly report: WorkerReport }
  /** The outcome of a withdrawal: `sent` if the record may be in the log. */
  | {
      readonly kind: 'withdrawn';
      readonly sequence: Sequence;
      readonly state: 'withdrawn' | 'sent';
    }
  /** Releases the shard. Replies once it is released, or at once if this daemon does not own it. */
  | { readonly kind: 'drain'; readonly reply: Reply<null> }
  | { readonly kind: 'tick' };

export type WorkerVm = Extract<Vm, { role: 'worker' }>;

/** Messages to the task that keeps one task for each shard of the region. */
export type ShardsMessage =
  /** Replies false if the shard is not one of this region or its task does not accept the message. */
  | {
      readonly kind: 'deliver';
      readonly shard: ShardId;
      readonly message: ShardMessage;
      readonly reply: Reply<boolean>;
    }
  | { readonly kind: 'cell'; readonly event: CellEvent }
  | { readonly kind: 'members'; readonly event: MembersEvent }
  | { readonly kind: 'workers_listed'; readonly vms: readonly WorkerVm[] }
  | { readonly kind: 'drain'; readonly reply: Reply<null> };
