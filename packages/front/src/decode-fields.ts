/** Validation and decoding of fields that several requests share. */

import { z } from 'zod';
import type { Resources as ResourcesMessage } from '@bamboowell/schema/generated/bamboowell/v1/bamboowell_pb';
import type { Resources } from '@bamboowell/types/resources';
import { refused, type Result } from '@bamboowell/types/verdict';

const MAX_NAME_LENGTH = 63;

/** The name or id of a team, queue, key, data centre or region. */
export const name = z
  .string()
  .min(1, 'must not be empty')
  .max(MAX_NAME_LENGTH)
  .regex(/^[a-z0-9][a-z0-9-]*$/, 'must be lower-case letters, digits and hyphens');

export const optionalName = z.union([z.literal(''), name]);

/** A refusal if the name is invalid, otherwise undefined. */
export function nameRefusal(text: string, field: string): Result<never> | undefined {
  const issue = name.safeParse(text).error?.issues[0];
  return issue === undefined ? undefined : refused('malformed', issue.message, field);
}

/** Missing amounts become zero. */
export function decodeResources(message: ResourcesMessage | undefined): Resources {
  return {
    millicores: message?.millicores ?? 0,
    memoryMib: message?.memoryMib ?? 0,
    accelerators: message?.accelerators ?? 0,
    slots: message?.slots ?? 0,
  };
}
