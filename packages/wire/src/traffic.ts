/** Counts the messages and bytes of a connection, by method. */

import type { Meter } from './meter.js';

/** Used for answers, which carry no method. */
export const ANSWER = 'answer';

/**
 * Used for messages whose method has no handler: the other end could choose any number of names,
 * and each would be another counter.
 */
export const UNHANDLED = 'unhandled';

export class Traffic {
  constructor(private readonly meter: Meter) {}

  /** Counts a chunk of the stream that was read. */
  read(bytes: number): void {
    this.meter.count('wire.bytes_in', bytes);
  }

  received(method: string, bytes: number): void {
    this.meter.count(`wire.messages_in.${method}`, 1);
    this.meter.count(`wire.message_bytes_in.${method}`, bytes);
  }

  sent(method: string, bytes: number): void {
    this.meter.count('wire.bytes_out', bytes);
    this.meter.count(`wire.messages_out.${method}`, 1);
    this.meter.count(`wire.message_bytes_out.${method}`, bytes);
  }

  /** Counts a message that was not sent; `why` is a stable name. */
  notSent(method: string, why: string): void {
    this.meter.count(`wire.not_sent.${why}.${method}`, 1);
  }

  /** Counts an event of the connection as a whole. */
  event(name: string): void {
    this.meter.count(`wire.${name}`, 1);
  }
}
