/** Reads the records of worker stand-ins and sets their faults. */

import { SystemClock } from '@bamboowell/kernel/clock';
import type { AttemptId } from '@bamboowell/types/ids';
import type { Resources } from '@bamboowell/types/resources';
import { deadlineAfter, MILLIS_PER_SECOND } from '@bamboowell/types/time';
import { connect } from '@bamboowell/wire/connect';
import type { Cell } from './cell.js';

/** One run as the worker recorded it, with times of the wall clock. */
export interface Run {
  readonly attempt: AttemptId;
  readonly epoch: number;
  readonly demand: Resources;
  readonly startedWallMillis: number;
  readonly endedWallMillis?: number;
  readonly outcome?: string;
}

/** All runs of one worker, in the order of their starts. */
export interface WorkerRecord {
  readonly worker: string;
  readonly capacity: Resources;
  readonly epoch: number;
  readonly runs: readonly Run[];
}

/** Faults of a worker, as `packages/stand-ins/WORKER.md` describes them. */
export interface WorkerSwitches {
  readonly silent?: boolean;
  readonly failEverything?: boolean;
  readonly leaving?: boolean;
}

const CONTROL_TIMEOUT_MILLIS = 10 * MILLIS_PER_SECOND;

/** Reads what each worker of the cell ran. */
export function readRecords(cell: Cell): Promise<WorkerRecord[]> {
  return Promise.all([...cell.workers.keys()].map((worker) => readRecord(cell, worker)));
}

export async function readRecord(cell: Cell, worker: string): Promise<WorkerRecord> {
  const record = await control(cell, worker, 'runs', {});
  return { ...(record as Omit<WorkerRecord, 'worker'>), worker };
}

export async function switchWorker(
  cell: Cell,
  worker: string,
  switches: WorkerSwitches,
): Promise<void> {
  await control(cell, worker, 'switches', switches);
}

async function control(
  cell: Cell,
  worker: string,
  method: string,
  params: object,
): Promise<unknown> {
  const clock = new SystemClock();
  const deadline = deadlineAfter(clock.now(), CONTROL_TIMEOUT_MILLIS);
  const address = cell.workers.get(worker)?.address;
  if (address === undefined) {
    throw new Error(`the cell has no worker ${worker}`);
  }
  const connection = await connect({ address, clock, deadline });
  if ('kind' in connection) {
    throw new Error(`worker ${worker}: ${connection.detail}`);
  }
  const answer = await connection.request(method, params, deadline);
  connection.close();
  if (answer.kind !== 'answered') {
    throw new Error(`worker ${worker} did not answer ${method}: ${answer.kind}`);
  }
  return answer.value;
}
