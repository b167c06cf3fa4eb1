/** Schema of a file of declarations. Sizes stand in units that people use. */

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

const MOST_CORES = 4_000_000;
const MOST_GIB = 4_000_000;
const MOST_COUNT = 4_000_000_000;
const MOST_SHARE = 1_000_000;

const limit = objectOf({
  cores: decimal(MOST_CORES),
  memoryGib: gibibytes(MOST_GIB).describe('GiB; taken to the nearest MiB'),
  accelerators: wholeNumber(0, MOST_COUNT).default(0),
  slots: wholeNumber(0, MOST_COUNT).default(0).describe('slots for quick calls and services'),
}).describe('the most that the team may have running across the fleet');

const team = objectOf({
  id: id(brandAs<TeamId>),
  share: wholeNumber(1, MOST_SHARE).describe('weight of the team when everything is full'),
  limit: limit.transform(resourcesOfLimit),
});

const queue = objectOf({
  id: id(brandAs<QueueId>),
  teams: listOf(id(brandAs<TeamId>))
    .optional()
    .describe('the teams that may use the queue'),
  openFor: id(brandAs<TeamId>)
    .optional()
    .describe('opens the queue to all, for the account of this team'),
  maxWaiting: wholeNumber(1, MOST_COUNT).describe('the most pieces of work that may wait'),
})
  .refine(({ teams, openFor }) => (teams === undefined) !== (openFor === undefined), {
    error: 'either teams or openFor',
  })
  .meta({ oneOf: [{ required: ['teams'] }, { required: ['openFor'] }] });

const dataCentre = objectOf({ id: id(brandAs<DataCentreId>), region: id(brandAs<RegionId>) });

/** One file. Each list may be missing. */
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

/** The JSON Schema by which editors complete and check declarations. */
export function declarationsJsonSchema(): object {
  return z.toJSONSchema(declarationsSchema, { io: 'input' });
}

function gibibytes(most: number) {
  const error = `a number from 0 to ${most}`;
  return z.number({ error }).min(0, { error }).max(most, { error });
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
