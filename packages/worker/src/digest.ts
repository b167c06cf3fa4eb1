/** Length and SHA-256 that are sent with an answer, so that truncation and damage are detected. */

import { createHash } from 'node:crypto';

export interface Digest {
  /** Length of the text in UTF-8. */
  readonly bytes: number;
  /** SHA-256 of the text in UTF-8, hex. */
  readonly sha256: string;
}

export function digestOf(text: string): Digest {
  return {
    bytes: Buffer.byteLength(text, 'utf8'),
    sha256: createHash('sha256').update(text, 'utf8').digest('hex'),
  };
}

/** Whether the text matches the digest. Compares the length first. */
export function matchesDigest(text: string, digest: Digest): boolean {
  return (
    Buffer.byteLength(text, 'utf8') === digest.bytes && digestOf(text).sha256 === digest.sha256
  );
}
