/** Field types of the schemas. The error message of each says what was expected. */

import { z } from 'zod';
import type { Branded } from '@bamboowell/types/ids';

/** Pattern of all ids that users choose. */
export const ID_PATTERN = /^[a-z0-9][a-z0-9-]{0,62}$/;
export const ID_DESCRIPTION = 'an id of 1 to 63 lower-case letters, digits and hyphens';

/** An id in settings or declarations. `tag` brands it, for example `brandAs<TeamId>`. */
export function id<Id extends Branded<string, string>>(tag: (text: string) => Id) {
  return z
    .string({ error: ID_DESCRIPTION })
    .regex(ID_PATTERN, { error: ID_DESCRIPTION })
    .transform(tag);
}

/** A string that is not empty. `meaning` describes it, for example `the path of a file`. */
export function text(meaning: string) {
  return z.string({ error: meaning }).min(1, { error: meaning });
}

export function wholeNumber(min: number, max: number) {
  const error = `a whole number from ${min} to ${max}`;
  return z.int({ error }).min(min, { error }).max(max, { error });
}

/** A number from 0 to `max` with at most three decimal places. */
export function decimal(max: number) {
  const error = `a number from 0 to ${max} with at most three decimals`;
  return z
    .number({ error })
    .min(0, { error })
    .max(max, { error })
    .refine(hasAtMostThreeDecimals, { error });
}

const ROUNDING_TOLERANCE = 1e-6;

function hasAtMostThreeDecimals(value: number): boolean {
  const thousandths = value * 1000;
  return Math.abs(thousandths - Math.round(thousandths)) < ROUNDING_TOLERANCE;
}

export function oneOf<const Values extends readonly [string, ...string[]]>(values: Values) {
  return z.enum(values, { error: `one of ${values.join(', ')}` });
}

export function httpUrl() {
  return z.url({ protocol: /^https?$/, error: 'a URL that starts with http:// or https://' });
}

/** A SHA-256 hash in hex. */
export function sha256() {
  const error = 'a SHA-256 as 64 lower-case hex digits';
  return z.string({ error }).regex(/^[0-9a-f]{64}$/, { error });
}

export function listOf<Item extends z.ZodType>(item: Item) {
  return z.array(item, { error: 'a list' });
}

/** An object with these fields and no others. */
export function objectOf<Shape extends z.core.$ZodLooseShape>(shape: Shape) {
  return z.strictObject(shape, {
    error: (issue) =>
      issue.code === 'unrecognized_keys'
        ? `one of the fields ${Object.keys(shape).join(', ')}`
        : 'an object',
  });
}
