/**
 * Messages between a stream task and its one subscriber.
 *
 * The stream task packs records into appends, repeats an append until it was acknowledged or its
 * records were read back, tails the stream and delivers every batch to the subscriber in log order.
 * It doesn't interpret records: the subscriber folds them into its state, so that only the order of
 * the log decides.
 */

import type { Reply } from '@bamboowell/kernel/ask';
import type { Offset, Sequence } from '@bamboowell/types/ids';
import type { Batch, Stamped } from '@bamboowell/types/records';
import type { Instant } from '@bamboowell/types/time';

/** To the stream task. */
export type StreamMessage<Entry> =
  /** Queues records to be appended. Each writer numbers its records consecutively. */
  | { readonly kind: 'append'; readonly records: readonly Stamped<Entry>[] }
  /**
   * Removes a record from the queue. Replies `withdrawn` if it is not in the log and will not be
   * sent, `sent` if it may be in the log. A withdrawn sequence number is skipped; folds allow such
   * gaps.
   */
  | {
      readonly kind: 'withdraw';
      readonly sequence: Sequence;
      readonly reply: (state: 'withdrawn' | 'sent') => void;
    }
  /**
   * Writes a snapshot as checkpoint parts, under the writer id of the stream task itself. The
   * snapshot is a JSON object with the number `upTo`. Ignored while an earlier snapshot is being
   * written.
   */
  | { readonly kind: 'checkpoint'; readonly snapshot: string }
  | { readonly kind: 'stats'; readonly reply: Reply<StreamStats> };

/** Counts since the stream task started. */
export interface StreamStats {
  /** Appends sent, including retries. */
  readonly appends: number;
  /** Retries after a refusal or an unknown outcome. */
  readonly retries: number;
  /** Bytes of the bodies of all appends sent. */
  readonly appendedBytes: number;
  readonly reads: number;
  readonly readBytes: number;
  /** Entries that could not be decoded. */
  readonly skipped: number;
  /** Records rejected because the queue was full or the record too long. */
  readonly rejected: number;
  /** Records that wait in the queue, without those in flight. */
  readonly queued: number;
  /** Moving average of the latency of answered appends, milliseconds. */
  readonly latencyMillis: number;
}

/** From the stream task to its subscriber. */
export type StreamEvent<Entry> =
  /**
   * The subscriber starts from this snapshot, or from an empty state if there is none. Comes before
   * the first batch, and again if entries expired before they were read.
   */
  | { readonly kind: 'restored'; readonly snapshot: string | undefined }
  | { readonly kind: 'batch'; readonly batch: Batch<Entry> }
  /**
   * All entries that the log held at `readAt` were delivered. `readAt` is when the read was sent,
   * not when it was answered, so that the subscriber's state is at least as new as `readAt`.
   */
  | { readonly kind: 'caught_up'; readonly readAt: Instant }
  /**
   * Reads fail. `since` is when the last successful read was sent, or when the task was created if
   * none was. Repeated while the outage lasts.
   */
  | { readonly kind: 'unavailable'; readonly since: Instant; readonly detail: string }
  /**
   * These records will never be sent, because the queue is full or the record is too long. As after
   * a withdrawal, their sequence numbers are skipped.
   */
  | { readonly kind: 'rejected'; readonly sequences: readonly Sequence[] }
  /** The entry at this offset can't be decoded. Every reader skips it. */
  | { readonly kind: 'skipped'; readonly offset: Offset }
  /**
   * Entries below `earliest` have expired and no complete checkpoint replaces them. Neither a
   * `batch` nor a `caught_up` follows until a checkpoint of another writer makes a `restored`
   * possible.
   */
  | { readonly kind: 'lost'; readonly earliest: Offset }
  /**
   * The member that is responsible for the stream should write a checkpoint. `overdue`: history is
   * lost if none is written soon. Follows each `caught_up` until a complete checkpoint was read
   * back, but not while one is being written.
   */
  | { readonly kind: 'checkpoint_due'; readonly overdue: boolean };
