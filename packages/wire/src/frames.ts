/** Framing of a byte stream: JSON texts in UTF-8, each terminated by a line feed. */

const LINE_FEED = 0x0a;
const LINE_FEED_TEXT = '\n';

/** Maximum length of a frame that is sent or received, bytes. */
export const MAX_FRAME_BYTES = 4 * 1024 * 1024;

/** Encodes a message. JSON.stringify escapes line feeds, so that the text contains none. */
export function encodeFrame(message: unknown): Buffer {
  return Buffer.from(JSON.stringify(message) + LINE_FEED_TEXT, 'utf8');
}

/** Thrown when a frame exceeds the maximum length. */
export class OversizeFrameError extends Error {
  constructor(readonly bytes: number) {
    super(`a frame is too long: it has at least ${bytes} bytes`);
  }
}

/** Splits a byte stream into frames. */
export class FrameReader {
  private parts: Buffer[] = [];
  private partialBytes = 0;

  constructor(private readonly maxBytes: number = MAX_FRAME_BYTES) {}

  /** Whether the bytes read so far end in the middle of a frame. */
  get hasPartialFrame(): boolean {
    return this.partialBytes > 0;
  }

  /**
   * Reads the next bytes and returns the frames that they complete, without their line feeds.
   * @throws OversizeFrameError
   */
  read(chunk: Buffer): Buffer[] {
    const frames: Buffer[] = [];
    let from = 0;
    for (let at = chunk.indexOf(LINE_FEED); at >= 0; at = chunk.indexOf(LINE_FEED, from)) {
      this.append(chunk.subarray(from, at));
      frames.push(this.take());
      from = at + 1;
    }
    this.append(chunk.subarray(from));
    return frames;
  }

  private append(part: Buffer): void {
    this.partialBytes += part.length;
    if (this.partialBytes > this.maxBytes) {
      throw new OversizeFrameError(this.partialBytes);
    }
    if (part.length > 0) {
      this.parts.push(part);
    }
  }

  private take(): Buffer {
    const [only] = this.parts;
    const frame = this.parts.length === 1 && only !== undefined ? only : Buffer.concat(this.parts);
    this.parts = [];
    this.partialBytes = 0;
    return frame;
  }
}
