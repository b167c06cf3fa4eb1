/** One stream of the stand-in log: entries in offset order, of which the oldest expire. */

import { brandAs, type Offset } from '@bamboowell/types/ids';
import {
  deadlineAfter,
  hasPassed,
  NEVER,
  type Deadline,
  type Instant,
} from '@bamboowell/types/time';

/** Limits of one page, the answer to a read. */
const MAX_PAGE_ENTRIES = 1000;
const MAX_PAGE_BYTES = 1_000_000;

/**
 * How many entries are kept, and how long. An entry expires as soon as one of the limits is passed.
 */
export interface Retention {
  readonly entries: number;
  readonly millis: number | null;
}

interface StoredEntry {
  readonly offset: Offset;
  readonly body: string;
  readonly expires: Deadline;
}

export type StreamPage =
  | {
      readonly kind: 'entries';
      readonly entries: readonly { readonly offset: Offset; readonly body: string }[];
      readonly next: Offset;
      readonly atEnd: boolean;
    }
  | { readonly kind: 'expired'; readonly earliest: Offset };

/** Statistics of a stream since its start. */
export interface StreamStats {
  readonly appends: number;
  /** Bytes of all bodies appended. */
  readonly bytes: number;
  readonly reads: number;
  readonly earliest: Offset;
  readonly next: Offset;
}

/** An append that takes effect after `appendsLeft` more appends. */
interface DeferredAppend {
  readonly body: string;
  appendsLeft: number;
}

export class LogStream {
  private entries: StoredEntry[] = [];
  private deferred: DeferredAppend[] = [];
  private next = 0;
  private appends = 0;
  private bytes = 0;
  private reads = 0;

  constructor(private readonly retention: Retention) {}

  append(body: string, now: Instant): Offset {
    const offset = this.store(body, now);
    this.storeDeferred(now);
    return offset;
  }

  /** Accepts an append that takes effect only after so many later appends. */
  deferAppend(body: string, afterAppends: number): void {
    this.deferred.push({ body, appendsLeft: afterAppends });
  }

  read(from: Offset, now: Instant): StreamPage {
    this.reads += 1;
    this.expire(now);
    const earliest = this.earliest();
    if (from < earliest) {
      return { kind: 'expired', earliest };
    }
    const entries = this.pageFrom(from - earliest);
    const next = brandAs<Offset>(from + entries.length);
    return { kind: 'entries', entries, next, atEnd: next >= this.next };
  }

  isAtEnd(from: Offset): boolean {
    return from >= this.next;
  }

  stats(): StreamStats {
    return {
      appends: this.appends,
      bytes: this.bytes,
      reads: this.reads,
      earliest: this.earliest(),
      next: brandAs<Offset>(this.next),
    };
  }

  private store(body: string, now: Instant): Offset {
    const offset = brandAs<Offset>(this.next);
    const { millis } = this.retention;
    const expires = millis === null ? NEVER : deadlineAfter(now, millis);
    this.entries.push({ offset, body, expires });
    this.next += 1;
    this.appends += 1;
    this.bytes += Buffer.byteLength(body);
    this.expire(now);
    return offset;
  }

  private storeDeferred(now: Instant): void {
    for (const append of this.deferred) {
      append.appendsLeft -= 1;
    }
    const due = this.deferred.filter((append) => append.appendsLeft <= 0);
    this.deferred = this.deferred.filter((append) => append.appendsLeft > 0);
    for (const append of due) {
      this.store(append.body, now);
    }
  }

  private expire(now: Instant): void {
    const firstAlive = this.entries.findIndex((entry) => !hasPassed(entry.expires, now));
    const byAge = firstAlive === -1 ? this.entries.length : firstAlive;
    const byCount = this.entries.length - this.retention.entries;
    const expired = Math.max(byAge, byCount);
    if (expired > 0) {
      this.entries = this.entries.slice(expired);
    }
  }

  private earliest(): Offset {
    return this.entries[0]?.offset ?? brandAs<Offset>(this.next);
  }

  private pageFrom(index: number): { offset: Offset; body: string }[] {
    const page: { offset: Offset; body: string }[] = [];
    let bytes = 0;
    for (const { offset, body } of this.entries.slice(index, index + MAX_PAGE_ENTRIES)) {
      bytes += body.length;
      if (page.length > 0 && bytes > MAX_PAGE_BYTES) {
        break;
      }
      page.push({ offset, body });
    }
    return page;
  }
}
