/** Follows a topic: reads the newest record of each key, then new records by long polling. */

import type { Clock } from '@bamboowell/kernel/clock';
import { deadlineAfter, hasPassed, type Instant } from '@bamboowell/types/time';
import { brandAs, type Offset } from '@bamboowell/types/ids';
import type { Store, StoreEntry, Topic, Unavailable } from './store.js';

/** How long the store may wait for a record before it answers. */
const POLL_WAIT_MILLIS = 1500;
/** An answer is given up this long after it was due: many times the store's usual 4 ms. */
const ANSWER_TIMEOUT_MILLIS = 900;
/** Pause before a failed call is retried. */
const RETRY_DELAY_MILLIS = 150;

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
    /** Pause after new records; later ones are then read in one call. */
    private readonly gatherMillis = 0,
  ) {
    this.reachedAt = clock.now();
  }

  start(): void {
    void this.follow();
  }

  stop(): void {
    this.isStopped = true;
  }

  private async follow(): Promise<void> {
    let from: Offset | undefined;
    while (!this.isStopped) {
      from = from === undefined ? await this.readAll() : await this.readFrom(from);
      if (from === undefined) {
        await this.clock.sleepUntil(deadlineAfter(this.clock.now(), RETRY_DELAY_MILLIS));
      }
    }
  }

  /** Reads the newest record of all keys; returns the offset to continue from. */
  private async readAll(): Promise<Offset | undefined> {
    const entries: StoreEntry[] = [];
    let endAtFirstPage: Offset | undefined;
    let after: string | undefined;
    const askedAt = this.clock.now();
    do {
      const page = await this.store.newest(this.topic, after, this.deadlineAfterWait(0));
      if (page.kind === 'unavailable') {
        this.failed(page);
        return undefined;
      }
      endAtFirstPage ??= page.end;
      entries.push(...page.entries);
      after = page.next;
    } while (after !== undefined);
    this.succeeded();
    this.deliver(entries, endAtFirstPage, true);
    this.confirm(askedAt);
    this.isUnconfirmed = this.listener.confirmed !== undefined;
    return endAtFirstPage;
  }

  private async readFrom(from: Offset): Promise<Offset | undefined> {
    const waitMillis = this.isUnconfirmed ? 0 : POLL_WAIT_MILLIS;
    const askedAt = this.clock.now();
    const part = await this.store.read(
      this.topic,
      from,
      waitMillis,
      this.deadlineAfterWait(waitMillis),
    );
    if (part.kind === 'unavailable') {
      this.failed(part);
      return undefined;
    }
    this.succeeded();
    if (part.kind === 'expired') {
      return undefined;
    }
    if (part.entries.length > 0) {
      this.deliver(part.entries, part.end, false);
    }
    const last = part.entries.at(-1);
    this.isUnconfirmed = last !== undefined && this.listener.confirmed !== undefined;
    const next = last === undefined ? from : ((last.offset + 1) as Offset);
    if (next >= part.end) {
      this.confirm(last === undefined ? this.endOfWait(askedAt, waitMillis) : askedAt);
    }
    if (last !== undefined) {
      await this.pauseToGather();
    }
    return next;
  }

  private async pauseToGather(): Promise<void> {
    if (this.gatherMillis > 0) {
      await this.clock.sleepUntil(deadlineAfter(this.clock.now(), this.gatherMillis));
    }
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
