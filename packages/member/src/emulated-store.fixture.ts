/** In-memory store of the platform, and a member's access to it with injectable faults. */

import type { Clock } from '@bamboowell/kernel/clock';
import { brandAs, type Offset } from '@bamboowell/types/ids';
import { deadlineAfter, type Deadline } from '@bamboowell/types/time';
import type { Attachment } from './emulated-cuts.fixture.js';
import type { EmulatedLine, EmulatedLink } from './emulated-link.fixture.js';
import {
  Store,
  type AppendCondition,
  type AppendOutcome,
  type Expired,
  type LogPart,
  type NewestPage,
  type StoreEntry,
  type StoreWrite,
  type Topic,
  type Unavailable,
} from './store.js';

/** Entries per page. */
const PAGE_ENTRIES = 50;
/** Longest record with its key, bytes. */
const RECORD_BYTES = 262_144;
/** Longest key, bytes: its length is one byte. */
const KEY_BYTES = 255;
/** Size of all records of an append, bytes. */
const CALL_BYTES = 2_097_152;
/** Records that readers can still read from a log. */
const KEPT_RECORDS = 3000;

interface TopicState {
  readonly records: StoreWrite[];
  first: number;
  epoch: number;
  sequence: number;
  /** Answers to the last appends, by epoch and sequence. */
  readonly answers: Map<string, AppendOutcome>;
  waiting: (() => void)[];
}

export class EmulatedStore {
  /** Keys of records that it takes in no append, for no reason that a caller could know. */
  readonly rejectedKeys = new Set<string>();
  private readonly topics = new Map<Topic, TopicState>();

  topic(name: Topic): TopicState {
    let topic = this.topics.get(name);
    if (topic === undefined) {
      topic = { records: [], first: 0, epoch: -1, sequence: 0, answers: new Map(), waiting: [] };
      this.topics.set(name, topic);
    }
    return topic;
  }

  append(name: Topic, writes: readonly StoreWrite[], condition: AppendCondition): AppendOutcome {
    const topic = this.topic(name);
    // The operator writes documents that are longer.
    const problem = name === 'operator' ? undefined : this.problemWith(writes);
    if (problem !== undefined) {
      return { kind: 'rejected', detail: problem };
    }
    if (condition.kind === 'end_is') {
      return condition.end === topic.records.length
        ? this.store(topic, writes)
        : { kind: 'moved', end: endOf(topic) };
    }
    const { epoch, sequence } = condition;
    // A repeat is answered as before, also if a higher epoch has been seen since.
    const earlier = topic.answers.get(answerKey(epoch, sequence));
    if (earlier !== undefined) {
      return earlier;
    }
    if (epoch < topic.epoch) {
      return { kind: 'fenced' };
    }
    if (epoch > topic.epoch) {
      topic.epoch = epoch;
      topic.sequence = sequence - 1;
    }
    if (sequence !== topic.sequence + 1) {
      return { kind: 'out_of_sequence', expected: brandAs(topic.sequence + 1) };
    }
    topic.sequence = sequence;
    const outcome = this.store(topic, writes);
    topic.answers.set(answerKey(epoch, sequence), outcome);
    topic.answers.delete(answerKey(epoch, sequence - 5));
    return outcome;
  }

  /** Returns the newest record of each key, sorted by key. */
  newest(name: Topic): StoreEntry[] {
    const byKey = new Map<string, StoreEntry>();
    this.topic(name).records.forEach(({ key, value }, index) => {
      if (value === undefined) {
        byKey.delete(key);
      } else {
        byKey.set(key, { key, value, offset: brandAs<Offset>(index) });
      }
    });
    return [...byKey.values()].sort((left, right) => (left.key < right.key ? -1 : 1));
  }

  private problemWith(writes: readonly StoreWrite[]): string | undefined {
    const sizes = writes.map(({ key, value }) => Buffer.byteLength(key + (value ?? '')) + 1);
    if (sizes.some((size) => size > RECORD_BYTES)) {
      return 'a record is too large';
    }
    if (sizes.reduce((sum, size) => sum + size, 0) > CALL_BYTES) {
      return 'the call is too large';
    }
    return writes.some(
      ({ key }) => Buffer.byteLength(key) > KEY_BYTES || this.rejectedKeys.has(key),
    )
      ? 'a key is not taken'
      : undefined;
  }

  private store(topic: TopicState, writes: readonly StoreWrite[]): AppendOutcome {
    topic.records.push(...writes);
    topic.first = Math.max(topic.first, topic.records.length - KEPT_RECORDS);
    const waiting = topic.waiting;
    topic.waiting = [];
    waiting.forEach((wake) => {
      wake();
    });
    return { kind: 'appended', end: endOf(topic) };
  }
}

function answerKey(epoch: number, sequence: number): string {
  return `${epoch}/${sequence}`;
}

function endOf(topic: TopicState): Offset {
  return brandAs<Offset>(topic.records.length);
}

/** Faults between the store and one member. */
export interface StoreFaults {
  mode: 'up' | 'silent' | 'refusing';
  /** A topic whose calls get no answer and have no effect: the store may be down in part. */
  silentTopic?: Topic | undefined;
  latencyMillis: number;
  /** Fraction of appends that take effect but get no answer. */
  lostAnswerRate: number;
  /** Fraction of appends that take effect seconds later, after the caller has given up. */
  lateAppendRate: number;
}

/** The calls that a member has open at the store. */
export interface StoreUse {
  open: number;
  mostOpen: number;
}

export const NO_FAULTS: StoreFaults = {
  mode: 'up',
  latencyMillis: 4,
  lostAnswerRate: 0,
  lateAppendRate: 0,
};

