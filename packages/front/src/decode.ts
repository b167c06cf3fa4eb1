/** Turns messages of the schema into the backend's types, or names the field that is wrong. */

import { match } from 'ts-pattern';
import { z } from 'zod';
import type {
  Change as ChangeMessage,
  Queue as QueueMessage,
  Resources as ResourcesMessage,
  Team as TeamMessage,
  Key as KeyMessage,
} from '@bamboowell/schema/generated/bamboowell/v1/bamboowell_pb';
import {
  Urgency as UrgencyValue,
  type CallRequest,
  type SubmitRequest,
} from '@bamboowell/schema/generated/bamboowell/v1/bamboowell_pb';
import type { Change, Key, Queue, Team } from '@bamboowell/types/declarations';
import {
  brandAs,
  type DataCentreId,
  type KeyId,
  type QueueId,
  type RegionId,
  type RequestId,
  type TeamId,
  type WorkId,
} from '@bamboowell/types/ids';
import type { Resources } from '@bamboowell/types/resources';
import { done, refused, type Result } from '@bamboowell/types/verdict';
import type { Shape, Urgency } from '@bamboowell/types/work';
import type { Order } from './backend.js';

const MAX_NAME_LENGTH = 63;
const MAX_REQUEST_ID_LENGTH = 128;
export const MAX_TASKS = 10_000;
export const MAX_PAYLOAD_CHARS = 65_536;

const name = z
  .string()
  .min(1, 'must not be empty')
  .max(MAX_NAME_LENGTH)
  .regex(/^[a-z0-9][a-z0-9-]*$/, 'must be lower-case letters, digits and hyphens');
const optionalName = z.union([z.literal(''), name]);
const requestId = z.string().min(1, 'must not be empty').max(MAX_REQUEST_ID_LENGTH);
const count = z.number().int().min(1, 'must be at least 1').max(MAX_TASKS);
const payload = z.string().max(MAX_PAYLOAD_CHARS);
const resources = z
  .object({
    millicores: z.number(),
    memoryMib: z.number(),
    accelerators: z.number(),
    slots: z.number(),
  })
  .refine(
    (amount) => amount.millicores + amount.memoryMib + amount.accelerators + amount.slots > 0,
    {
      error: 'must ask for something',
    },
  );

const submitFields = z.object({
  queue: name,
  requestId,
  demand: resources,
  payload,
  dataCentre: optionalName,
});

const callFields = z.object({ queue: name, requestId, payload, dataCentre: optionalName });

const ONE_SLOT: Resources = { millicores: 0, memoryMib: 0, accelerators: 0, slots: 1 };

export function orderOfSubmit(request: SubmitRequest): Result<Order> {
  const problem = problemOf(submitFields, request);
  if (problem !== undefined) {
    return problem;
  }
  const shape = shapeOf(request);
  if (shape.kind === 'refused') {
    return shape;
  }
  return done({
    queue: brandAs<QueueId>(request.queue),
    requestId: brandAs<RequestId>(request.requestId),
    shape: shape.value,
    urgency: urgencyOf(request.urgency),
    demand: resourcesFrom(request.demand),
    expectedMillis: request.expectedMillis,
    idempotent: request.idempotent,
    checkpointable: request.checkpointable,
    payload: request.payload,
    dataCentre: dataCentreFrom(request.dataCentre),
  });
}

export function orderOfCall(request: CallRequest): Result<Order> {
  const problem = problemOf(callFields, request);
  if (problem !== undefined) {
    return problem;
  }
  const demand = request.demand === undefined ? ONE_SLOT : resourcesFrom(request.demand);
  return done({
    queue: brandAs<QueueId>(request.queue),
    requestId: brandAs<RequestId>(request.requestId),
    shape: { kind: 'quick_call' },
    urgency: urgencyOf(request.urgency),
    demand: demand.slots === 0 ? { ...demand, slots: 1 } : demand,
    expectedMillis: 0,
    idempotent: request.idempotent,
    checkpointable: false,
    payload: request.payload,
    dataCentre: dataCentreFrom(request.dataCentre),
  });
}

const workIdPattern = /^[a-z0-9-]+:[a-z0-9-]+:[A-Za-z0-9_-]+$/;

export function workIdFromText(text: string, field: string): Result<WorkId> {
  return workIdPattern.test(text)
    ? done(brandAs<WorkId>(text))
    : refused('malformed', 'expected a work id such as `data-centre:team:unique`', field);
}

export function changesFrom(messages: readonly ChangeMessage[]): Result<Change[]> {
  const changes: Change[] = [];
  for (const [index, message] of messages.entries()) {
    const change = changeFrom(message, `changes[${index}]`);
    if (change.kind === 'refused') {
      return change;
    }
    changes.push(change.value);
  }
  return done(changes);
}

