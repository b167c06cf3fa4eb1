/** Interface of the platform's append-only log. */

import type { Offset, StreamName } from '@bamboowell/types/ids';
import type { Deadline } from '@bamboowell/types/time';

/** Result of an append. `unknown`: it may have taken effect, or may still do so later. */
export type LogAppendResult =
  | { readonly kind: 'appended'; readonly offset: Offset }
  | { readonly kind: 'refused'; readonly detail: string }
  | { readonly kind: 'unknown'; readonly detail: string };

export interface LogEntry {
  readonly offset: Offset;
  readonly body: string;
}

/**
 * Result of a read: entries in offset order with none left out, or the reason why there are none.
 */
export type Page =
  | {
      readonly kind: 'entries';
      readonly entries: readonly LogEntry[];
      /** The offset to read from next. */
      readonly next: Offset;
      /** Whether `next` was the end of the stream when the log answered. */
      readonly atEnd: boolean;
    }
  /** The entry at the requested offset has expired; `earliest` is the oldest offset still kept. */
  | { readonly kind: 'expired'; readonly earliest: Offset }
  | { readonly kind: 'unavailable'; readonly detail: string };

/**
 * Client of the platform's log. Assumptions about the log:
 * - Appends to one stream get increasing offsets, and every reader sees the same entries in that
 *   order.
 * - Once an entry has been read, it stays the same until it expires; the oldest entries expire
 *   first.
 * - The answer to an append may be late or lost, and the append may still take effect, even after
 *   later appends of the same writer.
 * - A read that returns `atEnd` includes every append that was answered before the read was sent.
 * - The log may be down or slow for hours. There is no conditional append.
 */
export abstract class Log {
  /** Appends one entry. Doesn't throw when the log is unavailable. */
  abstract append(stream: StreamName, body: string, deadline: Deadline): Promise<LogAppendResult>;

  /**
   * Reads entries from an offset on. At the end of the stream, waits until the deadline for an
   * entry.
   */
  abstract read(stream: StreamName, from: Offset, waitUntil: Deadline): Promise<Page>;

  /** Closes the connections to the log. */
  abstract close(): Promise<void>;
}
