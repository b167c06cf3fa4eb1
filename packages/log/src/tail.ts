/**
 * What a reader of a stream does with each page: first a scan of all that is kept for the newest
 * whole checkpoint, then the entries from that checkpoint on. Pure.
 */

import { match } from 'ts-pattern';
import { brandAs, type Offset } from '@bamboowell/types/ids';
import type { Stamped } from '@bamboowell/types/records';
import type { Instant } from '@bamboowell/types/time';
import {
  asCheckpointPart,
  CheckpointAssembler,
  type CompleteCheckpoint,
} from './checkpoint-parts.js';
import type { Codec } from './codec.js';
import { unpackEntry } from './entry-format.js';
import type { LogEntry, Page } from './log.js';
import type { StreamEvent } from './stream-messages.js';

/** A page that the log answered. */
export type AnsweredPage = Exclude<Page, { kind: 'unavailable' }>;

/** What follows from a page. */
export interface PageResult<Entry> {
  readonly events: readonly StreamEvent<Entry>[];
  /** All records of the page. */
  readonly records: readonly Stamped<Entry>[];
  /** Whether the log may be asked to wait for the next page's entries. */
  readonly mayWait: boolean;
}

interface Decoded<Entry> {
  readonly entry: LogEntry;
  readonly records: readonly Stamped<Entry>[] | undefined;
}

export class Tail<Entry extends { readonly kind: string }> {
  private phase: 'scan' | 'follow' = 'scan';
  private position = brandAs<Offset>(0);
  /** Entries below this offset expired before the scan; none did if undefined. */
  private expiredBelow: Offset | undefined;
  private assembler = new CheckpointAssembler();
  /** The whole checkpoint with the highest `upTo` that the scan found. */
  private newest: CompleteCheckpoint | undefined;
  private isLossTold = false;

  constructor(private readonly codec: Codec<Entry>) {}

  /** Where to read next. */
  get from(): Offset {
    return this.position;
  }

  /** Starts again with a scan. */
  restart(): void {
    this.phase = 'scan';
    this.position = brandAs<Offset>(0);
    this.expiredBelow = undefined;
    this.forgetParts();
    this.isLossTold = false;
  }

  /** Takes a page that was asked for at `readAt`. */
  handlePage(page: AnsweredPage, readAt: Instant): PageResult<Entry> {
    return match(page)
      .with({ kind: 'expired' }, ({ earliest }) => this.skipExpired(earliest))
      .with({ kind: 'entries' }, (entries) => this.takeEntries(entries, readAt))
      .exhaustive();
  }

  private skipExpired(earliest: Offset): PageResult<Entry> {
    if (this.phase === 'follow') {
      this.restart();
    }
    this.position = earliest;
    this.expiredBelow = earliest;
    return { events: [], records: [], mayWait: false };
  }

  private takeEntries(
    page: Extract<Page, { kind: 'entries' }>,
    readAt: Instant,
  ): PageResult<Entry> {
    const decoded = page.entries.map((entry) => ({
      entry,
      records: unpackEntry(entry.body, this.codec),
    }));
    const records = decoded.flatMap((one) => one.records ?? []);
    this.position = page.next;
    if (this.phase === 'follow') {
      const events = decoded.map(eventOf);
      if (page.atEnd) {
        events.push({ kind: 'caught_up', readAt });
      }
      return { events, records, mayWait: true };
    }
    this.collect(records);
    return page.atEnd ? { ...this.endScan(), records } : { events: [], records, mayWait: false };
  }

  private collect(records: readonly Stamped<Entry>[]): void {
    for (const { record } of records) {
      const part = asCheckpointPart(record);
      const whole = part === undefined ? undefined : this.assembler.add(part);
      if (whole !== undefined && whole.upTo >= (this.newest?.upTo ?? 0)) {
        this.newest = whole;
      }
    }
  }

  private forgetParts(): void {
    this.assembler = new CheckpointAssembler();
    this.newest = undefined;
  }

  private endScan(): Omit<PageResult<Entry>, 'records'> {
    const whole = this.usable();
    if (whole !== undefined || this.expiredBelow === undefined) {
      this.phase = 'follow';
      this.position = whole?.upTo ?? brandAs<Offset>(0);
      this.forgetParts();
      return { events: [{ kind: 'restored', snapshot: whole?.snapshot }], mayWait: false };
    }
    const events: StreamEvent<Entry>[] = this.isLossTold
      ? []
      : [{ kind: 'lost', earliest: this.expiredBelow }];
    this.isLossTold = true;
    return { events, mayWait: true };
  }

  /** The newest whole checkpoint, if all entries that it lacks were kept. */
  private usable(): CompleteCheckpoint | undefined {
    const { newest } = this;
    const isUsable = newest !== undefined && newest.upTo >= (this.expiredBelow ?? 0);
    return isUsable ? newest : undefined;
  }
}

function eventOf<Entry>({ entry, records }: Decoded<Entry>): StreamEvent<Entry> {
  return records === undefined
    ? { kind: 'skipped', offset: entry.offset }
    : { kind: 'batch', batch: { offset: entry.offset, records } };
}
