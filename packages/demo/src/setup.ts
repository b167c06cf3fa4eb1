/** Declares teams, queues and keys in a cell. */

import { setTimeout as sleep } from 'node:timers/promises';
import { create } from '@bufbuild/protobuf';
import {
  ChangeSchema,
  type Change,
} from '@bamboowell/schema/generated/bamboowell/v1/bamboowell_pb';
import { newSecret, type Cell } from './cell.js';

/** A cell and the key of a team. */
export interface Caller {
  readonly cell: Cell;
  readonly key: string;
}

const POLL_MILLIS = 100;
const APPLY_TRIES = 50;
const IN_FORCE_TRIES = 100;

/** Upper limit of each team of the sample declarations. */
export const TEAM_LIMIT = { millicores: 96_000, memoryMib: 196_608, accelerators: 4, slots: 24 };

function sampleChanges(): Change[] {
  return [
    {
      change: { case: 'putDataCentre' as const, value: { id: 'nairobi-a', region: 'east-africa' } },
    },
    {
      change: { case: 'putDataCentre' as const, value: { id: 'nairobi-b', region: 'east-africa' } },
    },
    {
      change: { case: 'putTeam' as const, value: { id: 'drone-lab', share: 2, limit: TEAM_LIMIT } },
    },
    {
      change: { case: 'putTeam' as const, value: { id: 'visitors', share: 1, limit: TEAM_LIMIT } },
    },
    {
      change: {
        case: 'putQueue' as const,
        value: { id: 'run-plans', teams: ['drone-lab'], maxWaiting: 1000 },
      },
    },
    {
      change: {
        case: 'putQueue' as const,
        value: { id: 'enquiries', openFor: 'visitors', maxWaiting: 1000 },
      },
    },
  ].map((change) => create(ChangeSchema, change as never));
}

/** Applies the sample declarations and waits until they are in force on every daemon. */
export async function applySampleDeclarations(
  cell: Cell,
  say: (line: string) => void,
): Promise<void> {
  const version = await applyChanges(cell, sampleChanges());
  say(`version ${version} was applied`);
  await untilInForce(cell, version);
  say(`version ${version} is in force on every daemon`);
}

/** Grants a key to the team and waits until it is in force everywhere. */
export async function grantKey(cell: Cell, team: string): Promise<string> {
  const { secret, hash } = newSecret();
  const id = `${team}-key`;
  const value = { id, team, secretHash: hash };
  const version = await applyChanges(cell, [
    create(ChangeSchema, { change: { case: 'putKey', value: value as never } }),
  ]);
  await untilInForce(cell, version);
  return `${id}.${secret}`;
}

export async function withdrawKey(cell: Cell, id: string): Promise<void> {
  const change = create(ChangeSchema, { change: { case: 'withdrawKey', value: id } });
  await untilInForce(cell, await applyChanges(cell, [change]));
}

/**
 * Applies the changes to the current version and returns the new one. Retries, as a cell that has
 * just started may fail.
 */
export async function applyChanges(cell: Cell, changes: Change[]): Promise<number> {
  let last: unknown;
  for (let attempt = 0; attempt < APPLY_TRIES; attempt += 1) {
    const [daemon = ''] = cell.daemonIds.filter((id) => cell.daemon(id).isRunning);
    try {
      const { configuration } = await cell.operators(daemon).getConfiguration({});
      const base = configuration?.version ?? 0;
      const { version } = await cell.operators(daemon).applyChanges({ base, changes });
      return version;
    } catch (error) {
      last = error;
      await sleep(POLL_MILLIS);
    }
  }
  throw last;
}

/** Waits until the version is in force on every daemon. */
export async function untilInForce(cell: Cell, version: number): Promise<void> {
  for (let attempt = 0; attempt < IN_FORCE_TRIES; attempt += 1) {
    const [daemon = ''] = cell.daemonIds.filter((id) => cell.daemon(id).isRunning);
    const { everywhere } = await cell.operators(daemon).getEnforcement({ version });
    if (everywhere) {
      return;
    }
    await sleep(POLL_MILLIS);
  }
  throw new Error(`version ${version} is not in force on every daemon`);
}
