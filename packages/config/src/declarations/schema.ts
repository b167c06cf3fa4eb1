/** Zod schema of a file of declarations, which gives resources in cores and GiB. */

import { z } from 'zod';
import type { DataCentre, Queue, Team } from '@bamboowell/types/declarations';
import {
  brandAs,
  type DataCentreId,
  type QueueId,
  type RegionId,
  type TeamId,
} from '@bamboowell/types/ids';
import type { Resources } from '@bamboowell/types/resources';
import { decimal, id, listOf, objectOf, text, wholeNumber } from '../fields.js';

export const MILLICORES_PER_CORE = 1000;
export const MIB_PER_GIB = 1024;

const MAX_CORES = 4_000_000;
const MAX_GIB = 4_000_000;
const MAX_COUNT = 4_000_000_000;
const MAX_SHARE = 1_000_000;

const limit = objectOf({
  cores: decimal(MAX_CORES),
  memoryGib: gibibytes(MAX_GIB).describe('GiB, rounded to the nearest MiB'),
  accelerators: wholeNumber(0, MAX_COUNT).default(0),
  slots: wholeNumber(0, MAX_COUNT).default(0).describe('slots for quick calls and services'),
}).describe('most resources that the running tasks of the team may use across the fleet');

const team = objectOf({
  id: id(brandAs<TeamId>),
  share: wholeNumber(1, MAX_SHARE).describe('weight of the team when capacity is scarce'),
  limit: limit.transform(resourcesOfLimit),
});

const queue = objectOf({
  id: id(brandAs<QueueId>),
  teams: listOf(id(brandAs<TeamId>))
    .optional()
    .describe('the teams that may use the queue'),
  openFor: id(brandAs<TeamId>)
    .optional()
    .describe('opens the queue to all callers; their work counts towards this team'),
  maxWaiting: wholeNumber(1, MAX_COUNT).describe('most work items that may wait in the queue'),
})
  .refine(({ teams, openFor }) => (teams === undefined) !== (openFor === undefined), {
    error: 'either teams or openFor',
  })
  .meta({ oneOf: [{ required: ['teams'] }, { required: ['openFor'] }] });

const dataCentre = objectOf({ id: id(brandAs<DataCentreId>), region: id(brandAs<RegionId>) });

/** One file of declarations. Each list is optional. */
export const declarationsSchema = objectOf({
  $schema: text('the path of the JSON Schema').optional(),
  teams: listOf(team).default([]),
  queues: listOf(queue.transform(queueOf)).default([]),
  dataCentres: listOf(dataCentre).default([]),
});

/** The content of one valid file. */
export interface DeclarationsFileContent {
  readonly teams: readonly Team[];
  readonly queues: readonly Queue[];
  readonly dataCentres: readonly DataCentre[];
}

/** The JSON Schema that editors use to complete and validate declarations. */
export function declarationsJsonSchema(): object {
  return z.toJSONSchema(declarationsSchema, { io: 'input' });
}

function gibibytes(max: number) {
  const error = `a number from 0 to ${max}`;
  return z.number({ error }).min(0, { error }).max(max, { error });
}

function resourcesOfLimit(declared: z.output<typeof limit>): Resources {
  return {
    millicores: Math.round(declared.cores * MILLICORES_PER_CORE),
    memoryMib: Math.round(declared.memoryGib * MIB_PER_GIB),
    accelerators: declared.accelerators,
    slots: declared.slots,
  };
}

function queueOf({ id, teams, openFor, maxWaiting }: z.output<typeof queue>): Queue {
  const access =
    openFor === undefined
      ? ({ kind: 'teams', teams: teams ?? [] } as const)
      : ({ kind: 'open', team: openFor } as const);
  return { id, access, maxWaiting };
}
