/** Teams, workers and work items of the cell in which an owner is measured. */

import type { Configuration, DataCentre, Key, Queue, Team } from '@bamboowell/types/declarations';
import {
  brandAs,
  workIdFrom,
  type DataCentreId,
  type Epoch,
  type Incarnation,
  type KeyId,
  type QueueId,
  type RackId,
  type RegionId,
  type RequestId,
  type ShardId,
  type TeamId,
  type Version,
  type WorkerId,
} from '@bamboowell/types/ids';
import type { Resources } from '@bamboowell/types/resources';
import type { Shape, Work, WorkerProfile } from '@bamboowell/types/work';
import type { CellView, ShardVm } from '@bamboowell/owner/messages';
import { amountOf } from './fleets.js';

export const TEAMS = 77;
const WORKERS_IN_RACK = 8;
const MAX_WAITING = 1_000_000;
const UNLIMITED = amountOf(10_000_000, 10_000_000, 1_000_000, 1_000_000);
/** Length of the unique part of a work id, as in real ids. */
const UNIQUE_LENGTH = 26;
const PAYLOAD_CHARACTERS = 200;
const DIFFERENT_PAYLOADS = 1_024;
const REGION = brandAs<RegionId>('region-1');

export const EPOCH = brandAs<Epoch>(1);

export function teamOf(number: number): TeamId {
  return brandAs<TeamId>(`team-${String(number % TEAMS).padStart(2, '0')}`);
}

export function workerOf(shard: ShardId, number: number): WorkerId {
  return brandAs<WorkerId>(`${shard}-worker-${String(number).padStart(4, '0')}`);
}

export function incarnationOf(worker: WorkerId): Incarnation {
  return brandAs<Incarnation>(`${worker}-0f8e2a4c`);
}

function rackOf(number: number): RackId {
  return brandAs<RackId>(`rack-${Math.floor(number / WORKERS_IN_RACK)}`);
}

/** Profile of the worker with this number. */
export function profileOf(shard: ShardId, number: number, capacity: Resources): WorkerProfile {
  return {
    id: workerOf(shard, number),
    dataCentre: brandAs<DataCentreId>(shard),
    rack: rackOf(number),
    capacity,
  };
}

export function vmOf(shard: ShardId, number: number): ShardVm {
  const worker = workerOf(shard, number);
  return {
    worker,
    vm: {
      role: 'worker',
      worker,
      region: REGION,
      dataCentre: brandAs<DataCentreId>(shard),
      rack: rackOf(number),
      address: { host: '127.0.0.1', port: 1 },
      state: 'live',
    },
  };
}

/** A cell view with limits that no team reaches and one queue for each team. */
export function cellViewOf(shard: ShardId): CellView {
  const teams = Array.from({ length: TEAMS }, (_, number): Team => {
    return { id: teamOf(number), share: 1 + (number % 8), limit: UNLIMITED };
  });
  const holding = { held: UNLIMITED, total: UNLIMITED, allowed: UNLIMITED };
  return {
    configuration: configurationOf(shard, teams),
    epoch: EPOCH,
    holdings: new Map(teams.map(({ id }) => [id, holding])),
  };
}

function configurationOf(shard: ShardId, teams: readonly Team[]): Configuration {
  const dataCentre: DataCentre = { id: brandAs<DataCentreId>(shard), region: REGION };
  const queues = teams.map(({ id }): Queue => {
    const access = { kind: 'teams' as const, teams: [id] };
    return { id: queueOf(id), access, maxWaiting: MAX_WAITING };
  });
  return {
    version: brandAs<Version>(1),
    teams: new Map(teams.map((team) => [team.id, team])),
    queues: new Map(queues.map((queue) => [queue.id, queue])),
    keys: new Map<KeyId, Key>(),
    dataCentres: new Map([[dataCentre.id, dataCentre]]),
  };
}

function queueOf(team: TeamId): QueueId {
  return brandAs<QueueId>(`queue-of-${team}`);
}

/** The work item with this number; work items are assigned to teams in turn. */
export function workOf(shard: ShardId, number: number, demand: Resources, shape: Shape): Work {
  const team = teamOf(number);
  const unique = String(number).padStart(UNIQUE_LENGTH, '0');
  return {
    id: workIdFrom(shard, team, unique),
    team,
    queue: queueOf(team),
    requestId: brandAs<RequestId>(`request-${unique}`),
    shape,
    urgency: 'ordinary',
    demand,
    expectedMillis: 60_000,
    idempotent: true,
    checkpointable: false,
    payload: PAYLOADS[number % DIFFERENT_PAYLOADS] ?? '',
  };
}

/** Payloads that hardly compress, created once so that creating them is not measured. */
const PAYLOADS: readonly string[] = Array.from({ length: DIFFERENT_PAYLOADS }, (_, number) => {
  let text = '';
  for (let word = 1; text.length < PAYLOAD_CHARACTERS; word += 1) {
    text += ((number + 1) * 2_654_435_761 * word).toString(36);
  }
  return text.slice(0, PAYLOAD_CHARACTERS);
});
