/** Writes events as lines to a descriptor, in bounded volume and without waiting for the reader. */

import { write } from 'node:fs';
import { EventLog } from './logger.js';
import { lineOf, type Fields } from './line.js';

/** Lines are gathered for so long before they are written, milliseconds. */
const GATHER_MILLIS = 100;
/** Bytes that may wait; lines beyond are counted instead. A few seconds of a busy process. */
const MAX_WAITING_BYTES = 512 * 1024;

/**
 * Most bytes of one write, unless a line is longer: a pipe takes so many whole or not at all, and
 * what reads it may keep only the beginning of a larger piece.
 */
const MAX_WRITE_BYTES = 4096;
/** Pause before a reader that takes nothing is tried again, milliseconds. */
const RETRY_MILLIS = 20;
const LINE_FEED = 0x0a;

/**
 * Writes to a descriptor and tells how many bytes it took, which may be fewer than it was given;
 * `fs.write` but in tests.
 */
export type WriteBytes = (
  descriptor: number,
  bytes: Buffer,
  done: (error: NodeJS.ErrnoException | null, written: number) => void,
) => void;

export class LineLog extends EventLog {
  private lines: string[] = [];
  private waitingBytes = 0;
  private dropped = 0;
  private isWriting = false;
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly descriptor: number,
    /** Stands in each line, such as the member's name. */
    private readonly common: Fields,
    private readonly wallMillis: () => number,
    private readonly writeBytes: WriteBytes = writeToDescriptor,
  ) {
    super();
  }

  event(name: string, fields: Fields = {}): void {
    if (this.waitingBytes > MAX_WAITING_BYTES) {
      this.dropped += 1;
      return;
    }
    this.add(lineOf(name, { at: Math.round(this.wallMillis()), ...this.common, ...fields }));
    this.timer ??= setTimeout(() => {
      this.timer = undefined;
      this.flush();
    }, GATHER_MILLIS).unref();
  }

  /** Writes what waits. */
  flush(): void {
    if (this.isWriting || this.lines.length === 0) {
      return;
    }
    if (this.dropped > 0) {
      this.add(lineOf('log.dropped', { ...this.common, lines: this.dropped }));
      this.dropped = 0;
    }
    const bytes = Buffer.from(`${this.nextLines().join('\n')}\n`);
    this.isWriting = true;
    this.write(bytes);
  }

  /** Takes whole lines for one write. */
  private nextLines(): string[] {
    let bytes = 0;
    const end = this.lines.findIndex((line) => {
      bytes += Buffer.byteLength(line) + 1;
      return bytes > MAX_WRITE_BYTES;
    });
    return this.lines.splice(0, end < 0 ? this.lines.length : Math.max(1, end));
  }

  /** A pipe that is nearly full takes a part of the bytes, a full one none. */
  private write(bytes: Buffer): void {
    this.writeBytes(this.descriptor, bytes, (error, written) => {
      const rest = bytes.subarray(error === null ? written : 0);
      this.waitingBytes -= bytes.length - rest.length;
      if (error !== null && error.code !== 'EAGAIN') {
        this.lose(rest);
      } else if (rest.length > 0) {
        setTimeout(() => {
          this.write(rest);
        }, RETRY_MILLIS).unref();
      } else {
        this.isWriting = false;
        this.flush();
      }
    });
  }

  /** A reader that is gone must not end the process; the next line that is read tells the loss. */
  private lose(bytes: Buffer): void {
    this.isWriting = false;
    this.waitingBytes -= bytes.length;
    this.dropped += bytes.filter((byte) => byte === LINE_FEED).length;
  }

  private add(line: string): void {
    this.lines.push(line);
    this.waitingBytes += Buffer.byteLength(line) + 1;
  }
}

function writeToDescriptor(
  descriptor: number,
  bytes: Buffer,
  done: (error: NodeJS.ErrnoException | null, written: number) => void,
): void {
  write(descriptor, bytes, done);
}
