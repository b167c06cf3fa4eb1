/** The platform's store as used by members: topics that are logs and keep the newest record of each key. */

import type { Deadline } from '@bamboowell/types/time';
import type { Offset } from '@bamboowell/types/ids';
import type { Branded } from '@bamboowell/types/ids';

/**
 * Members write `ownership` and `work`, and only read `operator` (the operator's configuration) and
 * `workers` (the workers' own records). `status` is written for the operator.
 */
export type Topic = 'ownership' | 'work' | 'operator' | 'workers' | 'status';

/** Distinguishes the appends of an owner from those of earlier owners. */
export type ProducerEpoch = Branded<number, 'ProducerEpoch'>;
export type ProducerSequence = Branded<number, 'ProducerSequence'>;

/** A record to append; without a value it deletes the key. */
export interface StoreWrite {
  readonly key: string;
  readonly value: string | undefined;
}

export interface StoreEntry {
  readonly key: string;
  /** Undefined if the key was deleted. */
  readonly value: string | undefined;
  readonly offset: Offset;
}

/** Precondition of an append. */
export type AppendCondition =
  /** The log still ends here. */
  | { readonly kind: 'end_is'; readonly end: Offset }
  /**
   * The store has seen no higher epoch, and the sequence follows the last one; a retry gets the
   * original answer.
   */
  | {
      readonly kind: 'producer';
      readonly epoch: ProducerEpoch;
      readonly sequence: ProducerSequence;
    };

/** The store gave no usable answer. A write that was sent may have taken effect, or may do so later. */
export interface Unavailable {
  readonly kind: 'unavailable';
  /**
   * `refused`: the store reported that it did nothing. `closed`: the connection was refused or closed.
   * `silent`: there was no answer in time.
   */
  readonly how: 'refused' | 'closed' | 'silent';
  readonly detail: string;
  /** Bytes of an incomplete answer; 0 if absent. */
  readonly receivedBytes?: number;
}

export type AppendOutcome =
  | { readonly kind: 'appended'; readonly end: Offset }
  /** The log doesn't end where `end_is` expects. */
  | { readonly kind: 'moved'; readonly end: Offset }
  | { readonly kind: 'fenced' }
  | { readonly kind: 'out_of_sequence'; readonly expected: ProducerSequence }
  | { readonly kind: 'full' }
  /** The store did nothing, and never takes this append however often it is repeated. */
  | { readonly kind: 'rejected'; readonly detail: string }
  | Unavailable;

/** Sorts after all keys: the page that follows it has no entries and only reports the end of the log. */
export const AFTER_ALL_KEYS = '~';

export interface NewestPage {
  readonly kind: 'page';
  readonly entries: readonly StoreEntry[];
  /** The key after which the next page starts; undefined on the last page. */
  readonly next: string | undefined;
  readonly end: Offset;
}

export interface LogPart {
  readonly kind: 'part';
  readonly entries: readonly StoreEntry[];
  readonly end: Offset;
}

/** The requested records have expired. */
export interface Expired {
  readonly kind: 'expired';
}

/**
 * The deadline of a call is for its answer to begin. A large answer may arrive for longer, and is given
 * up only when it stalls: a thin line would never carry it otherwise.
 */
export abstract class Store {
  /** Appends records; without any it only sets the epoch. */
  abstract append(
    topic: Topic,
    writes: readonly StoreWrite[],
    condition: AppendCondition,
    deadline: Deadline,
  ): Promise<AppendOutcome>;

  /** Returns the newest record of each key, one page per call; not a snapshot under concurrent writes. */
  abstract newest(
    topic: Topic,
    after: string | undefined,
    deadline: Deadline,
  ): Promise<NewestPage | Unavailable>;

  /** Returns whether the store answers, on a connection that is not used for anything else. */
  async probe(deadline: Deadline): Promise<boolean> {
    const page = await this.newest('work', AFTER_ALL_KEYS, deadline);
    return page.kind === 'page';
  }

  /** Returns the records from an offset on; waits up to `waitMillis` for the first one. */
  abstract read(
    topic: Topic,
    from: Offset,
    waitMillis: number,
    deadline: Deadline,
  ): Promise<LogPart | Expired | Unavailable>;
}
