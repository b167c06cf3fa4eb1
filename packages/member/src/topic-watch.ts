/**
 * Follows a topic: reads the newest record of each key, then new records by long polling, or only asks
 * whether there are any while another member delivers them.
 */

import type { Clock } from '@bamboowell/kernel/clock';
import { deadlineAfter, hasPassed, type Instant } from '@bamboowell/types/time';
import { brandAs, type Offset } from '@bamboowell/types/ids';
import {
  AFTER_ALL_KEYS,
  type Store,
  type StoreEntry,
  type Topic,
  type Unavailable,
} from './store.js';

/** How long the store may wait for a record before it answers. */
const POLL_WAIT_MILLIS = 1500;
/** An answer is given up this long after it was due: many times the store's usual 4 ms. */
const ANSWER_TIMEOUT_MILLIS = 900;
/** Pause before a failed call is retried. */
const RETRY_DELAY_MILLIS = 150;

/** Interval at which the end of a topic is asked for while another member delivers its records. */
const END_INTERVAL_MILLIS = 1000;
/** How long another member may take to deliver records that the store has. */
const DELIVERY_TIMEOUT_MILLIS = 1500;
const DELIVERY_CHECK_MILLIS = 100;
/** A topic that has grown by more records than this is read anew, which skips all but the newest. */
const MAX_RECORDS_TO_CATCH_UP = 2;

export interface TopicWatchOptions {
  /** Pause after new records; later ones are then read in one call. */
  readonly gatherMillis?: number;
  /**
   * Records are large and only the newest of each key counts: after a failed call the topic is read
   * again only if it has grown.
   */
  readonly hasLargeRecords?: boolean;
  /** Only keys after this are read when the whole topic is. */
  readonly after?: string;
  /** Longest time that a poll waits for a record, if that is shorter than usual. */
  readonly pollWaitMillis?: number;
}

export interface TopicListener {
  /** Receives records in order; with `isWhole` they are the newest record of every key of the topic. */
  entries(entries: readonly StoreEntry[], end: Offset, isWhole: boolean): void;
  /** The records delivered so far were all that the topic had at this time. */
  confirmed?(at: Instant): void;
  /** The store has become reachable or unreachable. */
  reachable(isReachable: boolean, detail: string): void;
}

export class TopicWatch {
  private isStopped = false;
  /** Records from this offset on are still to be read; undefined until the whole topic has been read. */
  private next: Offset | undefined;
  /** Whether another member delivers the records. */
  private isServedByMember = false;
  private hasFailed = false;
  /** Whether records have arrived since the store last showed that there are no further ones. */
  private isUnconfirmed = false;
  private wasReachable: boolean | undefined;
  /** When a call last succeeded. */
  private reachedAt: Instant;
  /** Calls that failed since. */
  private failures = 0;
  /** Bytes of the incomplete answers of these. */
  private discardedBytes = 0;

  constructor(
    private readonly store: Store,
    private readonly topic: Topic,
    private readonly clock: Clock,
    private readonly listener: TopicListener,
    private readonly options: TopicWatchOptions = {},
  ) {
    this.reachedAt = clock.now();
  }

  start(): void {
    void this.follow();
  }

  stop(): void {
    this.isStopped = true;
  }

  /** Sets whether another member delivers the records; only their number is asked of the store then. */
  setServedByMember(isServedByMember: boolean): void {
    this.isServedByMember = isServedByMember;
  }

  /** Another member has delivered the records before the offset. */
  skipTo(offset: Offset): void {
    if (this.next !== undefined && offset > this.next) {
      this.next = offset;
    }
  }

  private async follow(): Promise<void> {
    while (!this.isStopped) {
      const isAnswered = await this.readOnce();
      if (!isAnswered) {
        await this.sleep(RETRY_DELAY_MILLIS);
      }
    }
  }

  private readOnce(): Promise<boolean> {
    const { next } = this;
    if (next === undefined) {
      return this.readAll();
    }
    const isRepeated = this.hasFailed && this.options.hasLargeRecords === true;
    return this.isServedByMember || isRepeated ? this.readEnd(next) : this.readFrom(next);
  }

  /** Asks whether the topic has grown. If it has, and no member delivers the rest, reads that. */
  private async readEnd(next: Offset): Promise<boolean> {
    const askedAt = this.clock.now();
    const page = await this.store.newest(this.topic, AFTER_ALL_KEYS, this.deadlineAfterWait(0));
    if (page.kind === 'unavailable') {
      this.failed(page);
      return false;
    }
    this.succeeded();
    if (page.end > next) {
      await this.awaitDelivery(page.end);
    }
    const delivered = this.next ?? next;
    if (page.end > delivered) {
      const isNear = page.end - delivered <= MAX_RECORDS_TO_CATCH_UP;
      return isNear ? this.readFrom(delivered) : this.readAll();
    }
    this.confirm(askedAt);
    if (this.isServedByMember) {
      await this.sleep(END_INTERVAL_MILLIS);
    }
    return true;
  }

