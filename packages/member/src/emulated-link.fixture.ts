/** A machine's link to all others: what it sends, and what it receives, waits in line. */

import type { Clock } from '@bamboowell/kernel/clock';
import { deadlineAfter } from '@bamboowell/types/time';

const BITS_PER_BYTE = 8;
/** A megabit a second carries this many bits in a millisecond. */
const BITS_PER_MILLI = 1000;
/** Waits below this are none: the emulation's time moves in larger steps. */
const SHORTEST_WAIT_MILLIS = 1;
/** What a message takes beside its body, bytes. */
const HEAD_BYTES = 200;

export class EmulatedLink {
  private readonly freeAt = { in: 0, out: 0 };

  /** @param clock of the network, which goes on while the process doesn't. */
  constructor(
    private readonly clock: Clock,
    private readonly mbps: number,
  ) {}

  /** Resolves once a message has passed, behind all that came before it. */
  transmit(direction: 'in' | 'out', body: unknown): Promise<void> {
    const bits = BITS_PER_BYTE * (HEAD_BYTES + sizeOf(body));
    const now = this.clock.now();
    const freeAt = Math.max(now, this.freeAt[direction]) + bits / (this.mbps * BITS_PER_MILLI);
    this.freeAt[direction] = freeAt;
    const waitMillis = freeAt - now;
    return waitMillis < SHORTEST_WAIT_MILLIS
      ? Promise.resolve()
      : this.clock.sleepUntil(deadlineAfter(now, waitMillis));
  }
}

function sizeOf(body: unknown): number {
  return body === undefined ? 0 : JSON.stringify(body).length;
}
