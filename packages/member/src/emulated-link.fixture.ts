/** Network links with limited bandwidth, of machines and between regions. */

import type { Clock } from '@bamboowell/kernel/clock';
import { deadlineAfter } from '@bamboowell/types/time';

const BITS_PER_BYTE = 8;
/** Bits per millisecond of a link of one megabit per second. */
const BITS_PER_MILLI = 1000;
/** Shorter waits are skipped, because the emulation advances time in larger steps. */
const MIN_WAIT_MILLIS = 1;
/** Overhead of a message beyond its body. */
const HEADER_BYTES = 200;

/** A machine's link: messages queue up, separately in each direction. */
export class EmulatedLink {
  private readonly freeAt = { in: 0, out: 0 };

  /** @param clock the network's clock, which keeps running while the process is frozen. */
  constructor(
    private readonly clock: Clock,
    private readonly mbps: number,
  ) {}

  /** Resolves once the message and all those queued before it have been transmitted. */
  transmit(direction: 'in' | 'out', body: unknown): Promise<void> {
    const bits = BITS_PER_BYTE * (HEADER_BYTES + sizeOf(body));
    const now = this.clock.now();
    const freeAt = Math.max(now, this.freeAt[direction]) + bits / (this.mbps * BITS_PER_MILLI);
    this.freeAt[direction] = freeAt;
    const waitMillis = freeAt - now;
    return waitMillis < MIN_WAIT_MILLIS
      ? Promise.resolve()
      : this.clock.sleepUntil(deadlineAfter(now, waitMillis));
  }
}

/** Transmissions share a line between regions in parts of this size. */
const PART_BYTES = 16_384;

/** One direction of the line between two regions; transmissions in progress get equal shares of it. */
export class EmulatedLine {
  private freeAt = 0;
  /** Bytes transmitted so far. */
  bytes = 0;

  constructor(
    private readonly clock: Clock,
    private readonly mbps: number,
  ) {}

  /** Resolves to whether all was transmitted; stops once the message is no longer wanted. */
  async transmit(body: unknown, isWanted: () => boolean = () => true): Promise<boolean> {
    for (let left = HEADER_BYTES + sizeOf(body); left > 0; left -= PART_BYTES) {
      if (!isWanted()) {
        return false;
      }
      const part = Math.min(left, PART_BYTES);
      this.bytes += part;
      const now = this.clock.now();
      this.freeAt =
        Math.max(now, this.freeAt) + (BITS_PER_BYTE * part) / (this.mbps * BITS_PER_MILLI);
      if (this.freeAt - now >= MIN_WAIT_MILLIS) {
        await this.clock.sleepUntil(deadlineAfter(now, this.freeAt - now));
      }
    }
    return true;
  }
}

/** The lines between the regions of a cluster, all of the same bandwidth. */
export class EmulatedLines {
  private readonly lines = new Map<string, EmulatedLine>();

  /** @param mbps unlimited if undefined. */
  constructor(
    private readonly clock: Clock,
    private readonly mbps: number | undefined,
  ) {}

  /** Returns undefined where nothing limits the traffic. */
  between(from: string, to: string): EmulatedLine | undefined {
    if (from === to || this.mbps === undefined) {
      return undefined;
    }
    const name = `${from}>${to}`;
    const line = this.lines.get(name) ?? new EmulatedLine(this.clock, this.mbps);
    this.lines.set(name, line);
    return line;
  }
}

function sizeOf(body: unknown): number {
  return body === undefined ? 0 : JSON.stringify(body).length;
}