  private async awaitDelivery(end: Offset): Promise<void> {
    const deadline = deadlineAfter(this.clock.now(), DELIVERY_TIMEOUT_MILLIS);
    const isPending = (): boolean =>
      this.isServedByMember && !this.isStopped && end > (this.next ?? end);
    while (isPending() && !hasPassed(deadline, this.clock.now())) {
      await this.sleep(DELIVERY_CHECK_MILLIS);
    }
  }

  private sleep(millis: number): Promise<void> {
    return this.clock.sleepUntil(deadlineAfter(this.clock.now(), millis));
  }

  /** Reads the newest record of all keys; returns whether the store answered. */
  private async readAll(): Promise<boolean> {
    const entries: StoreEntry[] = [];
    let endAtFirstPage: Offset | undefined;
    let { after } = this.options;
    const askedAt = this.clock.now();
    do {
      const page = await this.store.newest(this.topic, after, this.deadlineAfterWait(0));
      if (page.kind === 'unavailable') {
        this.failed(page);
        return false;
      }
      endAtFirstPage ??= page.end;
      entries.push(...page.entries);
      after = page.next;
    } while (after !== undefined);
    this.succeeded();
    this.next = endAtFirstPage;
    this.deliver(entries, endAtFirstPage, true);
    this.confirm(askedAt);
    this.isUnconfirmed = this.listener.confirmed !== undefined;
    return true;
  }

  private async readFrom(from: Offset): Promise<boolean> {
    const { pollWaitMillis = POLL_WAIT_MILLIS } = this.options;
    const waitMillis = this.isUnconfirmed ? 0 : Math.min(pollWaitMillis, POLL_WAIT_MILLIS);
    const askedAt = this.clock.now();
    const part = await this.store.read(
      this.topic,
      from,
      waitMillis,
      this.deadlineAfterWait(waitMillis),
    );
    if (part.kind === 'unavailable') {
      this.failed(part);
      this.next = this.options.hasLargeRecords === true ? this.next : undefined;
      return false;
    }
    this.succeeded();
    if (part.kind === 'expired') {
      this.next = undefined;
      return false;
    }
    if (part.entries.length > 0) {
      this.deliver(part.entries, part.end, false);
    }
    const last = part.entries.at(-1);
    this.isUnconfirmed = last !== undefined && this.listener.confirmed !== undefined;
    if (last !== undefined) {
      this.skipTo(brandAs<Offset>(last.offset + 1));
    }
    if ((this.next ?? from) >= part.end) {
      this.confirm(last === undefined ? this.endOfWait(askedAt, waitMillis) : askedAt);
    }
    const { gatherMillis = 0 } = this.options;
    if (last !== undefined && gatherMillis > 0) {
      await this.sleep(gatherMillis);
    }
    return true;
  }

  /** When the store sent an answer without records, at the earliest. */
  private endOfWait(askedAt: Instant, waitMillis: number): Instant {
    const waitedUntil = deadlineAfter(askedAt, waitMillis);
    return hasPassed(waitedUntil, this.clock.now()) ? brandAs<Instant>(waitedUntil) : askedAt;
  }

  private confirm(at: Instant): void {
    if (!this.isStopped) {
      this.listener.confirmed?.(at);
    }
  }

  private deliver(entries: readonly StoreEntry[], end: Offset, isWhole: boolean): void {
    if (!this.isStopped) {
      this.listener.entries(entries, end, isWhole);
    }
  }

  private deadlineAfterWait(waitMillis: number) {
    return deadlineAfter(this.clock.now(), waitMillis + ANSWER_TIMEOUT_MILLIS);
  }

  private failed({ detail, receivedBytes = 0 }: Unavailable): void {
    this.failures += 1;
    this.hasFailed = true;
    this.discardedBytes += receivedBytes;
    this.reportReachable(false, detail);
  }

  private succeeded(): void {
    const now = this.clock.now();
    const awayMillis = Math.round(now - this.reachedAt);
    this.reportReachable(
      true,
      `${this.failures} calls failed within ${awayMillis} ms, ${this.discardedBytes} bytes discarded`,
    );
    this.reachedAt = now;
    this.hasFailed = false;
    this.failures = 0;
    this.discardedBytes = 0;
  }

  private reportReachable(isReachable: boolean, detail: string): void {
    if (this.wasReachable !== isReachable && !this.isStopped) {
      this.wasReachable = isReachable;
      this.listener.reachable(isReachable, detail);
    }
  }
}
