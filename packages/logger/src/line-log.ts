/** Writes events as lines to a descriptor, in bounded volume and without waiting for the reader. */

import { write } from 'node:fs';
import { EventLog } from './logger.js';
import { lineOf, type Fields } from './line.js';

/** Lines are gathered for so long before they are written, milliseconds. */
const GATHER_MILLIS = 100;
/** Bytes that may wait; lines beyond are counted instead. A few seconds of a busy process. */
const MAX_WAITING_BYTES = 512 * 1024;

/** Writes to a descriptor and calls back when done; `fs.write` but in tests. */
export type WriteBytes = (
  descriptor: number,
  bytes: Buffer,
  done: (error: Error | null) => void,
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
    const bytes = Buffer.from(`${this.lines.join('\n')}\n`);
    this.lines = [];
    this.isWriting = true;
    this.writeBytes(this.descriptor, bytes, (error) => {
      this.isWriting = false;
      this.waitingBytes -= bytes.length;
      // A reader that is gone must not end the process; there is nowhere to say so.
      if (error === null) {
        this.flush();
      }
    });
  }

  private add(line: string): void {
    this.lines.push(line);
    this.waitingBytes += Buffer.byteLength(line) + 1;
  }
}

function writeToDescriptor(
  descriptor: number,
  bytes: Buffer,
  done: (error: Error | null) => void,
): void {
  write(descriptor, bytes, done);
}
