/** Reports the status of a cell: daemons, shards, teams and workers. */

import { toJson } from '@bufbuild/protobuf';
import { describeResources } from '@bamboowell/config/declarations/describe';
import {
  GetStatusResponseSchema,
  type GetStatusResponse,
  type Resources as ResourcesMessage,
  type ShardStatus,
  type TeamUsage,
} from '@bamboowell/schema/generated/bamboowell/v1/bamboowell_pb';
import type { Configuration } from '@bamboowell/types/declarations';
import { brandAs, type TeamId } from '@bamboowell/types/ids';
import { add, NO_RESOURCES, type Resources } from '@bamboowell/types/resources';
import { decodeResources } from './encoding.js';
import type { Report, Section } from './report.js';

/** Combines the status of a cell with the shares and limits of the teams in the configuration. */
export function reportOfCell(status: GetStatusResponse, configuration: Configuration): Report {
  return {
    sections: [
      cellSection(status),
      memberSection(status),
      shardSection(status),
      teamSection(status, configuration),
      workerSection(status),
    ],
    json: toJson(GetStatusResponseSchema, status, { alwaysEmitImplicit: true }),
  };
}

function cellSection({ member, version, fresh }: GetStatusResponse): Section {
  return {
    name: 'cell',
    columns: ['asked daemon', 'version', 'fresh'],
    rows: [[member, String(version), yesOrNo(fresh)]],
  };
}

function memberSection({ members }: GetStatusResponse): Section {
  return {
    name: 'daemon',
    columns: ['daemon', 'version', 'reachable'],
    rows: members.map(({ member, version, reachable }) => [
      member,
      String(version),
      yesOrNo(reachable),
    ]),
  };
}

function shardSection({ shards }: GetStatusResponse): Section {
  return {
    name: 'shard',
    columns: ['shard', 'owner', 'epoch', 'fresh', 'waiting', 'running', 'error'],
    rows: shards.map(({ shard, owner, epoch, fresh, waiting, running, error }) => [
      shard,
      owner === '' ? 'none' : owner,
      String(epoch),
      yesOrNo(fresh),
      String(waiting),
      String(running),
      error,
    ]),
  };
}

/** What a team uses across all shards. */
interface Usage {
  readonly running: Resources;
  readonly held: Resources;
  readonly waiting: number;
}

const NO_USAGE: Usage = { running: NO_RESOURCES, held: NO_RESOURCES, waiting: 0 };

function teamSection({ shards }: GetStatusResponse, { teams }: Configuration): Section {
  const usages = usageByTeam(shards);
  const ids = [...new Set([...teams.keys(), ...usages.keys()])];
  return {
    name: 'team',
    columns: ['team', 'share', 'running', 'held of limit', 'limit', 'waiting'],
    rows: ids.map((id) => {
      const team = teams.get(id);
      const { running, held, waiting } = usages.get(id) ?? NO_USAGE;
      return [
        id,
        team === undefined ? '-' : String(team.share),
        describeResources(running),
        describeResources(held),
        team === undefined ? '-' : describeResources(team.limit),
        String(waiting),
      ];
    }),
  };
}

function usageByTeam(shards: readonly ShardStatus[]): Map<TeamId, Usage> {
  const usages = new Map<TeamId, Usage>();
  for (const usage of shards.flatMap(({ teams }) => teams)) {
    const id = brandAs<TeamId>(usage.team);
    usages.set(id, sumOf(usages.get(id) ?? NO_USAGE, usage));
  }
  return usages;
}

function sumOf(sum: Usage, { running, held, waiting }: TeamUsage): Usage {
  return {
    running: add(sum.running, decodeResources(running)),
    held: add(sum.held, decodeResources(held)),
    waiting: sum.waiting + waiting,
  };
}

function workerSection({ shards }: GetStatusResponse): Section {
  return {
    name: 'worker',
    columns: ['worker', 'shard', 'state', 'used', 'capacity'],
    rows: shards.flatMap(({ shard, workers }) =>
      workers.map(({ worker, state, used, capacity }) => [
        worker,
        shard,
        state,
        sizeText(used),
        sizeText(capacity),
      ]),
    ),
  };
}

function sizeText(message: ResourcesMessage | undefined): string {
  return describeResources(decodeResources(message));
}

function yesOrNo(value: boolean): string {
  return value ? 'yes' : 'no';
}
