/** A machine's network link with limited bandwidth: messages queue up, separately in each direction. */

import type { Clock } from '@bamboowell/kernel/clock';
import { deadlineAfter } from '@bamboowell/types/time';

const BITS_PER_BYTE = 8;
/** Bits per millisecond of a link of one megabit per second. */
const BITS_PER_MILLI = 1000;
/** Shorter waits are skipped, because the emulation advances time in larger steps. */
const MIN_WAIT_MILLIS = 1;
/** Overhead of a message beyond its body. */
const HEADER_BYTES = 200;

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

function sizeOf(body: unknown): number {
  return body === undefined ? 0 : JSON.stringify(body).length;
}
