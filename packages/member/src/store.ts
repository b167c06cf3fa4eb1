/** The platform's store, as far as members use it: logs that keep the newest record of each key. */

import type { Deadline } from '@bamboowell/types/time';
import type { Offset } from '@bamboowell/types/ids';
import type { Branded } from '@bamboowell/types/ids';

/**
 * `ownership` and `work` are the members' own. `operator` holds what the operator declares,
 * `workers` what workers say of themselves: members read these two only. `status` is for the operator.
 */
export type Topic = 'ownership' | 'work' | 'operator' | 'workers' | 'status';

/** Tells the appends of one owner from those of earlier ones. */
export type ProducerEpoch = Branded<number, 'ProducerEpoch'>;
export type ProducerSequence = Branded<number, 'ProducerSequence'>;

/** One record to append; without a value the key is dropped. */
export interface StoreWrite {
  readonly key: string;
  readonly value: string | undefined;
}

export interface StoreEntry {
  readonly key: string;
  /** Absent where the key was dropped. */
  readonly value: string | undefined;
  readonly offset: Offset;
}

/** What an append rests on. */
export type AppendCondition =
  /** Nothing was appended since. */
  | { readonly kind: 'end_is'; readonly end: Offset }
  /** No higher epoch was seen, and the sequence follows the last one; a repeat gets its first answer. */
  | {
      readonly kind: 'producer';
      readonly epoch: ProducerEpoch;
      readonly sequence: ProducerSequence;
    };

/** The store gave no usable answer. A write that was sent may take effect, also later. */
export interface Unavailable {
  readonly kind: 'unavailable';
  /** `refused`: the store said that it did nothing. */
  readonly how: 'refused' | 'silent';
  readonly detail: string;
}

export type AppendOutcome =
  | { readonly kind: 'appended'; readonly end: Offset }
  | { readonly kind: 'moved'; readonly end: Offset }
  | { readonly kind: 'fenced' }
  | { readonly kind: 'out_of_sequence'; readonly expected: ProducerSequence }
  | { readonly kind: 'full' }
  | Unavailable;

export interface NewestPage {
  readonly kind: 'page';
  readonly entries: readonly StoreEntry[];
  /** Set where more keys follow; the key to go on after. */
  readonly next: string | undefined;
  readonly end: Offset;
}

export interface LogPart {
  readonly kind: 'part';
  readonly entries: readonly StoreEntry[];
  readonly end: Offset;
}

/** The records asked for have expired. */
export interface Expired {
  readonly kind: 'expired';
}

export abstract class Store {
  /** An append without records only sets the epoch. */
  abstract append(
    topic: Topic,
    writes: readonly StoreWrite[],
    condition: AppendCondition,
    limit: Deadline,
  ): Promise<AppendOutcome>;

  /** The newest record of each key, a page at a time; not a snapshot while others write. */
  abstract newest(
    topic: Topic,
    after: string | undefined,
    limit: Deadline,
  ): Promise<NewestPage | Unavailable>;

  /** Records from an offset on; waits up to `waitMillis` for the first one. */
  abstract read(
    topic: Topic,
    from: Offset,
    waitMillis: number,
    limit: Deadline,
  ): Promise<LogPart | Expired | Unavailable>;
}
