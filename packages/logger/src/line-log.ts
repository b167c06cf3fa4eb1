/**
 * Writes events as lines to a file descriptor, with a bounded buffer and without blocking on a slow
 * reader.
 */

import { write } from 'node:fs';
import { EventLog } from './logger.js';
import { lineOf, type Fields } from './line.js';

/** How long lines are collected before they are written together. */
const FLUSH_DELAY_MILLIS = 100;
/**
 * Limit of the buffer: a few seconds of a busy process. Lines beyond it are dropped and counted.
 */
const MAX_BUFFERED_BYTES = 512 * 1024;

/**
 * Limit of one write, unless a single line is longer. A pipe takes a write of up to this size
 * atomically, and a reader may keep only the beginning of a larger one.
 */
const MAX_WRITE_BYTES = 4096;
/**
 * Writes in progress at once. A write completes in the next iteration of the event loop, which takes a
 * tenth of a second in a process under full load: one write at a time would then lose most lines.
 */
const MAX_WRITES_IN_PROGRESS = 16;
/** Pause before the next write to a reader that can take no more bytes. */
const RETRY_MILLIS = 20;
const LINE_FEED = 0x0a;

/**
 * Writes to a file descriptor and reports how many bytes were written, which may be fewer than
 * given. This is `fs.write` except in tests.
 */
export type WriteBytes = (
  descriptor: number,
  bytes: Buffer,
  done: (error: NodeJS.ErrnoException | null, written: number) => void,
) => void;

export class LineLog extends EventLog {
  private lines: string[] = [];
  private bufferedBytes = 0;
  private dropped = 0;
  private writesInProgress = 0;
  /** Partial writes whose rest must be written before anything else. */
  private partialWrites = 0;
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly descriptor: number,
    /** Fields of every line, such as the member's name. */
    private readonly commonFields: Fields,
    private readonly wallMillis: () => number,
    private readonly writeBytes: WriteBytes = writeToDescriptor,
  ) {
    super();
  }

  event(name: string, fields: Fields = {}): void {
    if (this.bufferedBytes > MAX_BUFFERED_BYTES) {
      this.dropped += 1;
      return;
    }
    this.add(lineOf(name, { at: Math.round(this.wallMillis()), ...this.commonFields, ...fields }));
    this.timer ??= setTimeout(() => {
      this.timer = undefined;
      this.flush();
    }, FLUSH_DELAY_MILLIS).unref();
  }

  /** Writes the buffered lines, as far as further writes may be in progress. */
  flush(): void {
    if (this.dropped > 0 && this.lines.length > 0 && this.mayWrite) {
      this.add(lineOf('log.dropped', { ...this.commonFields, lines: this.dropped }));
      this.dropped = 0;
    }
    while (this.lines.length > 0 && this.mayWrite) {
      this.writesInProgress += 1;
      this.write(Buffer.from(`${this.nextLines().join('\n')}\n`));
    }
  }

  private get mayWrite(): boolean {
    return this.partialWrites === 0 && this.writesInProgress < MAX_WRITES_IN_PROGRESS;
  }

  /** Removes from the buffer the lines of the next write: at least one, and only whole ones. */
  private nextLines(): string[] {
    let bytes = 0;
    const end = this.lines.findIndex((line) => {
      bytes += Buffer.byteLength(line) + 1;
      return bytes > MAX_WRITE_BYTES;
    });
    return this.lines.splice(0, end < 0 ? this.lines.length : Math.max(1, end));
  }

  /**
   * Writes all bytes. A pipe that is nearly full takes only a part of them, and a full one none
   * (`EAGAIN`).
   */
  private write(bytes: Buffer, isRest = false): void {
    this.writeBytes(this.descriptor, bytes, (error, written) => {
      const rest = bytes.subarray(error === null ? written : 0);
      this.bufferedBytes -= bytes.length - rest.length;
      if (rest.length > 0 && (error === null || error.code === 'EAGAIN')) {
        this.partialWrites += isRest ? 0 : 1;
        setTimeout(() => {
          this.write(rest, true);
        }, RETRY_MILLIS).unref();
        return;
      }
      this.writesInProgress -= 1;
      this.partialWrites -= isRest ? 1 : 0;
      if (rest.length > 0) {
        this.discard(rest);
      } else {
        this.flush();
      }
    });
  }

  /**
   * Drops bytes that cannot be written. A reader that is gone must not end the process; the number
   * of lost lines is reported with the next write.
   */
  private discard(bytes: Buffer): void {
    this.bufferedBytes -= bytes.length;
    this.dropped += bytes.filter((byte) => byte === LINE_FEED).length;
  }

  private add(line: string): void {
    this.lines.push(line);
    this.bufferedBytes += Buffer.byteLength(line) + 1;
  }
}

function writeToDescriptor(
  descriptor: number,
  bytes: Buffer,
  done: (error: NodeJS.ErrnoException | null, written: number) => void,
): void {
  write(descriptor, bytes, done);
}
