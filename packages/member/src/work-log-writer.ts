/**
 * Writes the owner's records to the work log: batches them, appends them in order and retries
 * failed appends.
 */

import { match } from 'ts-pattern';
import type { Clock } from '@bamboowell/kernel/clock';
import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import type { EventLog } from '@bamboowell/logger/logger';
import type { JobBatch } from '@bamboowell/jobs/messages';
import type { Term } from '@bamboowell/types/job';
import { deadlineAfter, hasPassed, type Deadline, type Instant } from '@bamboowell/types/time';
import { AppendWindow } from './append-window.js';
import { laterMoment, millisBetween, type Moment } from './moment.js';
import type { OwnerMessage } from './owner-messages.js';
import type { ProducerSequence, Store } from './store.js';

/** An idle owner appends a keep-alive after this, so that other members see that it is alive. */
const KEEP_ALIVE_INTERVAL_MILLIS = 200;
/** An append is given up and retried after this: far above the store's 4 ms. */
const APPEND_TIMEOUT_MILLIS = 800;
/** Writes are batched for this long after the last append, because each call to the store has a cost. */
const BATCH_DELAY_MILLIS = 10;
/**
 * While an append is unanswered the next one follows after this fraction of the last latency: the
 * store processes appends one at a time, which makes up about a third of the latency.
 */
const PIPELINE_DELAY_FACTOR = 1 / 3;
/** Pause before an append is retried. */
const APPEND_RETRY_DELAY_MILLIS = 60;
/** An append that isn't stored for this long means that another member should try to own the work. */
const STALL_TIMEOUT_MILLIS = 1000;
/**
 * The same for appends that the store refuses, or whose connections it closes: several attempts. Silence
 * may also come from a store that is slow for all.
 */
const REFUSAL_TIMEOUT_MILLIS = 250;
/**
 * No work is started while no append has been stored for this long: well within the validity of the
 * tickets that starts need.
 */
const BACKLOG_TIMEOUT_MILLIS = 600;
/**
 * An append that takes longer than this indicates a slow store. A takeover makes five calls in
 * sequence, which would then take longer than callers should wait.
 */
const SLOW_APPEND_MILLIS = 100;
/** How long after a confirmation of ownership the owner may answer that a job does not exist. */
const CONFIRMATION_LIFETIME_MILLIS = 1500;
/** Key of the record that fences earlier owners and serves as keep-alive. */
const ALIVE_KEY = 'alive';

export interface WorkLogWriterOptions {
  readonly term: Term;
  readonly store: Store;
  readonly events: EventLog;
  readonly clock: Clock;
  readonly wallMillis: () => number;
  /** Receives `appended` for each outcome. */
  readonly owner: MailboxAddress<OwnerMessage>;
  /** Schedules a call of `wake`. */
  readonly wakeAt: (at: Deadline) => void;
  /** Returns the scheduler's pending writes, if there are any. */
  readonly takeBatch: () => JobBatch | undefined;
  /** Called for a batch without writes when all earlier writes are stored. */
  readonly committed: (batch: number) => void;
}

/** Result of an append. */
export type AppendResult =
  /** The append is stored, which also confirms that this member still owns the work. */
  | {
      readonly kind: 'recorded';
      readonly isFirst: boolean;
      /** When the first copy of it was sent: a repeat gets the answer to an earlier copy. */
      readonly confirmedAt: Moment;
      readonly batches: readonly number[];
      /** Keys of writes that the store takes in no append, while it takes others. */
      readonly rejectedKeys: readonly string[];
    }
  | { readonly kind: 'retry' }
  /** Another member owns the work, or it can't be determined which appends of this owner are stored. */
  | { readonly kind: 'lost'; readonly reason: 'fenced' | 'out_of_sequence' };

export class WorkLogWriter {
  private readonly window: AppendWindow;
  /** When the first copies were sent of appends that are not stored yet. */
  private readonly firstSentAt = new Map<ProducerSequence, Moment>();
  /** When the last append that the store has taken was first sent. */
  private confirmation: Moment | undefined;
  private lastAppendAt: Instant;
  private lastSentAt: Instant;
  /** Latency of the last append. */
  private lastLatencyMillis = 0;
  /** Since when appends have been outstanding without one being stored. */
  private outstandingSince: Instant | undefined;
  /** Since when the store has refused appends, or closed their connections, and taken none. */
  private refusedSince: Instant | undefined;
  /** No append is sent before this, after one that failed. */
  private retryAt: Deadline;
  private isWakeScheduled = false;
  private isFinishing = false;

