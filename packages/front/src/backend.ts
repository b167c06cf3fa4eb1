/** The interface between the front end and the rest of the daemon, independent of any encoding. */

import type { Change, Configuration } from '@bamboowell/types/declarations';
import type {
  AttemptId,
  DataCentreId,
  KeyId,
  MemberId,
  QueueId,
  RequestId,
  ShardId,
  TaskId,
  TeamId,
  Version,
  WorkerId,
  WorkId,
} from '@bamboowell/types/ids';
import type { Resources } from '@bamboowell/types/resources';
import type { Deadline } from '@bamboowell/types/time';
import type { Reason, Result, Verdict } from '@bamboowell/types/verdict';
import type { Shape, Urgency } from '@bamboowell/types/work';

/** The key that a request was sent with. */
export interface Credentials {
  readonly key: KeyId;
  readonly secret: string;
}

/** A validated request to run work. */
export interface WorkRequest {
  readonly queue: QueueId;
  readonly requestId: RequestId;
  readonly shape: Shape;
  readonly urgency: Urgency;
  readonly demand: Resources;
  readonly expectedMillis: number;
  readonly idempotent: boolean;
  readonly checkpointable: boolean;
  readonly payload: string;
  /** Where to run. Null lets the daemon choose a data centre in its region. */
  readonly dataCentre: DataCentreId | null;
}

export interface Acceptance {
  readonly work: WorkId;
  readonly repeated: boolean;
}

export interface CallAnswer {
  readonly answer: string;
  readonly worker: WorkerId;
  readonly attempt: AttemptId;
}

export type TaskPhase =
  'waiting' | 'starting' | 'running' | 'succeeded' | 'failed' | 'cancelled' | 'lost';

export interface TaskView {
  readonly task: TaskId;
  readonly phase: TaskPhase;
  /** The worker of the latest attempt, empty before the first attempt. */
  readonly worker: string;
  readonly attempts: number;
  readonly answer: string;
  readonly detail: string;
}

export interface WorkView {
  readonly work: WorkId;
  readonly team: TeamId;
  readonly queue: QueueId;
  readonly kind: Shape['kind'];
  readonly ended: boolean;
  readonly tasks: readonly TaskView[];
  readonly shard: ShardId;
}

export interface CancelOutcome {
  readonly work: WorkId;
  readonly verdict: Verdict;
  readonly reason: Reason | null;
}

export interface Explanation {
  readonly view: WorkView;
  readonly sentences: readonly string[];
}

export interface MemberVersion {
  readonly member: MemberId;
  readonly version: Version;
  readonly reachable: boolean;
}

export interface WorkerView {
  readonly worker: WorkerId;
  readonly state: 'attached' | 'detached' | 'leaving' | 'quarantined';
  readonly capacity: Resources;
  readonly used: Resources;
}

export interface TeamView {
  readonly team: TeamId;
  readonly running: Resources;
  readonly held: Resources;
  readonly waiting: number;
}

export interface ShardView {
  readonly shard: ShardId;
  readonly owner: string;
  readonly epoch: number;
  readonly fresh: boolean;
  readonly waiting: number;
  readonly running: number;
  readonly workers: readonly WorkerView[];
  readonly teams: readonly TeamView[];
  /** Why the owner's status is missing; empty if the owner answered. */
  readonly error: string;
}

export interface CellStatus {
  readonly member: MemberId;
  readonly version: Version;
  readonly fresh: boolean;
  readonly shards: readonly ShardView[];
  readonly members: readonly MemberVersion[];
}

/** Who sent a request; null if it was sent without a key. */
export type Sender = Credentials | null;

/**
 * Every call completes by its deadline, with a value or with a refusal whose verdict says correctly
 * whether the work item may have run.
 */
export abstract class Backend {
  abstract submit(
    sender: Sender,
    request: WorkRequest,
    deadline: Deadline,
  ): Promise<Result<Acceptance>>;
  abstract call(
    sender: Sender,
    request: WorkRequest,
    deadline: Deadline,
  ): Promise<Result<CallAnswer>>;
  abstract get(sender: Sender, work: WorkId, deadline: Deadline): Promise<Result<WorkView>>;
  /** Yields the work item after each change, until it has ended or `signal` aborts. */
  abstract watch(
    sender: Sender,
    work: WorkId,
    signal: AbortSignal,
  ): AsyncIterable<Result<WorkView>>;
  abstract cancel(
    sender: Sender,
    works: readonly WorkId[],
    deadline: Deadline,
  ): Promise<Result<readonly CancelOutcome[]>>;
  abstract explain(sender: Sender, work: WorkId, deadline: Deadline): Promise<Result<Explanation>>;
  abstract configuration(
    sender: Sender,
  ): Promise<Result<{ configuration: Configuration; fresh: boolean }>>;
  abstract apply(
    sender: Sender,
    base: Version,
    changes: readonly Change[],
    deadline: Deadline,
  ): Promise<Result<Version>>;
  /** The configuration version of each member; those older than `version` come first. */
  abstract enforcement(sender: Sender, version: Version): Promise<Result<readonly MemberVersion[]>>;
  abstract status(sender: Sender, deadline: Deadline): Promise<Result<CellStatus>>;
}
