/** Encodes changes as messages of the schema, and decodes configurations and resources. */

import { create } from '@bufbuild/protobuf';
import { match } from 'ts-pattern';
import {
  ChangeSchema,
  type Change as ChangeMessage,
  type Configuration as ConfigurationMessage,
  type Key as KeyMessage,
  type Queue as QueueMessage,
  type Resources as ResourcesMessage,
  type Team as TeamMessage,
} from '@bamboowell/schema/generated/bamboowell/v1/bamboowell_pb';
import type { Change, Configuration, Key, Queue, Team } from '@bamboowell/types/declarations';
import {
  brandAs,
  type DataCentreId,
  type KeyId,
  type QueueId,
  type RegionId,
  type TeamId,
  type Version,
} from '@bamboowell/types/ids';
import { NO_RESOURCES, type Resources } from '@bamboowell/types/resources';

export function encodeChange(change: Change): ChangeMessage {
  return create(ChangeSchema, { change: toOneof(change) });
}

/** The `case` and `value` of the oneof in a `Change` message. */
function toOneof(change: Change) {
  return match(change)
    .with({ kind: 'put_team' }, ({ team }) => ({ case: 'putTeam', value: team }) as const)
    .with({ kind: 'remove_team' }, ({ id }) => ({ case: 'removeTeam', value: id }) as const)
    .with(
      { kind: 'put_queue' },
      ({ queue }) => ({ case: 'putQueue', value: encodeQueue(queue) }) as const,
    )
    .with({ kind: 'remove_queue' }, ({ id }) => ({ case: 'removeQueue', value: id }) as const)
    .with(
      { kind: 'put_key' },
      ({ key }) => ({ case: 'putKey', value: { ...key, team: key.team ?? '' } }) as const,
    )
    .with({ kind: 'withdraw_key' }, ({ id }) => ({ case: 'withdrawKey', value: id }) as const)
    .with(
      { kind: 'put_data_centre' },
      ({ dataCentre }) => ({ case: 'putDataCentre', value: dataCentre }) as const,
    )
    .with(
      { kind: 'remove_data_centre' },
      ({ id }) => ({ case: 'removeDataCentre', value: id }) as const,
    )
    .exhaustive();
}

function encodeQueue({ id, access, maxWaiting }: Queue) {
  return access.kind === 'open'
    ? { id, openFor: access.team, maxWaiting }
    : { id, teams: [...access.teams], maxWaiting };
}

export function decodeConfiguration(message: ConfigurationMessage | undefined): Configuration {
  return {
    version: brandAs<Version>(message?.version ?? 0),
    teams: byId((message?.teams ?? []).map(decodeTeam)),
    queues: byId((message?.queues ?? []).map(decodeQueue)),
    keys: byId((message?.keys ?? []).map(decodeKey)),
    dataCentres: byId(
      (message?.dataCentres ?? []).map(({ id, region }) => ({
        id: brandAs<DataCentreId>(id),
        region: brandAs<RegionId>(region),
      })),
    ),
  };
}

function byId<Item extends { readonly id: string }>(items: readonly Item[]): Map<Item['id'], Item> {
  return new Map(items.map((item) => [item.id, item]));
}

function decodeTeam({ id, share, limit }: TeamMessage): Team {
  return { id: brandAs<TeamId>(id), share, limit: decodeResources(limit) };
}

function decodeQueue({ id, teams, openFor, maxWaiting }: QueueMessage): Queue {
  const access: Queue['access'] =
    openFor === ''
      ? { kind: 'teams', teams: teams.map((team) => brandAs<TeamId>(team)) }
      : { kind: 'open', team: brandAs<TeamId>(openFor) };
  return { id: brandAs<QueueId>(id), access, maxWaiting };
}

function decodeKey({ id, team, secretHash, withdrawn }: KeyMessage): Key {
  return {
    id: brandAs<KeyId>(id),
    team: team === '' ? null : brandAs<TeamId>(team),
    secretHash,
    withdrawn,
  };
}

export function decodeResources(message: ResourcesMessage | undefined): Resources {
  if (message === undefined) {
    return NO_RESOURCES;
  }
  const { millicores, memoryMib, accelerators, slots } = message;
  return { millicores, memoryMib, accelerators, slots };
}
