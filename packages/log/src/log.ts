/** The platform's append-only log, as the project sees it. */

import type { Offset, StreamName } from '@bamboowell/types/ids';
import type { Deadline } from '@bamboowell/types/time';

/** What became of an append. `unknown`: it may have taken effect, now or later. */
export type LogAppendResult =
  | { readonly kind: 'appended'; readonly offset: Offset }
  | { readonly kind: 'refused'; readonly detail: string }
  | { readonly kind: 'unknown'; readonly detail: string };

export interface LogEntry {
  readonly offset: Offset;
  readonly body: string;
}

/** Entries in offset order without gaps, or the reason why there are none. */
export type Page =
  | {
      readonly kind: 'entries';
      readonly entries: readonly LogEntry[];
      /** The offset to read from next. */
      readonly next: Offset;
      /** Whether `next` was the end of the stream when the log answered. */
      readonly atEnd: boolean;
    }
  /** The entries from the offset asked for have expired; `earliest` is the oldest kept. */
  | { readonly kind: 'expired'; readonly earliest: Offset }
  | { readonly kind: 'unavailable'; readonly detail: string };

/**
 * What is assumed of the platform's log:
 * - Appends to one stream get rising offsets, and every reader sees the same entries in that order.
 * - An entry once read stays the same until it expires; entries expire oldest first.
 * - An answer to an append may be lost, late or never come, and the append may still take effect,
 *   also after later appends of the same writer.
 * - A read that ends `atEnd` held every append that was answered before the read was sent.
 * - The log may be down or slow for hours. There is no conditional append.
 */
export abstract class Log {
  /** Appends one entry. Never throws for an outage. */
  abstract append(stream: StreamName, body: string, deadline: Deadline): Promise<LogAppendResult>;

  /** Reads from an offset; at the end of the stream, waits until the deadline for an entry. */
  abstract read(stream: StreamName, from: Offset, waitUntil: Deadline): Promise<Page>;

  /** Releases connections. */
  abstract close(): Promise<void>;
}
