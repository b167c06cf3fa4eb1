/** What a shard's owner is told, and what it asks to be done. */

import type { Configuration } from '@bamboowell/types/declarations';
import type {
  AttemptId,
  Epoch,
  MemberId,
  Sequence,
  TeamId,
  WorkerId,
  WorkId,
} from '@bamboowell/types/ids';
import type { Batch, ShardRecord, Stamped } from '@bamboowell/types/records';
import type { Resources } from '@bamboowell/types/resources';
import type { Deadline } from '@bamboowell/types/time';
import type { Reason, Refusal, Verdict } from '@bamboowell/types/verdict';
import type { Branded } from '@bamboowell/types/ids';
import type { Vm } from '@bamboowell/types/vm';
import type { Work } from '@bamboowell/types/work';
import type { WorkerCommand, WorkerReport } from '@bamboowell/types/worker-messages';
import type { ShardSnapshot } from '@bamboowell/state/shard-fold';

/** Names one request that waits for its answer. */
export type Token = Branded<number, 'Token'>;

/** What a shard holds of a team's upper limit, and what all shards hold together. */
export interface Holding {
  readonly held: Resources;
  readonly total: Resources;
  /** What the shard may use of its holding; less than it where a limit was lowered. */
  readonly allowed: Resources;
}

/** The configuration and the holdings, as of one offset of the stream `cell`. */
export interface CellView {
  readonly configuration: Configuration;
  /** The epoch that last inherited the shard's holdings. */
  readonly epoch: Epoch;
  readonly holdings: ReadonlyMap<TeamId, Holding>;
}

/** Whether this node may act as the shard's owner. */
export interface Authority {
  /** Until then it may start work; already passed means that it may not. */
  readonly freshUntil: Deadline;
  /** Whether it may renew leases: while fresh, and through an outage of the log. */
  readonly mayRenew: boolean;
}

/** The workers that the VM list shows in this shard. */
export interface ShardVm {
  readonly worker: WorkerId;
  readonly vm: Extract<Vm, { role: 'worker' }>;
}

export type Input =
  | { readonly kind: 'restored'; readonly snapshot: ShardSnapshot | undefined }
  | { readonly kind: 'batch'; readonly batch: Batch<ShardRecord> }
  /** These records were never sent to the log and will not be. */
  | { readonly kind: 'rejected'; readonly sequences: readonly Sequence[] }
  | { readonly kind: 'authority'; readonly authority: Authority }
  /** Claims the shard; `votes` are the members that suspect the earlier owner. */
  | { readonly kind: 'claim'; readonly epoch: Epoch; readonly votes: readonly MemberId[] }
  /** Every other member of the region knows the current epoch, or is certainly gone. */
  | { readonly kind: 'epoch_known'; readonly epoch: Epoch }
  | { readonly kind: 'cell'; readonly view: CellView }
  /** A take or give-back was judged by the fold of the cell. */
  | {
      readonly kind: 'holding_settled';
      readonly team: TeamId;
      readonly change: 'take' | 'give_back';
      readonly amount: Resources;
      readonly applied: boolean;
    }
  | { readonly kind: 'workers'; readonly vms: readonly ShardVm[] }
  | { readonly kind: 'report'; readonly report: WorkerReport }
  | {
      readonly kind: 'submit';
      readonly work: Work;
      readonly deadline: Deadline;
      readonly token: Token;
    }
  | {
      readonly kind: 'call';
      readonly work: Work;
      readonly deadline: Deadline;
      readonly token: Token;
    }
  | {
      readonly kind: 'cancel';
      readonly works: readonly WorkId[];
      readonly deadline: Deadline;
      readonly token: Token;
    }
  /** Answer to `withdraw`. */
  | {
      readonly kind: 'withdrawn';
      readonly sequence: Sequence;
      readonly state: 'withdrawn' | 'sent';
    }
  /** Takes no new work from here on and releases the shard when nothing is in hand. */
  | { readonly kind: 'drain' }
  | { readonly kind: 'tick' };

/** What became of one piece of work that was cancelled. */
export interface Cancellation {
  readonly work: WorkId;
  readonly verdict: Verdict;
  readonly reason: Reason | null;
}

/** What a caller is told. */
export type Response =
  | { readonly kind: 'accepted'; readonly work: WorkId; readonly repeated: boolean }
  | {
      readonly kind: 'called';
      readonly answer: string;
      readonly worker: WorkerId;
      readonly attempt: AttemptId;
    }
  | { readonly kind: 'cancelled'; readonly outcomes: readonly Cancellation[] };

export type Output =
  | { readonly kind: 'append'; readonly records: readonly Stamped<ShardRecord>[] }
  | { readonly kind: 'withdraw'; readonly sequence: Sequence }
  | { readonly kind: 'command'; readonly worker: WorkerId; readonly command: WorkerCommand }
  | { readonly kind: 'respond'; readonly token: Token; readonly response: Response }
  | { readonly kind: 'refuse'; readonly token: Token; readonly refusal: Refusal }
  | { readonly kind: 'inherit'; readonly epoch: Epoch }
  | {
      readonly kind: 'take';
      readonly epoch: Epoch;
      readonly team: TeamId;
      readonly amount: Resources;
    }
  | {
      readonly kind: 'give_back';
      readonly epoch: Epoch;
      readonly team: TeamId;
      readonly amount: Resources;
    }
  /** The work changed; whoever watches it may look again. */
  | { readonly kind: 'changed'; readonly work: WorkId }
  | { readonly kind: 'event'; readonly event: OwnerEvent }
  /** Something is tried again for this reason. */
  | { readonly kind: 'retried'; readonly reason: RetryReason }
  /** The shard was released; the stream may be closed. */
  | { readonly kind: 'released' };

/** Why an attempt is followed by another one. */
export type RetryReason = 'worker_refused' | 'lease_lapsed' | 'preempted';

/** For the event log. */
export interface OwnerEvent {
  readonly name: string;
  readonly fields: Readonly<Record<string, string | number | boolean>>;
}
