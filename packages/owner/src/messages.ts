/** Inputs and outputs of a shard's owner. */

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

/** Identifies a request that waits for its answer. */
export type Token = Branded<number, 'Token'>;

/** The part of a team's upper limit that a shard holds, and the sum over all shards. */
export interface Holding {
  readonly held: Resources;
  readonly total: Resources;
  /** What the shard may use of its holding; less than `held` after the limit was lowered. */
  readonly allowed: Resources;
}

/** The configuration and the holdings, as of one offset of the stream `cell`. */
export interface CellView {
  readonly configuration: Configuration;
  /** The epoch of the last owner that took over the shard's holdings (record `inherit`). */
  readonly epoch: Epoch;
  readonly holdings: ReadonlyMap<TeamId, Holding>;
}

/** Whether this process may act as the shard's owner. */
export interface Authority {
  /** Until then it may start work. A deadline that has passed means that it may not. */
  readonly freshUntil: Deadline;
  /** Whether it may renew leases: while it is fresh, and during an outage of the log. */
  readonly mayRenew: boolean;
}

/** A worker of this shard in the VM list. */
export interface ShardVm {
  readonly worker: WorkerId;
  readonly vm: Extract<Vm, { role: 'worker' }>;
}

export type Input =
  | { readonly kind: 'restored'; readonly snapshot: ShardSnapshot | undefined }
  | { readonly kind: 'batch'; readonly batch: Batch<ShardRecord> }
  /** These records were not sent to the log and never will be. */
  | { readonly kind: 'rejected'; readonly sequences: readonly Sequence[] }
  | { readonly kind: 'authority'; readonly authority: Authority }
  /** Claim the shard. `votes` are the members that suspect the earlier owner. */
  | { readonly kind: 'claim'; readonly epoch: Epoch; readonly votes: readonly MemberId[] }
  /** Every other member of the region knows the current epoch or has left. */
  | { readonly kind: 'epoch_known'; readonly epoch: Epoch }
  | { readonly kind: 'cell'; readonly view: CellView }
  /** The fold of the stream `cell` has applied a `take` or `give_back`, or found it void. */
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
  /** Accept no new work, and release the shard once no call or submission is pending. */
  | { readonly kind: 'drain' }
  | { readonly kind: 'tick' };

/** The outcome of cancelling one work item. */
export interface Cancellation {
  readonly work: WorkId;
  readonly verdict: Verdict;
  readonly reason: Reason | null;
}

/** The answer to a request that was carried out. */
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
  /** The work has changed; its watchers should be notified. */
  | { readonly kind: 'changed'; readonly work: WorkId }
  | { readonly kind: 'event'; readonly event: OwnerEvent }
  /** Counts a retry by its reason. */
  | { readonly kind: 'retried'; readonly reason: RetryReason }
  /** The shard was released, and its stream may be closed. */
  | { readonly kind: 'released' };

/** Why an attempt is retried. */
export type RetryReason = 'worker_refused' | 'lease_lapsed' | 'preempted';

/** An entry of the event log. */
export interface OwnerEvent {
  readonly name: string;
  readonly fields: Readonly<Record<string, string | number | boolean>>;
}
