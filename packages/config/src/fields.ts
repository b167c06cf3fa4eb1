/** Building blocks of the schemas. The message of each says what was expected. */

import { z } from 'zod';
import type { Branded } from '@bamboowell/types/ids';

/** The form of all ids that people choose. */
export const ID_PATTERN = /^[a-z0-9][a-z0-9-]{0,62}$/;
export const ID_DESCRIPTION = 'an id of 1 to 63 lower-case letters, digits and hyphens';

/** An id that stands in settings or declarations; `tag` brands it, as in `brandAs<TeamId>`. */
export function id<Id extends Branded<string, string>>(tag: (text: string) => Id) {
  return z
    .string({ error: ID_DESCRIPTION })
    .regex(ID_PATTERN, { error: ID_DESCRIPTION })
    .transform(tag);
}

/** A text that is not empty. `meaning` says what it is, as in `the path of a file`. */
export function text(meaning: string) {
  return z.string({ error: meaning }).min(1, { error: meaning });
}

export function wholeNumber(least: number, most: number) {
  const error = `a whole number from ${least} to ${most}`;
  return z.int({ error }).min(least, { error }).max(most, { error });
}

/** A number of at most three decimal places, not negative. */
export function decimal(most: number) {
  const error = `a number from 0 to ${most} with at most three decimals`;
  return z
    .number({ error })
    .min(0, { error })
    .max(most, { error })
    .refine(isInThousandths, { error });
}

const ROUNDING = 1e-6;

function isInThousandths(value: number): boolean {
  const thousandths = value * 1000;
  return Math.abs(thousandths - Math.round(thousandths)) < ROUNDING;
}

export function oneOf<const Values extends readonly [string, ...string[]]>(values: Values) {
  return z.enum(values, { error: `one of ${values.join(', ')}` });
}

export function httpUrl() {
  return z.url({ protocol: /^https?$/, error: 'a URL that starts with http:// or https://' });
}

/** SHA-256 in hex. */
export function sha256() {
  const error = 'a SHA-256 as 64 lower-case hex digits';
  return z.string({ error }).regex(/^[0-9a-f]{64}$/, { error });
}

export function listOf<Item extends z.ZodType>(item: Item) {
  return z.array(item, { error: 'a list' });
}

/** An object of these fields and no others. */
export function objectOf<Shape extends z.core.$ZodLooseShape>(shape: Shape) {
  return z.strictObject(shape, {
    error: (issue) =>
      issue.code === 'unrecognized_keys'
        ? `one of the fields ${Object.keys(shape).join(', ')}`
        : 'an object',
  });
}
