/** One stream of the stand-in log: entries in offset order, of which the oldest expire. */

import { brandAs, type Offset } from '@bamboowell/types/ids';
import {
  deadlineAfter,
  hasPassed,
  NEVER,
  type Deadline,
  type Instant,
} from '@bamboowell/types/time';

/** Most entries and most bytes of one answer to a read. */
const MAX_PAGE_ENTRIES = 1000;
const MAX_PAGE_BYTES = 1_000_000;

/** How long entries are kept. An entry expires as soon as one of the bounds says so. */
export interface Retention {
  readonly entries: number;
  readonly millis: number | null;
}

interface Kept {
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

/** What a stream has seen. */
export interface StreamStats {
  readonly appends: number;
  /** Bytes of all bodies appended. */
  readonly bytes: number;
  readonly reads: number;
  readonly earliest: Offset;
  readonly next: Offset;
}

/** An append whose effect was put off. */
interface Late {
  readonly body: string;
  appendsLeft: number;
}

export class LogStream {
  private kept: Kept[] = [];
  private late: Late[] = [];
  private next = 0;
  private appends = 0;
  private bytes = 0;
  private reads = 0;

  constructor(private readonly retention: Retention) {}

  append(body: string, now: Instant): Offset {
    const offset = this.store(body, now);
    this.storeLate(now);
    return offset;
  }

  /** Takes an append that will have its effect after some later appends. */
  deferAppend(body: string, afterAppends: number): void {
    this.late.push({ body, appendsLeft: afterAppends });
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
    this.kept.push({ offset, body, expires });
    this.next += 1;
    this.appends += 1;
    this.bytes += Buffer.byteLength(body);
    this.expire(now);
    return offset;
  }

  private storeLate(now: Instant): void {
    for (const late of this.late) {
      late.appendsLeft -= 1;
    }
    const due = this.late.filter((late) => late.appendsLeft <= 0);
    this.late = this.late.filter((late) => late.appendsLeft > 0);
    for (const late of due) {
      this.store(late.body, now);
    }
  }

  private expire(now: Instant): void {
    const alive = this.kept.findIndex((entry) => !hasPassed(entry.expires, now));
    const byAge = alive === -1 ? this.kept.length : alive;
    const byCount = this.kept.length - this.retention.entries;
    const expired = Math.max(byAge, byCount);
    if (expired > 0) {
      this.kept = this.kept.slice(expired);
    }
  }

  private earliest(): Offset {
    return this.kept[0]?.offset ?? brandAs<Offset>(this.next);
  }

  private pageFrom(index: number): { offset: Offset; body: string }[] {
    const page: { offset: Offset; body: string }[] = [];
    let bytes = 0;
    for (const { offset, body } of this.kept.slice(index, index + MAX_PAGE_ENTRIES)) {
      bytes += body.length;
      if (page.length > 0 && bytes > MAX_PAGE_BYTES) {
        break;
      }
      page.push({ offset, body });
    }
    return page;
  }
}
