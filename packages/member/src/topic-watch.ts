/** Follows the newest records of a topic. */

import type { Clock } from '@bamboowell/kernel/clock';
import { deadlineAfter } from '@bamboowell/types/time';
import type { Offset } from '@bamboowell/types/ids';
import type { Store, StoreEntry, Topic, Unavailable } from './store.js';

/** How long the store may wait for a record before it answers, milliseconds. */
const POLL_MILLIS = 1500;
/** An answer that comes later than this after it was due is given up, milliseconds: many times the store's usual 4 ms. */
const ANSWER_MILLIS = 900;
/** Pause before the store is asked again after a failure, milliseconds. */
const RETRY_MILLIS = 150;

export interface TopicListener {
  /** Records in order; `isWhole` marks the newest record of all keys that the topic has. */
  entries(entries: readonly StoreEntry[], end: Offset, isWhole: boolean): void;
  /** The store stopped or began to answer. */
  reachable(isReachable: boolean, detail: string): void;
}

export class TopicWatch {
  private isStopped = false;
  private wasReachable: boolean | undefined;

  constructor(
    private readonly store: Store,
    private readonly topic: Topic,
    private readonly clock: Clock,
    private readonly listener: TopicListener,
    /** Pause after records came, milliseconds: what comes meanwhile is read in one call. */
    private readonly gatherMillis = 0,
  ) {}

  start(): void {
    void this.follow();
  }

  stop(): void {
    this.isStopped = true;
  }

  private async follow(): Promise<void> {
    let from: Offset | undefined;
    while (!this.isStopped) {
      from = from === undefined ? await this.readAll() : await this.readOn(from);
      if (from === undefined) {
        await this.clock.sleepUntil(deadlineAfter(this.clock.now(), RETRY_MILLIS));
      }
    }
  }

  /** Reads all keys and returns where to go on. */
  private async readAll(): Promise<Offset | undefined> {
    const entries: StoreEntry[] = [];
    let first: Offset | undefined;
    let after: string | undefined;
    do {
      const page = await this.store.newest(this.topic, after, this.limit(0));
      if (page.kind === 'unavailable') {
        this.lost(page);
        return undefined;
      }
      first ??= page.end;
      entries.push(...page.entries);
      after = page.next;
    } while (after !== undefined);
    this.found();
    this.tell(entries, first, true);
    return first;
  }

  private async readOn(from: Offset): Promise<Offset | undefined> {
    const part = await this.store.read(this.topic, from, POLL_MILLIS, this.limit(POLL_MILLIS));
    if (part.kind === 'unavailable') {
      this.lost(part);
      return undefined;
    }
    this.found();
    if (part.kind === 'expired') {
      return undefined;
    }
    if (part.entries.length > 0) {
      this.tell(part.entries, part.end, false);
      await this.gather();
    }
    const last = part.entries.at(-1);
    return last === undefined ? from : ((last.offset + 1) as Offset);
  }

  private async gather(): Promise<void> {
    if (this.gatherMillis > 0) {
      await this.clock.sleepUntil(deadlineAfter(this.clock.now(), this.gatherMillis));
    }
  }

  private tell(entries: readonly StoreEntry[], end: Offset, isWhole: boolean): void {
    if (!this.isStopped) {
      this.listener.entries(entries, end, isWhole);
    }
  }

  private limit(waitMillis: number) {
    return deadlineAfter(this.clock.now(), waitMillis + ANSWER_MILLIS);
  }

  private lost({ detail }: Unavailable): void {
    this.note(false, detail);
  }

  private found(): void {
    this.note(true, '');
  }

  private note(isReachable: boolean, detail: string): void {
    if (this.wasReachable !== isReachable && !this.isStopped) {
      this.wasReachable = isReachable;
      this.listener.reachable(isReachable, detail);
    }
  }
}