  constructor(private readonly options: WorkLogWriterOptions) {
    const now = options.clock.now();
    const filler = { key: ALIVE_KEY, value: JSON.stringify({ term: options.term }) };
    this.window = new AppendWindow(options.term, filler);
    this.lastAppendAt = now;
    this.lastSentAt = now;
    this.retryAt = deadlineAfter(now, 0);
  }

  /** Whether all writes are stored. */
  get isIdle(): boolean {
    return this.window.isIdle;
  }

  /** Whether nothing has been appended for so long that other members may take this owner for dead. */
  get needsKeepAlive(): boolean {
    return this.isIdle && this.now - this.lastAppendAt >= KEEP_ALIVE_INTERVAL_MILLIS;
  }

  /**
   * Whether the store has failed to take appends for so long that another member should try to own
   * the work.
   */
  get isStalled(): boolean {
    const refusedMillis = this.refusedSince === undefined ? 0 : this.now - this.refusedSince;
    return this.outstandingMillis > STALL_TIMEOUT_MILLIS || refusedMillis > REFUSAL_TIMEOUT_MILLIS;
  }

  /** Whether new records would wait so long that what depends on them should not begin. */
  get isBackedUp(): boolean {
    return this.outstandingMillis > BACKLOG_TIMEOUT_MILLIS;
  }

  /** Whether the store is slow, judged by the last append and by those outstanding. */
  get isSlow(): boolean {
    return Math.max(this.lastLatencyMillis, this.outstandingMillis) > SLOW_APPEND_MILLIS;
  }

  /**
   * Whether ownership was confirmed recently. Checks both clocks, because the monotonic clock stops
   * while the machine is suspended.
   */
  get isOwnershipConfirmed(): boolean {
    const { confirmation } = this;
    return (
      confirmation !== undefined &&
      millisBetween(confirmation, this.moment) < CONFIRMATION_LIFETIME_MILLIS
    );
  }

  /** Appends a record that fences earlier owners and shows that this one is alive. */
  keepAlive(member: string): void {
    this.record(ALIVE_KEY, { term: this.options.term, member });
  }

  /** Appends a record that belongs to no job; `onStored` is called once it is stored. */
  record(key: string, value: unknown, onStored?: () => void): void {
    this.window.addWrites([{ key, value: JSON.stringify(value) }], onStored);
    this.send();
  }

  /** Runs at the time that `wakeAt` was given. */
  wake(): void {
    this.isWakeScheduled = false;
    this.send();
  }

  /** Takes the scheduler's last writes and accepts none after them. */
  finish(): void {
    if (!this.isFinishing) {
      this.takeBatch();
      this.isFinishing = true;
      this.send();
    }
  }

  /** Sends the next append if one is due and may be in flight. */
  send(): void {
    const { window, now } = this;
    if (!hasPassed(this.retryAt, now) || !window.canSend) {
      return;
    }
    if (!window.hasUnsent && this.isFinishing) {
      return;
    }
    if (!window.hasUnsent) {
      const dueAt = this.nextDueAt();
      if (!hasPassed(dueAt, now)) {
        this.scheduleWake(dueAt);
        return;
      }
      this.takeBatch();
    }
    this.sendNext();
  }

  /** Handles the outcome of an append. */
  handleOutcome(message: Extract<OwnerMessage, { kind: 'appended' }>): AppendResult {
    return match(message.outcome)
      .returnType<AppendResult>()
      .with({ kind: 'appended' }, () => this.recorded(message.sequence, message.sentAt))
      .with({ kind: 'fenced' }, () => ({ kind: 'lost', reason: 'fenced' }))
      .with({ kind: 'out_of_sequence' }, ({ expected }) =>
        this.outOfSequence(message.sequence, expected),
      )
      .with({ kind: 'rejected' }, ({ detail }) => this.rejected(message.sequence, detail))
      .with({ kind: 'unavailable' }, { kind: 'full' }, { kind: 'moved' }, (outcome) => {
        if (outcome.kind === 'unavailable' && outcome.how !== 'silent') {
          this.refusedSince ??= this.now;
        }
        this.failed(message.sequence, outcome.kind, 'detail' in outcome ? outcome.detail : '');
        return { kind: 'retry' };
      })
      .exhaustive();
  }

