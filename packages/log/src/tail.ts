/**
 * Decides what a reader does with each page of a stream: it first scans all entries that the log
 * keeps for the newest complete checkpoint, then follows the stream from that checkpoint on. Does
 * no I/O.
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

/** The result of any read during which the log was available. */
export type AnsweredPage = Exclude<Page, { kind: 'unavailable' }>;

/** What to do after a page. */
export interface PageResult<Entry> {
  readonly events: readonly StreamEvent<Entry>[];
  /** All records of the page. */
  readonly records: readonly Stamped<Entry>[];
  /** Whether the next read may wait at the end of the stream. */
  readonly mayWait: boolean;
}

interface Decoded<Entry> {
  readonly entry: LogEntry;
  readonly records: readonly Stamped<Entry>[] | undefined;
}

export class Tail<Entry extends { readonly kind: string }> {
  private phase: 'scan' | 'follow' = 'scan';
  private position = brandAs<Offset>(0);
  /** Entries below this offset had expired before the scan; undefined if none had. */
  private expiredBelow: Offset | undefined;
  private assembler = new CheckpointAssembler();
  /** The complete checkpoint with the highest `upTo` that the scan found. */
  private newest: CompleteCheckpoint | undefined;
  private isLossReported = false;

  constructor(private readonly codec: Codec<Entry>) {}

  /** Offset of the next read. */
  get from(): Offset {
    return this.position;
  }

  /** Starts over with a scan. */
  restart(): void {
    this.phase = 'scan';
    this.position = brandAs<Offset>(0);
    this.expiredBelow = undefined;
    this.resetAssembly();
    this.isLossReported = false;
  }

  /** Handles a page whose read was sent at `readAt`. */
  handlePage(page: AnsweredPage, readAt: Instant): PageResult<Entry> {
    return match(page)
      .with({ kind: 'expired' }, ({ earliest }) => this.skipExpired(earliest))
      .with({ kind: 'entries' }, (entries) => this.handleEntries(entries, readAt))
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

  private handleEntries(
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
    this.collectParts(records);
    return page.atEnd ? { ...this.endScan(), records } : { events: [], records, mayWait: false };
  }

  private collectParts(records: readonly Stamped<Entry>[]): void {
    for (const { record } of records) {
      const part = asCheckpointPart(record);
      const complete = part === undefined ? undefined : this.assembler.add(part);
      if (complete !== undefined && complete.upTo >= (this.newest?.upTo ?? 0)) {
        this.newest = complete;
      }
    }
  }

  private resetAssembly(): void {
    this.assembler = new CheckpointAssembler();
    this.newest = undefined;
  }

  private endScan(): Omit<PageResult<Entry>, 'records'> {
    const checkpoint = this.usableCheckpoint();
    if (checkpoint !== undefined || this.expiredBelow === undefined) {
      this.phase = 'follow';
      this.position = checkpoint?.upTo ?? brandAs<Offset>(0);
      this.resetAssembly();
      return { events: [{ kind: 'restored', snapshot: checkpoint?.snapshot }], mayWait: false };
    }
    const events: StreamEvent<Entry>[] = this.isLossReported
      ? []
      : [{ kind: 'lost', earliest: this.expiredBelow }];
    this.isLossReported = true;
    return { events, mayWait: true };
  }

  /** The newest complete checkpoint, if all entries after it are still kept. */
  private usableCheckpoint(): CompleteCheckpoint | undefined {
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
