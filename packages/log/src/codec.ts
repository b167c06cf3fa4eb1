/** Encoding of records as text. */

import type { z } from 'zod';

export abstract class Codec<Entry> {
  abstract encode(record: Entry): string;

  /** Returns undefined if the parsed JSON is not a valid record. Never throws. */
  abstract decode(json: unknown): Entry | undefined;
}

/** Encodes records as JSON and validates them with a zod schema when decoding. */
export class JsonCodec<Entry> extends Codec<Entry> {
  constructor(private readonly schema: z.ZodType) {
    super();
  }

  encode(record: Entry): string {
    return JSON.stringify(record);
  }

  decode(json: unknown): Entry | undefined {
    const result = this.schema.safeParse(json);
    return result.success ? (result.data as Entry) : undefined;
  }
}
