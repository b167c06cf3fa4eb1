/** Reads the bodies of requests within a bound. */

/** What is read and dropped of a body that is too large, bytes; the rest is left unread. */
const MAX_DROPPED_BYTES = 64 * 1024 * 1024;

export type Body =
  | { readonly kind: 'whole'; readonly chunks: readonly Uint8Array[] }
  /**
   * `isRead`: all of it was read and dropped, so that the connection can carry further requests.
   * A connection that is closed over unread bytes may lose the answer.
   */
  | { readonly kind: 'too_large'; readonly isFullyRead: boolean }
  /** The caller went away. */
  | { readonly kind: 'broken' };

export async function readBody(
  stream: ReadableStream<Uint8Array> | null,
  maxBytes: number,
): Promise<Body> {
  const chunks: Uint8Array[] = [];
  let bytes = 0;
  try {
    for await (const chunk of stream ?? []) {
      bytes += chunk.byteLength;
      if (bytes > maxBytes + MAX_DROPPED_BYTES) {
        return { kind: 'too_large', isFullyRead: false };
      }
      if (bytes <= maxBytes) {
        chunks.push(chunk);
      }
    }
  } catch {
    return { kind: 'broken' };
  }
  return bytes > maxBytes ? { kind: 'too_large', isFullyRead: true } : { kind: 'whole', chunks };
}
