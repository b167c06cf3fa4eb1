/**
 * Messages between a stream task and the one task that subscribes to it.
 *
 * The stream task packs records into appends, repeats an append until its records were read back,
 * tails the stream and hands every batch to the subscriber in log order. It judges no record: the
 * subscriber folds them, so that only the order of the log decides.
 */

import type { Reply } from '@bamboowell/kernel/ask';
import type { Offset, Sequence } from '@bamboowell/types/ids';
import type { Batch, Stamped } from '@bamboowell/types/records';
import type { Instant } from '@bamboowell/types/time';

/** To the stream task. */
export type StreamMessage<Entry> =
  /** Sequences of one writer rise by one from message to message. */
  | { readonly kind: 'append'; readonly records: readonly Stamped<Entry>[] }
  /**
   * Takes a record back. Replies `withdrawn` if it was never sent (it will not be), `sent`
   * otherwise. A withdrawn sequence is skipped, which folds allow.
   */
  | {
      readonly kind: 'withdraw';
      readonly sequence: Sequence;
      readonly reply: (state: 'withdrawn' | 'sent') => void;
    }
  /**
   * Writes a snapshot as checkpoint parts, in the name of the stream task's own writer. The text is
   * a JSON object with the number `upTo`. Ignored while an earlier one is still being written.
   */
  | { readonly kind: 'checkpoint'; readonly snapshot: string }
  | { readonly kind: 'stats'; readonly reply: Reply<StreamStats> };

/** Counts since the stream task started. */
export interface StreamStats {
  /** Appends sent, repeats included. */
  readonly appends: number;
  /** Appends sent again after a refusal or an unknown outcome. */
  readonly retries: number;
  /** Bytes of the bodies of all appends sent. */
  readonly appendedBytes: number;
  readonly reads: number;
  readonly readBytes: number;
  /** Entries that could not be decoded. */
  readonly skipped: number;
  /** Records that were rejected. */
  readonly rejected: number;
  /** Records that wait and were never sent. */
  readonly queued: number;
  /** Moving average of the latency of answered appends, milliseconds. */
  readonly latencyMillis: number;
}

/** From the stream task to its subscriber. */
export type StreamEvent<Entry> =
  /** First event: start from this snapshot (none: from empty). Also after entries expired unread. */
  | { readonly kind: 'restored'; readonly snapshot: string | undefined }
  | { readonly kind: 'batch'; readonly batch: Batch<Entry> }
  /**
   * All entries that the log held at `readAt` were delivered. `readAt` is the instant at which the
   * read was SENT, so the subscriber's state is as new as that instant.
   */
  | { readonly kind: 'caught_up'; readonly readAt: Instant }
  /** The log has not answered since `since`. Repeated while it lasts. */
  | { readonly kind: 'unavailable'; readonly since: Instant; readonly detail: string }
  /**
   * These records were not sent and will not be: the queue is full or the record too long. As with
   * a withdrawal, their sequences are skipped.
   */
  | { readonly kind: 'rejected'; readonly sequences: readonly Sequence[] }
  /** The entry at this offset can't be decoded. It has no effect on any reader. */
  | { readonly kind: 'skipped'; readonly offset: Offset }
  /**
   * Entries below `earliest` have expired and no whole checkpoint replaces them. Nothing but
   * `unavailable` follows until another writer's checkpoint makes a `restored` possible.
   */
  | { readonly kind: 'lost'; readonly earliest: Offset }
  /**
   * A checkpoint should be written, by whoever is responsible for the stream; `overdue`: long
   * since. Comes after a `caught_up`, again and again until one was read back whole.
   */
  | { readonly kind: 'checkpoint_due'; readonly overdue: boolean };
