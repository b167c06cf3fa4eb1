/** Fields that several requests share. */

import { z } from 'zod';
import type { Resources as ResourcesMessage } from '@bamboowell/schema/generated/bamboowell/v1/bamboowell_pb';
import type { Resources } from '@bamboowell/types/resources';
import { refused, type Result } from '@bamboowell/types/verdict';

const MAX_NAME_LENGTH = 63;

/** A name that people choose. */
export const name = z
  .string()
  .min(1, 'must not be empty')
  .max(MAX_NAME_LENGTH)
  .regex(/^[a-z0-9][a-z0-9-]*$/, 'must be lower-case letters, digits and hyphens');

export const optionalName = z.union([z.literal(''), name]);

/** What is wrong with the name, if anything is. */
export function nameRefusal(text: string, field: string): Result<never> | undefined {
  const issue = name.safeParse(text).error?.issues[0];
  return issue === undefined ? undefined : refused('malformed', issue.message, field);
}

/** Amounts that are absent are zero. */
export function decodeResources(message: ResourcesMessage | undefined): Resources {
  return {
    millicores: message?.millicores ?? 0,
    memoryMib: message?.memoryMib ?? 0,
    accelerators: message?.accelerators ?? 0,
    slots: message?.slots ?? 0,
  };
}
