/**
 * Text format of one log entry, which holds the records of one append:
 * `{"version":1,"writers":["w"],"records":[[writer index, sequence, record], ...]}`.
 * Long entries are compressed: `deflate:` and the raw deflate stream of the JSON in base64.
 */

import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { z } from 'zod';
import { brandAs, type Sequence, type WriterId } from '@bamboowell/types/ids';
import type { Stamped } from '@bamboowell/types/records';
import type { Codec } from './codec.js';

const FORMAT_VERSION = 1;

/** Shorter entries would gain little, so they are left uncompressed and readable. */
const MIN_COMPRESSED_CHARACTERS = 1000;
const COMPRESSED_PREFIX = 'deflate:';

/** Maximum size of an entry after decompression, bytes. */
const MAX_ENTRY_BYTES = 16_000_000;

/** Upper bound of the bytes that a record's writer and sequence number take in an entry. */
const RECORD_OVERHEAD_BYTES = 32;

/** An encoded record with its writer and sequence number, ready to be packed into an entry. */
export interface EncodedRecord {
  readonly writer: WriterId;
  readonly sequence: Sequence;
  readonly text: string;
  readonly bytes: number;
}

const entrySchema = z.object({
  version: z.literal(FORMAT_VERSION),
  writers: z.array(z.string().min(1)),
  records: z.array(z.tuple([z.int().min(0), z.int().min(1), z.unknown()])),
});

/** Adds the writer and sequence number to the encoded text of a record. */
export function encodeRecord(writer: WriterId, sequence: Sequence, text: string): EncodedRecord {
  return { writer, sequence, text, bytes: Buffer.byteLength(text) + RECORD_OVERHEAD_BYTES };
}

export function packEntry(records: readonly EncodedRecord[]): string {
  const writers = [...new Set(records.map((record) => record.writer))];
  const texts = records.map(
    ({ writer, sequence, text }) => `[${writers.indexOf(writer)},${sequence},${text}]`,
  );
  return compress(
    `{"version":${FORMAT_VERSION},"writers":${JSON.stringify(writers)},"records":[${texts.join(',')}]}`,
  );
}

/**
 * Returns the records of an entry, or undefined if any part of it can't be decoded. Never throws.
 */
export function unpackEntry<Entry>(
  body: string,
  codec: Codec<Entry>,
): readonly Stamped<Entry>[] | undefined {
  const entry = entrySchema.safeParse(parseEntry(body));
  if (!entry.success) {
    return undefined;
  }
  const records: Stamped<Entry>[] = [];
  for (const [index, sequence, json] of entry.data.records) {
    const writer = entry.data.writers[index];
    const record = codec.decode(json);
    if (writer === undefined || record === undefined) {
      return undefined;
    }
    records.push({
      writer: brandAs<WriterId>(writer),
      sequence: brandAs<Sequence>(sequence),
      record,
    });
  }
  return records;
}

function compress(text: string): string {
  return text.length < MIN_COMPRESSED_CHARACTERS
    ? text
    : COMPRESSED_PREFIX + deflateRawSync(text).toString('base64');
}

function parseEntry(body: string): unknown {
  try {
    return JSON.parse(decompress(body)) as unknown;
  } catch {
    return undefined;
  }
}

/** @throws Error if the body can't be decompressed or would exceed the maximum size. */
function decompress(body: string): string {
  if (!body.startsWith(COMPRESSED_PREFIX)) {
    return body;
  }
  const compressed = Buffer.from(body.slice(COMPRESSED_PREFIX.length), 'base64');
  return inflateRawSync(compressed, { maxOutputLength: MAX_ENTRY_BYTES }).toString();
}
