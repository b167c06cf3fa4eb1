/** Reads request bodies up to a maximum size. */

/** How much of an oversize body is read and discarded beyond the limit. The rest stays unread. */
const MAX_DISCARDED_BYTES = 64 * 1024 * 1024;

export type Body =
  | { readonly kind: 'whole'; readonly chunks: readonly Uint8Array[] }
  /**
   * `isFullyRead` tells whether the whole body was read and discarded, so that the connection can be
   * reused. Closing a connection that still has unread bytes may lose the response.
   */
  | { readonly kind: 'too_large'; readonly isFullyRead: boolean }
  /** The connection failed before the whole body arrived. */
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
      if (bytes > maxBytes + MAX_DISCARDED_BYTES) {
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
