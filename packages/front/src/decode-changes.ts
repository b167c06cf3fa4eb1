/** Decodes and validates operators' configuration changes. A refusal names the invalid field. */

import { match } from 'ts-pattern';
import type {
  Change as ChangeMessage,
  DataCentre as DataCentreMessage,
  Key as KeyMessage,
  Queue as QueueMessage,
  Team as TeamMessage,
} from '@bamboowell/schema/generated/bamboowell/v1/bamboowell_pb';
import type { Change, DataCentre, Key, Queue, Team } from '@bamboowell/types/declarations';
import {
  brandAs,
  type DataCentreId,
  type KeyId,
  type QueueId,
  type RegionId,
  type TeamId,
} from '@bamboowell/types/ids';
import { done, refused, type Result } from '@bamboowell/types/verdict';
import { nameRefusal, decodeResources } from './decode-fields.js';

export function decodeChanges(messages: readonly ChangeMessage[]): Result<Change[]> {
  const changes: Change[] = [];
  for (const [index, message] of messages.entries()) {
    const change = decodeChange(message, `changes[${index}]`);
    if (change.kind === 'refused') {
      return change;
    }
    changes.push(change.value);
  }
  return done(changes);
}

function decodeChange({ change }: ChangeMessage, field: string): Result<Change> {
  return match(change)
    .returnType<Result<Change>>()
    .with({ case: 'putTeam' }, ({ value }) => teamChange(value, `${field}.putTeam`))
    .with({ case: 'putQueue' }, ({ value }) => queueChange(value, `${field}.putQueue`))
    .with({ case: 'putKey' }, ({ value }) => keyChange(value, `${field}.putKey`))
    .with({ case: 'putDataCentre' }, ({ value }) =>
      dataCentreChange(value, `${field}.putDataCentre`),
    )
    .with({ case: 'removeTeam' }, ({ value }) =>
      withCheckedId(value, `${field}.removeTeam`, {
        kind: 'remove_team',
        id: brandAs<TeamId>(value),
      }),
    )
    .with({ case: 'removeQueue' }, ({ value }) =>
      withCheckedId(value, `${field}.removeQueue`, {
        kind: 'remove_queue',
        id: brandAs<QueueId>(value),
      }),
    )
    .with({ case: 'withdrawKey' }, ({ value }) =>
      withCheckedId(value, `${field}.withdrawKey`, {
        kind: 'withdraw_key',
        id: brandAs<KeyId>(value),
      }),
    )
    .with({ case: 'removeDataCentre' }, ({ value }) =>
      withCheckedId(value, `${field}.removeDataCentre`, {
        kind: 'remove_data_centre',
        id: brandAs<DataCentreId>(value),
      }),
    )
    .with({ case: undefined }, () =>
      refused('malformed', 'expected a change, such as putTeam or removeQueue', field),
    )
    .exhaustive();
}

function withCheckedId(text: string, field: string, change: Change): Result<Change> {
  return nameRefusal(text, field) ?? done(change);
}

function dataCentreChange(message: DataCentreMessage, field: string): Result<Change> {
  const dataCentre: DataCentre = {
    id: brandAs<DataCentreId>(message.id),
    region: brandAs<RegionId>(message.region),
  };
  return (
    nameRefusal(message.region, `${field}.region`) ??
    withCheckedId(message.id, `${field}.id`, { kind: 'put_data_centre', dataCentre })
  );
}

function teamChange(message: TeamMessage, field: string): Result<Change> {
  if (message.limit === undefined) {
    return refused('malformed', 'expected the resource limit of the team', `${field}.limit`);
  }
  if (message.share < 1) {
    return refused('malformed', 'expected a share of at least 1', `${field}.share`);
  }
  const team: Team = {
    id: brandAs<TeamId>(message.id),
    share: message.share,
    limit: decodeResources(message.limit),
  };
  return withCheckedId(message.id, `${field}.id`, { kind: 'put_team', team });
}

function queueChange(message: QueueMessage, field: string): Result<Change> {
  if (message.maxWaiting < 1) {
    return refused('malformed', 'expected at least 1', `${field}.maxWaiting`);
  }
  if (message.openFor !== '' && message.teams.length > 0) {
    return refused('malformed', 'expected either teams or openFor, not both', `${field}.teams`);
  }
  return (
    accessRefusal(message, field) ??
    withCheckedId(message.id, `${field}.id`, { kind: 'put_queue', queue: decodeQueue(message) })
  );
}

function accessRefusal({ openFor, teams }: QueueMessage, field: string): Result<never> | undefined {
  if (openFor !== '') {
    return nameRefusal(openFor, `${field}.openFor`);
  }
  const refusals = teams.map((team, index) => nameRefusal(team, `${field}.teams[${index}]`));
  return refusals.find((refusal) => refusal !== undefined);
}

function decodeQueue(message: QueueMessage): Queue {
  const access: Queue['access'] =
    message.openFor === ''
      ? { kind: 'teams', teams: message.teams.map((team) => brandAs<TeamId>(team)) }
      : { kind: 'open', team: brandAs<TeamId>(message.openFor) };
  return { id: brandAs<QueueId>(message.id), access, maxWaiting: message.maxWaiting };
}

const SECRET_HASH_PATTERN = /^[0-9a-f]{64}$/;

function keyChange(message: KeyMessage, field: string): Result<Change> {
  if (!SECRET_HASH_PATTERN.test(message.secretHash)) {
    return refused('malformed', 'expected a SHA-256 in lower-case hex', `${field}.secretHash`);
  }
  const key: Key = {
    id: brandAs<KeyId>(message.id),
    team: message.team === '' ? null : brandAs<TeamId>(message.team),
    secretHash: message.secretHash,
    withdrawn: message.withdrawn,
  };
  const refusal = key.team === null ? undefined : nameRefusal(key.team, `${field}.team`);
  return refusal ?? withCheckedId(message.id, `${field}.id`, { kind: 'put_key', key });
}