const LATE_APPEND_MILLIS = 2500;

export class EmulatedStorePort extends Store {
  readonly use: StoreUse = { open: 0, mostOpen: 0 };

  constructor(
    private readonly store: EmulatedStore,
    private readonly clock: Clock,
    private readonly faults: StoreFaults,
    private readonly random: () => number,
    private readonly link: EmulatedLink,
    private readonly attachment: Attachment,
    /** From the store's region to the member's, if that is another one. */
    private readonly line?: EmulatedLine,
  ) {
    super();
  }

  append(
    topic: Topic,
    writes: readonly StoreWrite[],
    condition: AppendCondition,
    deadline: Deadline,
  ): Promise<AppendOutcome> {
    const act = (): AppendOutcome => this.store.append(topic, writes, condition);
    const draw = this.random();
    const sent = this.link.transmit('out', writes);
    if (this.faults.silentTopic === topic) {
      return this.timeOut(deadline);
    }
    const arrives = this.faults.mode === 'up' && this.reachesStore();
    if (arrives && draw < this.faults.lateAppendRate) {
      this.clock.wakeAt(deadlineAfter(this.clock.now(), LATE_APPEND_MILLIS), act);
      return this.timeOut(deadline);
    }
    if (arrives && draw < this.faults.lateAppendRate + this.faults.lostAnswerRate) {
      act();
      return this.timeOut(deadline);
    }
    return this.answer(deadline, act, sent);
  }

  newest(
    topic: Topic,
    after: string | undefined,
    deadline: Deadline,
  ): Promise<NewestPage | Unavailable> {
    if (this.faults.silentTopic === topic) {
      return this.counted<NewestPage | Unavailable>(this.timeOut(deadline));
    }
    const answer = this.answer<NewestPage>(deadline, () => {
      const all = this.store.newest(topic);
      const rest = after === undefined ? all : all.filter(({ key }) => key > after);
      const entries = rest.slice(0, PAGE_ENTRIES);
      const next = rest.length > PAGE_ENTRIES ? entries.at(-1)?.key : undefined;
      return { kind: 'page', entries, next, end: endOf(this.store.topic(topic)) };
    });
    return this.counted(answer);
  }

  read(
    name: Topic,
    from: Offset,
    waitMillis: number,
    deadline: Deadline,
  ): Promise<LogPart | Expired | Unavailable> {
    return this.counted(this.readRecords(name, from, waitMillis, deadline));
  }

  private async counted<Value>(answer: Promise<Value>): Promise<Value> {
    this.use.open += 1;
    this.use.mostOpen = Math.max(this.use.mostOpen, this.use.open);
    const value = await answer;
    this.use.open -= 1;
    return value;
  }

  private async readRecords(
    name: Topic,
    from: Offset,
    waitMillis: number,
    deadline: Deadline,
  ): Promise<LogPart | Expired | Unavailable> {
    const topic = this.store.topic(name);
    if (topic.records.length <= from && this.faults.mode === 'up') {
      const wakeAt = deadlineAfter(this.clock.now(), waitMillis);
      await new Promise<void>((resolve) => {
        topic.waiting.push(resolve);
        this.clock.wakeAt(wakeAt, resolve);
      });
    }
    if (this.faults.silentTopic === name) {
      return this.timeOut(deadline);
    }
    return this.answer<LogPart | Expired>(deadline, () => {
      if (from < topic.first) {
        return { kind: 'expired' };
      }
      const entries = topic.records
        .slice(from)
        .map((record, index) => ({ ...record, offset: brandAs<Offset>(from + index) }));
      return { kind: 'part', entries, end: endOf(topic) };
    });
  }

  private async answer<Value>(
    deadline: Deadline,
    act: () => Value,
    sent: Promise<void> = this.link.transmit('out', undefined),
  ): Promise<Value | Unavailable> {
    const { faults, clock } = this;
    if (faults.mode === 'silent') {
      return this.timeOut(deadline);
    }
    const oneWayMillis = faults.latencyMillis / 2;
    await sent;
    await clock.sleepUntil(deadlineAfter(clock.now(), oneWayMillis));
    if (!this.reachesStore()) {
      return this.timeOut(deadline);
    }
    if (!this.hearsStore()) {
      return this.callWithoutAnswer(deadline, act);
    }
    if (faults.mode !== 'up') {
      return { kind: 'unavailable', how: 'refused', detail: 'status 503' };
    }
    const value = act();
    await clock.sleepUntil(deadlineAfter(clock.now(), oneWayMillis));
    if (!this.hearsStore()) {
      return this.timeOut(deadline);
    }
    if (clock.now() > deadline) {
      return { kind: 'unavailable', how: 'silent', detail: 'late' };
    }
    await this.line?.transmit(value);
    await this.link.transmit('in', value);
    return value;
  }

  private reachesStore(): boolean {
    return this.attachment.cuts.carries(this.attachment.member, 'store');
  }

  private hearsStore(): boolean {
    return this.attachment.cuts.carries('store', this.attachment.member);
  }

  /** Carries a call out whose answer a cut stops. */
  private callWithoutAnswer(deadline: Deadline, act: () => unknown): Promise<Unavailable> {
    const { cuts, member, clock } = this.attachment;
    const lateMillis = cuts.answerlessCallMillis(member, 'store');
    if (lateMillis === 0) {
      act();
    } else {
      clock.wakeAt(deadlineAfter(clock.now(), lateMillis), act);
    }
    return this.timeOut(deadline);
  }

  private async timeOut(deadline: Deadline): Promise<Unavailable> {
    await this.clock.sleepUntil(deadline);
    return { kind: 'unavailable', how: 'silent', detail: 'no answer' };
  }
}
