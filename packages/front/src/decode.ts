/** Decodes and validates callers' requests. A refusal names the invalid field. */

import { match } from 'ts-pattern';
import { z } from 'zod';
import {
  Urgency as UrgencyValue,
  type CallRequest,
  type SubmitRequest,
} from '@bamboowell/schema/generated/bamboowell/v1/bamboowell_pb';
import {
  brandAs,
  type DataCentreId,
  type QueueId,
  type RequestId,
  type WorkId,
} from '@bamboowell/types/ids';
import type { Resources } from '@bamboowell/types/resources';
import { done, refused, type Result } from '@bamboowell/types/verdict';
import type { Shape, Urgency } from '@bamboowell/types/work';
import type { WorkRequest } from './backend.js';
import { name, optionalName, decodeResources } from './decode-fields.js';

const MAX_REQUEST_ID_LENGTH = 128;
export const MAX_TASKS = 10_000;
export const MAX_PAYLOAD_CHARS = 65_536;

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
      error: 'must request at least one resource',
    },
  );

/** Checked here because the Connect decoder accepts numbers that are not in the enum. */
const urgency = z.enum(UrgencyValue, 'must be one of the urgencies');

const submitFields = z.object({
  queue: name,
  requestId,
  urgency,
  demand: resources,
  payload,
  dataCentre: optionalName,
});

const callFields = z.object({
  queue: name,
  requestId,
  urgency,
  payload,
  dataCentre: optionalName,
});

const ONE_SLOT: Resources = { millicores: 0, memoryMib: 0, accelerators: 0, slots: 1 };

export function decodeSubmit(request: SubmitRequest): Result<WorkRequest> {
  const refusal = validationRefusal(submitFields, request);
  if (refusal !== undefined) {
    return refusal;
  }
  const shape = decodeShape(request);
  if (shape.kind === 'refused') {
    return shape;
  }
  return done({
    queue: brandAs<QueueId>(request.queue),
    requestId: brandAs<RequestId>(request.requestId),
    shape: shape.value,
    urgency: decodeUrgency(request.urgency),
    demand: decodeResources(request.demand),
    expectedMillis: request.expectedMillis,
    idempotent: request.idempotent,
    checkpointable: request.checkpointable,
    payload: request.payload,
    dataCentre: decodeDataCentre(request.dataCentre),
  });
}

export function decodeCall(request: CallRequest): Result<WorkRequest> {
  const refusal = validationRefusal(callFields, request);
  if (refusal !== undefined) {
    return refusal;
  }
  const demand = request.demand === undefined ? ONE_SLOT : decodeResources(request.demand);
  return done({
    queue: brandAs<QueueId>(request.queue),
    requestId: brandAs<RequestId>(request.requestId),
    shape: { kind: 'quick_call' },
    urgency: decodeUrgency(request.urgency),
    demand: demand.slots === 0 ? { ...demand, slots: 1 } : demand,
    expectedMillis: 0,
    idempotent: request.idempotent,
    checkpointable: false,
    payload: request.payload,
    dataCentre: decodeDataCentre(request.dataCentre),
  });
}

const WORK_ID_PATTERN = /^[a-z0-9-]+:[a-z0-9-]+:[A-Za-z0-9_-]+$/;

export function parseWorkId(text: string, field: string): Result<WorkId> {
  return WORK_ID_PATTERN.test(text)
    ? done(brandAs<WorkId>(text))
    : refused('malformed', 'expected a work id such as `data-centre:team:unique`', field);
}

function decodeShape({ shape }: SubmitRequest): Result<Shape> {
  return match(shape)
    .returnType<Result<Shape>>()
    .with({ case: 'service' }, ({ value }) =>
      checkCount(value.replicas, 'service.replicas', { kind: 'service', replicas: value.replicas }),
    )
    .with({ case: 'batch' }, ({ value }) =>
      checkCount(value.tasks, 'batch.tasks', { kind: 'batch', tasks: value.tasks }),
    )
    .with({ case: 'gang' }, ({ value }) =>
      checkCount(value.tasks, 'gang.tasks', { kind: 'gang', tasks: value.tasks }),
    )
    .with({ case: undefined }, () =>
      refused('malformed', 'expected one of service, batch and gang', 'shape'),
    )
    .exhaustive();
}

function checkCount(value: number, field: string, shape: Shape): Result<Shape> {
  const checked = count.safeParse(value);
  return checked.success
    ? done(shape)
    : refused('impossible_size', `expected 1 to ${MAX_TASKS}, found ${value}`, field);
}

function decodeUrgency(value: UrgencyValue): Urgency {
  return match(value)
    .returnType<Urgency>()
    .with(UrgencyValue.URGENT, () => 'urgent')
    .with(UrgencyValue.PATIENT, () => 'patient')
    .otherwise(() => 'ordinary');
}

function decodeDataCentre(text: string): DataCentreId | null {
  return text === '' ? null : brandAs<DataCentreId>(text);
}

function validationRefusal(schema: z.ZodType, value: unknown): Result<never> | undefined {
  const checked = schema.safeParse(value);
  const issue = checked.error?.issues[0];
  if (issue === undefined) {
    return undefined;
  }
  const field = issue.path.join('.');
  return refused('malformed', `${field} ${issue.message}`, field);
}
