/** What a TCP connection is made with. */

import type { Clock } from '@bamboowell/kernel/clock';
import type { KeepAliveTimes } from './keep-alive.js';
import type { Meter } from './meter.js';

/** Nothing more is sent while this many bytes wait in the send buffer. */
export const MAX_BUFFERED_BYTES = 8 * 1024 * 1024;

export interface TcpConnectionOptions {
  readonly clock: Clock;
  readonly meter?: Meter;
  /** Pings every second and bears four of silence unless given. */
  readonly keepAlive?: KeepAliveTimes;
  /** Longest message that is sent or taken, bytes. */
  readonly maxFrameBytes?: number;
  /** Bound of the send buffer, bytes. */
  readonly maxBufferedBytes?: number;
  /** Name in the other end's certificate; absent without TLS. */
  readonly peer?: string;
}
