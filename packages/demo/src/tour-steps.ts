/** The steps of the tour. Each sends requests and returns a row of the table with the result. */

import { randomUUID } from 'node:crypto';
import { ConnectError } from '@connectrpc/connect';
import {
  FailureSchema,
  TaskState,
  type TaskStatus,
  type WorkStatus,
} from '@bamboowell/schema/generated/bamboowell/v1/bamboowell_pb';
import { withdrawKey, type Caller } from './setup.js';
import type { Row } from './tour-table.js';

const SMALL_DEMAND = { millicores: 1000, memoryMib: 512 };
const RUN_MILLIS = 200;
const LONG_RUN_MILLIS = 8000;
const TIMEOUT_MILLIS = 20_000;

function payload(millis: number, answer: string): string {
  return JSON.stringify({ millis, answer });
}

/** The verdict, detail and reason of a refusal, or the message of any other error. */
function refusalTextOf(error: unknown): string {
  const connectError = ConnectError.from(error);
  const [failure] = connectError.findDetails(FailureSchema);
  return failure === undefined
    ? connectError.message
    : `${connectError.rawMessage} (${failure.reason})`;
}

async function row(
  asked: string,
  through: string,
  step: () => Promise<Omit<Row, 'asked' | 'through'>>,
): Promise<Row> {
  try {
    return { asked, through, ...(await step()) };
  } catch (error) {
    return { asked, through, ranOn: '', verdict: refusalTextOf(error), asExpected: false };
  }
}

function workersOf(tasks: readonly TaskStatus[]): string {
  return [...new Set(tasks.map((task) => task.worker))].sort().join(', ');
}

/** Watches the work until the condition holds. */
async function watchUntil(
  { cell, key }: Caller,
  daemon: string,
  workId: string,
  isReached: (status: WorkStatus) => boolean,
): Promise<WorkStatus> {
  for await (const { status } of cell.callers(daemon, key).watch({ workId })) {
    if (status !== undefined && isReached(status)) {
      return status;
    }
  }
  throw new Error(`the watch of ${workId} ended early`);
}

function allIn(state: TaskState) {
  return ({ tasks }: WorkStatus) => tasks.length > 0 && tasks.every((task) => task.state === state);
}

export function callQuickly({ cell, key }: Caller, daemon: string): Promise<Row> {
  return row('quick call', daemon, async () => {
    const { answer, worker } = await cell.callers(daemon, key).call({
      queue: 'run-plans',
      requestId: randomUUID(),
      payload: payload(10, 'seat 4 is held'),
      timeoutMillis: TIMEOUT_MILLIS,
    });
    return { ranOn: worker, verdict: `ran: ${answer}`, asExpected: answer === 'seat 4 is held' };
  });
}

export function submitBatch(caller: Caller, daemon: string): Promise<Row> {
  return row('batch of 3', daemon, () =>
    runToEnd(caller, daemon, { case: 'batch', value: { tasks: 3 } as never }),
  );
}

export function submitGang(caller: Caller, daemon: string): Promise<Row> {
  return row('gang of 4', daemon, () =>
    runToEnd(caller, daemon, { case: 'gang', value: { tasks: 4 } as never }),
  );
}

type ShapeOfRequest = Parameters<ReturnType<Caller['cell']['callers']>['submit']>[0]['shape'];

async function runToEnd(caller: Caller, daemon: string, shape: ShapeOfRequest) {
  const workId = await submit(caller, daemon, shape, RUN_MILLIS);
  const status = await watchUntil(caller, daemon, workId, ({ ended }) => ended);
  const succeeded = allIn(TaskState.SUCCEEDED)(status);
  return {
    ranOn: workersOf(status.tasks),
    verdict: succeeded ? 'ran' : 'did not succeed',
    asExpected: succeeded,
  };
}

async function submit(
  { cell, key }: Caller,
  daemon: string,
  shape: ShapeOfRequest,
  millis: number,
): Promise<string> {
  const { workId } = await cell.callers(daemon, key).submit({
    queue: 'run-plans',
    requestId: randomUUID(),
    shape,
    demand: SMALL_DEMAND,
    idempotent: true,
    payload: payload(millis, 'done'),
    timeoutMillis: TIMEOUT_MILLIS,
  } as never);
  return workId;
}

/** Submits a service, waits until all replicas run, and cancels it. */
export function submitService(caller: Caller, daemon: string): Promise<Row> {
  return row('service of 2', daemon, async () => {
    const workId = await submit(
      caller,
      daemon,
      { case: 'service', value: { replicas: 2 } as never },
      LONG_RUN_MILLIS,
    );
    const running = await watchUntil(caller, daemon, workId, allIn(TaskState.RUNNING));
    await caller.cell.callers(daemon, caller.key).cancel({ workIds: [workId] });
    const ended = await watchUntil(caller, daemon, workId, (status) => status.ended);
    const cancelled = allIn(TaskState.CANCELLED)(ended);
    return {
      ranOn: workersOf(running.tasks),
      verdict: 'ran, then cancelled',
      asExpected: cancelled,
    };
  });
}

/** Kills the owner of a shard while work runs; the work continues on the same workers. */
export function showKilledOwner(caller: Caller, say: (line: string) => void): Promise<Row> {
  const { cell, key } = caller;
  const [first = '', ...others] = cell.daemonIds;
  return row('batch of 3, owner killed', first, async () => {
    const workId = await submit(
      caller,
      first,
      { case: 'batch', value: { tasks: 3 } as never },
      LONG_RUN_MILLIS,
    );
    const before = await watchUntil(caller, first, workId, allIn(TaskState.RUNNING));
    const { shards } = await cell.operators(first).getStatus({});
    const owner = shards.find(({ shard }) => shard === before.shard)?.owner ?? '';
    say(`${owner} owns ${before.shard}; killing it`);
    await cell.daemon(owner).kill();
    const survivor = [first, ...others].find((id) => id !== owner) ?? '';
    const after = await watchUntil({ cell, key }, survivor, workId, ({ ended }) => ended);
    const oneAttempt = after.tasks.every(({ attempts }) => attempts === 1);
    const succeeded = allIn(TaskState.SUCCEEDED)(after);
    await cell.startDaemon(owner);
    return {
      ranOn: workersOf(after.tasks),
      verdict: oneAttempt ? 'ran once, under a new owner' : 'ran again',
      asExpected: succeeded && oneAttempt && workersOf(before.tasks) === workersOf(after.tasks),
    };
  });
}

/** Withdraws the key; the next request is refused with the reason. */
export async function showWithdrawnKey({ cell, key }: Caller): Promise<Row> {
  const [id = ''] = key.split('.');
  const asked = 'quick call, key withdrawn';
  const through = cell.daemonIds[1] ?? '';
  try {
    await withdrawKey(cell, id);
    await cell
      .callers(through, key)
      .call({ queue: 'run-plans', requestId: randomUUID(), payload: '' });
    return { asked, through, ranOn: '', verdict: 'ran', asExpected: false };
  } catch (error) {
    const verdict = refusalTextOf(error);
    return { asked, through, ranOn: '', verdict, asExpected: verdict.includes('key_withdrawn') };
  }
}
