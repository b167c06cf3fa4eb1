/** Text form of one record. */

import type { z } from 'zod';

export abstract class Codec<Entry> {
  abstract encode(record: Entry): string;

  /** The record, or nothing if the parsed JSON is not one. Never throws. */
  abstract decode(json: unknown): Entry | undefined;
}

/** Records as JSON that a zod schema checks when they are read. */
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
