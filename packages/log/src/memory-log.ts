/** An in-memory log whose faults are set per append. For tests and replay. */

import { match } from 'ts-pattern';
import type { Clock } from '@bamboowell/kernel/clock';
import { brandAs, type Offset, type StreamName } from '@bamboowell/types/ids';
import { deadlineAfter, type Deadline } from '@bamboowell/types/time';
import { Log, type LogAppendResult, type LogEntry, type Page } from './log.js';

/** Fault of one append. With the last three, the caller gets `unknown` at its deadline. */
export type AppendFault =
  /** The append has no effect, and the answer says so. */
  | 'refused'
  /** The append takes effect, but its answer is lost. */
  | 'answer_lost'
  /** The request is lost, so that the append has no effect. */
  | 'request_lost'
  /** The append takes effect when `releaseLate` is called. */
  | 'late';

export class MemoryLog extends Log {
  private readonly streams = new Map<StreamName, LogEntry[]>();
  /** Highest offset below which entries have expired. */
  private readonly expired = new Map<StreamName, number>();
  private readonly late: (() => void)[] = [];
  private faults: AppendFault[] = [];
  private wakers: (() => void)[] = [];
  private isDown = false;
  private delayMillis = 0;
  private appendCount = 0;

  constructor(private readonly clock: Clock) {
    super();
  }

  /** Number of appends received, with or without effect. */
  get appends(): number {
    return this.appendCount;
  }

  /** Sets the faults of the next appends, in order; later ones succeed. */
  failNext(...faults: readonly AppendFault[]): void {
    this.faults.push(...faults);
  }

  /** While down, appends are refused and reads fail. */
  setDown(isDown: boolean): void {
    this.isDown = isDown;
    this.wakeReaders();
  }

  /** Sets the latency of each append and read, milliseconds. */
  setDelay(millis: number): void {
    this.delayMillis = millis;
  }

  /** Ends all faults and lets late appends take effect. */
  recover(): void {
    this.faults = [];
    this.releaseLate();
    this.setDown(false);
  }

  /** Lets all late appends take effect. */
  releaseLate(): void {
    for (const release of this.late.splice(0)) {
      release();
    }
  }

  /** Drops the entries below an offset. */
  expire(stream: StreamName, below: number): void {
    this.expired.set(stream, below);
  }

  /** All entries that the stream ever had, including expired ones. */
  entries(stream: StreamName): readonly LogEntry[] {
    return this.entriesOf(stream);
  }

  async append(stream: StreamName, body: string, deadline: Deadline): Promise<LogAppendResult> {
    this.appendCount += 1;
    if (this.delayMillis > 0) {
      await this.delay();
    }
    if (this.isDown) {
      return { kind: 'refused', detail: 'down' };
    }
    return match(this.faults.shift())
      .with(undefined, (): LogAppendResult => ({
        kind: 'appended',
        offset: this.store(stream, body),
      }))
      .with('refused', (): LogAppendResult => ({ kind: 'refused', detail: 'refused' }))
      .with('answer_lost', () => {
        this.store(stream, body);
        return this.unknownAt(deadline);
      })
      .with('request_lost', () => this.unknownAt(deadline))
      .with('late', () => {
        this.late.push(() => this.store(stream, body));
        return this.unknownAt(deadline);
      })
      .exhaustive();
  }

  async read(stream: StreamName, from: Offset, waitUntil: Deadline): Promise<Page> {
    if (this.isAtEnd(stream, from) && !this.isDown && this.clock.now() < waitUntil) {
      await this.waitForEntry(waitUntil);
    }
    if (this.delayMillis > 0) {
      await this.delay();
    }
    if (this.isDown) {
      return { kind: 'unavailable', detail: 'down' };
    }
    const earliest = brandAs<Offset>(this.expired.get(stream) ?? 0);
    if (from < earliest) {
      return { kind: 'expired', earliest };
    }
    const entries = this.entriesOf(stream).slice(from);
    const next = brandAs<Offset>(from + entries.length);
    return { kind: 'entries', entries, next, atEnd: true };
  }

  close(): Promise<void> {
    return Promise.resolve();
  }

  private delay(): Promise<void> {
    return this.clock.sleepUntil(deadlineAfter(this.clock.now(), this.delayMillis));
  }

  private entriesOf(stream: StreamName): LogEntry[] {
    const known = this.streams.get(stream) ?? [];
    this.streams.set(stream, known);
    return known;
  }

  private isAtEnd(stream: StreamName, from: Offset): boolean {
    return from >= this.entriesOf(stream).length;
  }

  private store(stream: StreamName, body: string): Offset {
    const entries = this.entriesOf(stream);
    const offset = brandAs<Offset>(entries.length);
    entries.push({ offset, body });
    this.wakeReaders();
    return offset;
  }

  private async unknownAt(deadline: Deadline): Promise<LogAppendResult> {
    await this.clock.sleepUntil(deadline);
    return { kind: 'unknown', detail: 'deadline passed' };
  }

  private waitForEntry(deadline: Deadline): Promise<void> {
    return new Promise((resolve) => {
      const alarm = this.clock.wakeAt(deadline, resolve);
      this.wakers.push(() => {
        alarm.cancel();
        resolve();
      });
    });
  }

  private wakeReaders(): void {
    for (const wake of this.wakers.splice(0)) {
      wake();
    }
  }
}
