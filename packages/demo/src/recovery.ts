/**
 * Measures on a cell of real processes how long it takes to recover from a fault, and to put a
 * change into force.
 */

import { randomUUID } from 'node:crypto';
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { create } from '@bufbuild/protobuf';
import { ConnectError } from '@connectrpc/connect';
import {
  ChangeSchema,
  FailureSchema,
  type ShardStatus,
} from '@bamboowell/schema/generated/bamboowell/v1/bamboowell_pb';
import { Cell, type CellPlan } from './cell.js';
import {
  applyChanges,
  applySampleDeclarations,
  grantKey,
  TEAM_LIMIT,
  untilInForce,
} from './setup.js';

const RUNS = 5;
const POLL_MILLIS = 20;
const POLL_TRIES = 3000;
const SETTLE_MILLIS = 2000;
const TIMEOUT_MILLIS = 30_000;
const WITHDRAWAL_TARGET_MILLIS = 5000;
const IN_FORCE_TARGET_MILLIS = 8000;
const LEAVING_TARGET_MILLIS = 3000;
const SHARD = 'nairobi-a';
const TEAM = 'drone-lab';

const PLAN: CellPlan = {
  regions: { 'nairobi-a': 'east-africa', 'nairobi-b': 'east-africa' },
  daemons: [
    { id: 'entry-1', region: 'east-africa', dataCentre: 'nairobi-a' },
    { id: 'entry-2', region: 'east-africa', dataCentre: 'nairobi-b' },
    { id: 'entry-3', region: 'east-africa', dataCentre: 'nairobi-a' },
  ],
  workers: Array.from({ length: RUNS + 1 }, (_, index) => ({
    id: `worker-${index}`,
    dataCentre: SHARD,
    rack: 'a1',
  })),
};

/** Milliseconds over several runs, and the target where there is one. */
interface Figure {
  readonly runs: readonly number[];
  readonly medianMillis: number;
  readonly worstMillis: number;
  readonly targetMillis?: number;
}

async function figure(
  measure: (run: number) => Promise<number>,
  targetMillis?: number,
): Promise<Figure> {
  const runs: number[] = [];
  for (let run = 0; run < RUNS; run += 1) {
    runs.push(Math.round(await measure(run)));
    await sleep(SETTLE_MILLIS);
  }
  const sorted = [...runs].sort((left, right) => left - right);
  const median = sorted[Math.floor(RUNS / 2)] ?? 0;
  const worst = sorted[RUNS - 1] ?? 0;
  const figures = { runs, medianMillis: median, worstMillis: worst };
  return targetMillis === undefined ? figures : { ...figures, targetMillis };
}

async function until(ask: () => Promise<boolean>): Promise<void> {
  for (let attempt = 0; attempt < POLL_TRIES; attempt += 1) {
    if (await ask()) {
      return;
    }
    await sleep(POLL_MILLIS);
  }
  throw new Error('the cell did not reach the awaited state in time');
}

async function millisUntil(start: number, reached: Promise<unknown>): Promise<number> {
  await reached;
  return performance.now() - start;
}

async function callQuickly(cell: Cell, daemon: string, key: string): Promise<void> {
  await cell.callers(daemon, key).call({
    queue: 'run-plans',
    requestId: randomUUID(),
    idempotent: true,
    payload: 'x',
    timeoutMillis: TIMEOUT_MILLIS,
    dataCentre: SHARD,
  });
}

async function statusOf(cell: Cell, daemon: string): Promise<ShardStatus | undefined> {
  const { shards } = await cell.operators(daemon).getStatus({});
  return shards.find(({ shard }) => shard === SHARD);
}

async function rolesOf(cell: Cell): Promise<{ owner: string; other: string }> {
  let owner = '';
  await until(async () => {
    const status = await statusOf(cell, cell.daemonIds[0] ?? '');
    owner = status?.owner ?? '';
    return owner !== '' && status?.fresh === true;
  });
  return { owner, other: cell.daemonIds.find((id) => id !== owner) ?? '' };
}

async function afterKill(cell: Cell, key: string): Promise<number> {
  const { owner, other } = await rolesOf(cell);
  const start = performance.now();
  await cell.daemon(owner).kill();
  const tookMillis = await millisUntil(start, callQuickly(cell, other, key));
  await cell.startDaemon(owner);
  return tookMillis;
}

async function afterFreeze(cell: Cell, key: string): Promise<number> {
  const { owner, other } = await rolesOf(cell);
  const start = performance.now();
  cell.daemon(owner).freeze();
  const tookMillis = await millisUntil(
    start,
    // A call that the frozen owner has accepted is not answered, so the caller asks again.
    until(() =>
      callQuickly(cell, other, key).then(
        () => true,
        () => false,
      ),
    ),
  );
  cell.daemon(owner).resume();
  return tookMillis;
}

async function afterWithdrawal(cell: Cell): Promise<number> {
  const key = await grantKey(cell, TEAM);
  const [id = ''] = key.split('.');
  const change = create(ChangeSchema, { change: { case: 'withdrawKey', value: id } });
  const start = performance.now();
  await applyChanges(cell, [change]);
  const refused = cell.daemonIds.map((daemon) =>
    until(() =>
      callQuickly(cell, daemon, key).then(
        () => false,
        (error: unknown) =>
          ConnectError.from(error).findDetails(FailureSchema)[0]?.reason === 'key_withdrawn',
      ),
    ),
  );
  return millisUntil(start, Promise.all(refused));
}

async function afterChange(cell: Cell, run: number): Promise<number> {
  const value = { id: `lab-${run}`, share: 1, limit: TEAM_LIMIT };
  const change = create(ChangeSchema, { change: { case: 'putTeam', value: value as never } });
  const start = performance.now();
  const version = await applyChanges(cell, [change]);
  return millisUntil(start, untilInForce(cell, version));
}

async function afterLeaving(cell: Cell, run: number): Promise<number> {
  const worker = `worker-${run}`;
  const { owner } = await rolesOf(cell);
  const start = performance.now();
  await cell.markLeaving(worker);
  const isLeaving = until(async () => {
    const status = await statusOf(cell, owner);
    return (
      status?.workers.some((each) => each.worker === worker && each.state === 'leaving') ?? false
    );
  });
  return millisUntil(start, isLeaving);
}

/** Starts a cell of processes, measures how fast it recovers, and stops it. */
export async function measureRecovery(): Promise<object> {
  const cell = await Cell.start(PLAN);
  try {
    await applySampleDeclarations(cell, () => undefined);
    const key = await grantKey(cell, TEAM);
    return {
      killToNextPlacement: await figure(() => afterKill(cell, key)),
      freezeToNextPlacement: await figure(() => afterFreeze(cell, key)),
      configurationToInForce: await figure((run) => afterChange(cell, run), IN_FORCE_TARGET_MILLIS),
      leavingToInForce: await figure((run) => afterLeaving(cell, run), LEAVING_TARGET_MILLIS),
      withdrawalToInForce: await figure(() => afterWithdrawal(cell), WITHDRAWAL_TARGET_MILLIS),
    };
  } finally {
    await cell.stop();
  }
}
