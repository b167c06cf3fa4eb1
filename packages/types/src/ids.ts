/**
 * Branded ids: each kind of id is a type of its own, so that the compiler rejects one used as
 * another.
 */

declare const brand: unique symbol;

/** A value of type `Value` that carries the compile-time tag `Name`. */
export type Branded<Value, Name extends string> = Value & { readonly [brand]: Name };

export type TeamId = Branded<string, 'TeamId'>;
export type KeyId = Branded<string, 'KeyId'>;
export type QueueId = Branded<string, 'QueueId'>;
/** One submitted work item: a service, a batch, a gang or a quick call. */
export type WorkId = Branded<string, 'WorkId'>;
/** One task of a work item: `<work id>/<index>`. */
export type TaskId = Branded<string, 'TaskId'>;
/** One attempt to run a task: `<task id>#<number>`. Never reused. */
export type AttemptId = Branded<string, 'AttemptId'>;
/** Idempotency key that the caller chooses: a repeat with the same id gets the first answer. */
export type RequestId = Branded<string, 'RequestId'>;
export type WorkerId = Branded<string, 'WorkerId'>;
export type RackId = Branded<string, 'RackId'>;
export type DataCentreId = Branded<string, 'DataCentreId'>;
export type RegionId = Branded<string, 'RegionId'>;
/** The workers of one data centre, or of some of its racks, under one owner. */
export type ShardId = Branded<string, 'ShardId'>;
/** One daemon on one entry VM. */
export type MemberId = Branded<string, 'MemberId'>;
/** One start of a process. A restarted process has a new incarnation. */
export type Incarnation = Branded<string, 'Incarnation'>;
/** One writer of log records: a member's incarnation. */
export type WriterId = Branded<string, 'WriterId'>;
export type StreamName = Branded<string, 'StreamName'>;
/** Position of an entry in a stream of the log. */
export type Offset = Branded<number, 'Offset'>;
/** Sequence number of a record among its writer's records in a stream, from 1. */
export type Sequence = Branded<number, 'Sequence'>;
/**
 * Number of owners that a shard has had. Used as a fencing token: a higher one fences lower ones.
 */
export type Epoch = Branded<number, 'Epoch'>;
/** Number of configuration changes applied so far. */
export type Version = Branded<number, 'Version'>;

/** Casts a plain value to a branded type without a check: the caller makes sure that it is one. */
export function brandAs<Id extends Branded<string | number, string>>(
  value: Id extends Branded<string, string> ? string : number,
): Id {
  return value as unknown as Id;
}

/** The id of a task, from its work and its index. */
export function taskIdOf(work: WorkId, index: number): TaskId {
  return brandAs<TaskId>(`${work}/${index}`);
}

/** The id of an attempt, from its task and its number. */
export function attemptIdOf(task: TaskId, number: number): AttemptId {
  return brandAs<AttemptId>(`${task}#${number}`);
}

/** The id of a work item: `<shard>:<team>:<unique part>`. */
export function workIdFrom(shard: ShardId, team: TeamId, unique: string): WorkId {
  return brandAs<WorkId>(`${shard}:${team}:${unique}`);
}

/** The shard that holds the work. */
export function shardOfWork(work: WorkId): ShardId {
  return brandAs<ShardId>(work.split(':')[0] ?? '');
}

/** The team that the work counts for. */
export function teamOfWork(work: WorkId): TeamId {
  return brandAs<TeamId>(work.split(':')[1] ?? '');
}

/** The work that a task belongs to. */
export function workOfTask(task: TaskId): WorkId {
  return brandAs<WorkId>(task.slice(0, task.lastIndexOf('/')));
}

/** The task that an attempt belongs to. */
export function taskOfAttempt(attempt: AttemptId): TaskId {
  return brandAs<TaskId>(attempt.slice(0, attempt.lastIndexOf('#')));
}

export function nextEpoch(epoch: Epoch): Epoch {
  return brandAs<Epoch>(epoch + 1);
}

export function nextSequence(sequence: Sequence): Sequence {
  return brandAs<Sequence>(sequence + 1);
}