function changeFrom({ change }: ChangeMessage, field: string): Result<Change> {
  return match(change)
    .returnType<Result<Change>>()
    .with({ case: 'putTeam' }, ({ value }) => teamChange(value, `${field}.putTeam`))
    .with({ case: 'putQueue' }, ({ value }) => queueChange(value, `${field}.putQueue`))
    .with({ case: 'putKey' }, ({ value }) => keyChange(value, `${field}.putKey`))
    .with({ case: 'putDataCentre' }, ({ value }) =>
      named(value.id, `${field}.putDataCentre.id`, {
        kind: 'put_data_centre',
        dataCentre: {
          id: brandAs<DataCentreId>(value.id),
          region: brandAs<RegionId>(value.region),
        },
      }),
    )
    .with({ case: 'removeTeam' }, ({ value }) =>
      named(value, `${field}.removeTeam`, { kind: 'remove_team', id: brandAs<TeamId>(value) }),
    )
    .with({ case: 'removeQueue' }, ({ value }) =>
      named(value, `${field}.removeQueue`, { kind: 'remove_queue', id: brandAs<QueueId>(value) }),
    )
    .with({ case: 'withdrawKey' }, ({ value }) =>
      named(value, `${field}.withdrawKey`, { kind: 'withdraw_key', id: brandAs<KeyId>(value) }),
    )
    .with({ case: 'removeDataCentre' }, ({ value }) =>
      named(value, `${field}.removeDataCentre`, {
        kind: 'remove_data_centre',
        id: brandAs<DataCentreId>(value),
      }),
    )
    .with({ case: undefined }, () => refused('malformed', 'expected one kind of change', field))
    .exhaustive();
}

function named(text: string, field: string, change: Change): Result<Change> {
  const checked = name.safeParse(text);
  return checked.success
    ? done(change)
    : refused('malformed', checked.error.issues[0]?.message ?? 'expected a name', field);
}

function teamChange(message: TeamMessage, field: string): Result<Change> {
  if (message.limit === undefined) {
    return refused('malformed', 'expected the upper limit of the team', `${field}.limit`);
  }
  if (message.share < 1) {
    return refused('malformed', 'expected a share of at least 1', `${field}.share`);
  }
  const team: Team = {
    id: brandAs<TeamId>(message.id),
    share: message.share,
    limit: resourcesFrom(message.limit),
  };
  return named(message.id, `${field}.id`, { kind: 'put_team', team });
}

function queueChange(message: QueueMessage, field: string): Result<Change> {
  if (message.maxWaiting < 1) {
    return refused('malformed', 'expected at least 1', `${field}.maxWaiting`);
  }
  if (message.openFor !== '' && message.teams.length > 0) {
    return refused('malformed', 'expected either teams or openFor, not both', `${field}.teams`);
  }
  return named(message.id, `${field}.id`, { kind: 'put_queue', queue: queueFrom(message) });
}

export function queueFrom(message: QueueMessage): Queue {
  const access: Queue['access'] =
    message.openFor === ''
      ? { kind: 'teams', teams: message.teams.map((team) => brandAs<TeamId>(team)) }
      : { kind: 'open', team: brandAs<TeamId>(message.openFor) };
  return { id: brandAs<QueueId>(message.id), access, maxWaiting: message.maxWaiting };
}

const SECRET_HASH = /^[0-9a-f]{64}$/;

function keyChange(message: KeyMessage, field: string): Result<Change> {
  if (!SECRET_HASH.test(message.secretHash)) {
    return refused('malformed', 'expected a SHA-256 in lower-case hex', `${field}.secretHash`);
  }
  const key: Key = {
    id: brandAs<KeyId>(message.id),
    team: message.team === '' ? null : brandAs<TeamId>(message.team),
    secretHash: message.secretHash,
    withdrawn: message.withdrawn,
  };
  return named(message.id, `${field}.id`, { kind: 'put_key', key });
}

function shapeOf({ shape }: SubmitRequest): Result<Shape> {
  return match(shape)
    .returnType<Result<Shape>>()
    .with({ case: 'service' }, ({ value }) =>
      counted(value.replicas, 'service.replicas', { kind: 'service', replicas: value.replicas }),
    )
    .with({ case: 'batch' }, ({ value }) =>
      counted(value.tasks, 'batch.tasks', { kind: 'batch', tasks: value.tasks }),
    )
    .with({ case: 'gang' }, ({ value }) =>
      counted(value.tasks, 'gang.tasks', { kind: 'gang', tasks: value.tasks }),
    )
    .with({ case: undefined }, () =>
      refused('malformed', 'expected one of service, batch and gang', 'shape'),
    )
    .exhaustive();
}

function counted(value: number, field: string, shape: Shape): Result<Shape> {
  const checked = count.safeParse(value);
  return checked.success
    ? done(shape)
    : refused('impossible_size', `expected 1 to ${MAX_TASKS}, found ${value}`, field);
}

function urgencyOf(value: UrgencyValue): Urgency {
  return match(value)
    .returnType<Urgency>()
    .with(UrgencyValue.URGENT, () => 'urgent')
    .with(UrgencyValue.PATIENT, () => 'patient')
    .otherwise(() => 'ordinary');
}

export function resourcesFrom(message: ResourcesMessage | undefined): Resources {
  return {
    millicores: message?.millicores ?? 0,
    memoryMib: message?.memoryMib ?? 0,
    accelerators: message?.accelerators ?? 0,
    slots: message?.slots ?? 0,
  };
}

function dataCentreFrom(text: string): DataCentreId | null {
  return text === '' ? null : brandAs<DataCentreId>(text);
}

function problemOf(schema: z.ZodType, value: unknown): Result<never> | undefined {
  const checked = schema.safeParse(value);
  const issue = checked.error?.issues[0];
  if (issue === undefined) {
    return undefined;
  }
  const field = issue.path.join('.');
  return refused('malformed', `${field} ${issue.message}`, field);
}