  /** How long appends have been outstanding without one being stored. */
  private get outstandingMillis(): number {
    return this.outstandingSince === undefined ? 0 : this.now - this.outstandingSince;
  }

  private get now(): Instant {
    return this.options.clock.now();
  }

  private get moment(): Moment {
    return { at: this.now, wallMillis: this.options.wallMillis() };
  }

  /** When the next batch may be taken. */
  private nextDueAt(): Deadline {
    if (this.window.isIdle) {
      return deadlineAfter(this.lastAppendAt, BATCH_DELAY_MILLIS);
    }
    return deadlineAfter(
      this.lastSentAt,
      Math.max(BATCH_DELAY_MILLIS, PIPELINE_DELAY_FACTOR * this.lastLatencyMillis),
    );
  }

  private takeBatch(): void {
    const batch = this.options.takeBatch();
    if (batch?.writes.length === 0 && this.window.isIdle) {
      this.options.committed(batch.number);
    } else if (batch !== undefined) {
      this.window.addBatch(batch);
    }
  }

  private sendNext(): void {
    const append = this.window.next();
    if (append === undefined) {
      return;
    }
    const { term, store, owner } = this.options;
    const { sequence } = append;
    const sentAt = this.moment;
    this.lastSentAt = sentAt.at;
    if (!this.firstSentAt.has(sequence)) {
      this.firstSentAt.set(sequence, sentAt);
    }
    this.outstandingSince ??= sentAt.at;
    const deadline = deadlineAfter(sentAt.at, APPEND_TIMEOUT_MILLIS);
    void store.append('work', append.writes, append.condition, deadline).then((outcome) => {
      owner.post({ kind: 'appended', term, sequence, outcome, sentAt });
    });
  }

  private scheduleWake(at: Deadline): void {
    if (!this.isWakeScheduled) {
      this.isWakeScheduled = true;
      this.options.wakeAt(at);
    }
  }

  private recorded(sequence: ProducerSequence, sentAt: Moment): AppendResult {
    const isFirst = this.confirmation === undefined;
    const { now } = this;
    const confirmedAt = this.firstSentAt.get(sequence) ?? sentAt;
    this.firstSentAt.delete(sequence);
    this.confirmation = laterMoment(this.confirmation, confirmedAt);
    this.lastAppendAt = now;
    this.lastLatencyMillis = now - sentAt.at;
    this.options.events.event('append.done', { millis: this.lastLatencyMillis });
    this.refusedSince = undefined;
    const { batches, rejectedKeys } = this.window.acknowledge(sequence);
    this.outstandingSince = this.window.isIdle ? undefined : now;
    return { kind: 'recorded', isFirst, confirmedAt, batches, rejectedKeys };
  }

  /** A store that takes nothing at all counts as one that refuses; otherwise the write that it rejects is found. */
  private rejected(sequence: ProducerSequence, detail: string): AppendResult {
    if (this.window.reject(sequence)) {
      this.options.events.event('append.rejected', { sequence, detail });
    } else {
      this.refusedSince ??= this.now;
      this.failed(sequence, 'rejected', detail);
    }
    return { kind: 'retry' };
  }

  private outOfSequence(sequence: ProducerSequence, expected: ProducerSequence): AppendResult {
    this.options.events.event('append.out_of_sequence', { sequence, expected });
    if (expected > sequence) {
      // The store took an earlier attempt of this append and no longer keeps the answer to it.
      return { kind: 'lost', reason: 'out_of_sequence' };
    }
    // The append overtook one that was sent earlier and is still unanswered.
    this.failed(sequence, 'out_of_sequence', '');
    return { kind: 'retry' };
  }

  private failed(sequence: ProducerSequence, outcome: string, detail: string): void {
    this.options.events.event('append.failed', { outcome, detail });
    this.window.markFailed(sequence);
    this.retryAt = deadlineAfter(this.now, APPEND_RETRY_DELAY_MILLIS);
    this.options.wakeAt(this.retryAt);
  }
}
