/**
 * Starts a cell with the sample declarations, sends it requests, and records what the callers were
 * told.
 */

import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import { ConnectError } from '@connectrpc/connect';
import {
  FailureSchema,
  Verdict as VerdictValue,
  type ShardStatus,
  type TaskState,
  type WorkStatus,
} from '@bamboowell/schema/generated/bamboowell/v1/bamboowell_pb';
import { brandAs, taskOfAttempt, workOfTask, type AttemptId } from '@bamboowell/types/ids';
import type { TeamId, WorkId } from '@bamboowell/types/ids';
import type { Verdict } from '@bamboowell/types/verdict';
import { Cell, type CellPlan } from './cell.js';
import { findViolations } from './invariants.fixture.js';
import { applySampleDeclarations, grantKey, TEAM_LIMIT } from './setup.js';
import { readRecords } from './worker-control.fixture.js';

/** The data centre that tests send work to, and the shard of the same name. */
export const SHARD = 'nairobi-a';
export const WORKERS_OF_SHARD = ['worker-1', 'worker-2'];
export const QUEUE = 'run-plans';
export const TEAM = brandAs<TeamId>('drone-lab');

const PLAN: CellPlan = {
  regions: { 'nairobi-a': 'east-africa', 'nairobi-b': 'east-africa' },
  daemons: [
    { id: 'entry-1', region: 'east-africa', dataCentre: 'nairobi-a' },
    { id: 'entry-2', region: 'east-africa', dataCentre: 'nairobi-b' },
    { id: 'entry-3', region: 'east-africa', dataCentre: 'nairobi-a' },
  ],
  workers: [
    { id: 'worker-1', dataCentre: 'nairobi-a', rack: 'a1', accelerators: 2 },
    { id: 'worker-2', dataCentre: 'nairobi-a', rack: 'a2' },
    { id: 'worker-3', dataCentre: 'nairobi-b', rack: 'b1', accelerators: 2 },
    { id: 'worker-4', dataCentre: 'nairobi-b', rack: 'b2' },
  ],
};

const SMALL_DEMAND = { millicores: 1000, memoryMib: 512 };
const TIMEOUT_MILLIS = 20_000;
const POLL_MILLIS = 100;
const POLL_TRIES = 400;

/** A cell under test, the key of a team, and what the callers were told about their work. */
export interface CellHarness {
  readonly cell: Cell;
  readonly key: string;
  readonly reported: {
    readonly mayHaveRun: Set<WorkId>;
    readonly neverRan: Set<WorkId>;
    readonly atMostOnce: Set<WorkId>;
  };
}

/** The result of a request. */
export type Outcome =
  | {
      readonly kind: 'answered';
      readonly work: WorkId;
      readonly answer: string;
      readonly worker: string;
      readonly repeated: boolean;
    }
  | {
      readonly kind: 'refused';
      readonly verdict: Verdict;
      readonly reason: string;
      readonly detail: string;
      readonly work: string;
    };

export interface WorkOptions {
  readonly millis?: number;
  readonly idempotent?: boolean;
  readonly requestId?: string;
  readonly timeoutMillis?: number;
  readonly dataCentre?: string;
  readonly demand?: object;
}

export type ShapeName = 'batch' | 'gang' | 'service';

export async function startHarness(): Promise<CellHarness> {
  const cell = await Cell.start(PLAN);
  await applySampleDeclarations(cell, () => undefined);
  const key = await grantKey(cell, TEAM);
  return {
    cell,
    key,
    reported: { mayHaveRun: new Set(), neverRan: new Set(), atMostOnce: new Set() },
  };
}

/** Returns the violated invariants, according to the workers' own records. */
export async function faultsOf({ cell, reported }: CellHarness): Promise<string[]> {
  return findViolations(await readRecords(cell), reported, new Map([[TEAM, TEAM_LIMIT]]));
}

export function call(
  harness: CellHarness,
  through: string,
  options: WorkOptions = {},
): Promise<Outcome> {
  const { cell, key } = harness;
  const answer = randomUUID();
  return recordOutcome(harness, options, async () => {
    const response = await cell.callers(through, key).call({
      ...requestOf(options, answer),
      idempotent: options.idempotent ?? false,
    });
    if (response.answer !== answer) {
      throw new Error(`expected the answer ${answer}, found ${response.answer}`);
    }
    const work = workOfTask(taskOfAttempt(brandAs<AttemptId>(response.attemptId)));
    return { kind: 'answered', work, answer, worker: response.worker, repeated: false };
  });
}

