/** Options of a TCP connection. */

import type { Clock } from '@bamboowell/kernel/clock';
import type { KeepAliveTimes } from './keep-alive.js';
import type { Meter } from './meter.js';

/** No request or notification is sent while more bytes than this wait in the send buffer. */
export const MAX_BUFFERED_BYTES = 8 * 1024 * 1024;

export interface TcpConnectionOptions {
  readonly clock: Clock;
  readonly meter?: Meter;
  /** By default a ping is sent every second, and four seconds of silence end the connection. */
  readonly keepAlive?: KeepAliveTimes;
  /** Maximum length of a message that is sent or received, bytes. */
  readonly maxFrameBytes?: number;
  /** Limit of the send buffer, bytes. */
  readonly maxBufferedBytes?: number;
  /** Name in the other end's certificate; absent without TLS. */
  readonly peer?: string;
}