export function submit(
  harness: CellHarness,
  through: string,
  shape: ShapeName,
  tasks: number,
  options: WorkOptions = {},
): Promise<Outcome> {
  const { cell, key } = harness;
  const count = shape === 'service' ? { replicas: tasks } : { tasks };
  return recordOutcome(harness, options, async () => {
    const { workId, repeated } = await cell.callers(through, key).submit({
      ...requestOf(options, 'done'),
      idempotent: options.idempotent ?? true,
      shape: { case: shape, value: count } as never,
      demand: (options.demand ?? SMALL_DEMAND) as never,
    });
    return { kind: 'answered', work: brandAs<WorkId>(workId), answer: '', worker: '', repeated };
  });
}

/** Submits work, and throws if it is refused. */
export async function submitAccepted(...args: Parameters<typeof submit>): Promise<WorkId> {
  const outcome = await submit(...args);
  if (outcome.kind === 'refused') {
    throw new Error(`refused: ${outcome.detail} (${outcome.reason})`);
  }
  return outcome.work;
}

function requestOf(options: WorkOptions, answer: string) {
  return {
    queue: QUEUE,
    requestId: options.requestId ?? randomUUID(),
    payload: JSON.stringify({ millis: options.millis ?? 0, answer }),
    timeoutMillis: options.timeoutMillis ?? TIMEOUT_MILLIS,
    dataCentre: options.dataCentre ?? SHARD,
  };
}

async function recordOutcome(
  harness: CellHarness,
  { idempotent }: WorkOptions,
  ask: () => Promise<Outcome>,
): Promise<Outcome> {
  const outcome = await ask().catch(refusalIn);
  if (outcome.kind === 'refused' && outcome.verdict === 'not_run') {
    return outcome;
  }
  const work = brandAs<WorkId>(outcome.work);
  harness.reported.mayHaveRun.add(work);
  if (idempotent === false) {
    harness.reported.atMostOnce.add(work);
  }
  return outcome;
}

/** Returns the refusal in an error of the protocol; rethrows other errors. */
export function refusalIn(error: unknown): Extract<Outcome, { kind: 'refused' }> {
  const [failure] = ConnectError.from(error).findDetails(FailureSchema);
  if (failure === undefined) {
    throw error;
  }
  const { verdict, reason, detail, workId } = failure;
  return { kind: 'refused', verdict: verdictOf(verdict), reason, detail, work: workId };
}

function verdictOf(verdict: VerdictValue): Verdict {
  if (verdict === VerdictValue.NOT_RUN) {
    return 'not_run';
  }
  return verdict === VerdictValue.RAN ? 'ran' : 'may_have_run';
}

/** Polls until the value is as wanted; throws after `POLL_TRIES` tries. */
export async function until<Value>(
  what: string,
  ask: () => Promise<Value>,
  isWanted: (value: Value) => boolean,
): Promise<Value> {
  let last: unknown;
  for (let attempt = 0; attempt < POLL_TRIES; attempt += 1) {
    try {
      const value = await ask();
      if (isWanted(value)) {
        return value;
      }
      last = value;
    } catch (error) {
      last = error;
    }
    await sleep(POLL_MILLIS);
  }
  throw new Error(`timed out waiting for ${what}; the last result was ${describe(last)}`);
}

function describe(value: unknown): string {
  return value instanceof Error
    ? value.message
    : JSON.stringify(value, (_key, part: unknown) => (typeof part === 'bigint' ? `${part}` : part));
}

/** Waits until the condition holds for the work. */
export function untilWork(
  { cell, key }: CellHarness,
  through: string,
  work: WorkId,
  isWanted: (status: WorkStatus) => boolean,
): Promise<WorkStatus> {
  const ask = async (): Promise<WorkStatus> => {
    const { status } = await cell.callers(through, key).get({ workId: work });
    if (status === undefined) {
      throw new Error(`no status of ${work}`);
    }
    return status;
  };
  return until(`the state of ${work}`, ask, isWanted);
}

export function allTasksIn(state: TaskState): (status: WorkStatus) => boolean {
  return ({ tasks }) => tasks.length > 0 && tasks.every((task) => task.state === state);
}

/** The status of a shard as a daemon reports it. */
export async function shardStatusFrom(
  { cell }: CellHarness,
  through: string,
  id = SHARD,
): Promise<ShardStatus> {
  const { shards } = await cell.operators(through).getStatus({});
  const shard = shards.find((each) => each.shard === id);
  if (shard === undefined) {
    throw new Error(`${through} shows no shard ${id}`);
  }
  return shard;
}

/** The owner of the tests' shard, and a daemon that does not own it. */
export async function rolesOf(harness: CellHarness): Promise<{ owner: string; other: string }> {
  const ids = harness.cell.daemonIds;
  const [first = ''] = ids;
  const { owner } = await until(
    'an owner',
    () => shardStatusFrom(harness, first),
    (shard) => shard.owner !== '' && shard.fresh && shard.workers.length > 0,
  );
  return { owner, other: ids.find((id) => id !== owner) ?? '' };
}
