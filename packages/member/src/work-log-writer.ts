/**
 * Writes the owner's records to the work log: batches them, appends them in order, repeats those that
 * failed or are not answered in time, and probes the store while it is silent.
 */

import { match } from 'ts-pattern';
import type { Clock } from '@bamboowell/kernel/clock';
import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import type { EventLog } from '@bamboowell/logger/logger';
import type { JobBatch } from '@bamboowell/jobs/messages';
import { brandAs } from '@bamboowell/types/ids';
import type { Term } from '@bamboowell/types/job';
import {
  deadlineAfter,
  earlier,
  hasPassed,
  type Deadline,
  type Instant,
} from '@bamboowell/types/time';
import { AppendWindow } from './append-window.js';
import { laterMoment, millisBetween, type Moment } from './moment.js';
import type { OwnerMessage } from './owner-messages.js';
import { MAX_APPEND_TIMEOUT_MILLIS, StoreHealth } from './store-health.js';
import type { ProducerSequence, Store, StoreWrite } from './store.js';

/** An idle owner appends a keep-alive after this, so that other members see that it is alive. */
const KEEP_ALIVE_INTERVAL_MILLIS = 200;
/**
 * A copy of an append may be answered for this multiple of the time after which the next copy is sent, so that a
 * store that has become slow is heard, and connections that went silent are freed.
 */
const COPY_LIFETIME_FACTOR = 4;
/**
 * What an append takes to reach the store is allowed for at this rate, less than the 10 Mbit/s of a thin link that
 * has other traffic as well.
 */
const UPLOAD_BYTES_PER_MILLI = 500;
/** A probe is given up after this: longer than the answers of a slow store take. */
const PROBE_TIMEOUT_MILLIS = 500;
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
/**
 * How long after a confirmation of ownership the owner may answer that a job does not exist. Another member claims
 * the work of a silent owner no sooner than this after the owner's last confirmation: the silence that it waits
 * for, less one ping interval.
 */
const CONFIRMATION_LIFETIME_MILLIS = 800;
/** Key of the record that fences earlier owners and serves as keep-alive. */
const ALIVE_KEY = 'alive';

export interface WorkLogWriterOptions {
  readonly term: Term;
  readonly store: Store;
  readonly events: EventLog;
  readonly clock: Clock;
  readonly wallMillis: () => number;
  /** Receives `appended` and `probed` for each outcome. */
  readonly owner: MailboxAddress<OwnerMessage>;
  /** Schedules a call of `wake`. */
  readonly wakeAt: (at: Deadline) => void;
  /** Schedules a call of `check`. */
  readonly checkAt: (at: Deadline) => void;
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
  private readonly health = new StoreHealth();
  /** The latest copies of the appends that are in flight. */
  private readonly copies = new Map<ProducerSequence, Copy>();
  /** When the appends in flight are repeated, unless one is answered. */
  private repeatAt: Deadline | undefined;
  /** When `check` is called next. */
  private nextCheckAt: Deadline | undefined;
  /** Whether the store was suspect or lost when that was last logged. */
  private loggedState: 'healthy' | 'suspect' | 'lost' = 'healthy';
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
    return (
      this.outstandingMillis > STALL_TIMEOUT_MILLIS || this.refusedMillis > REFUSAL_TIMEOUT_MILLIS
    );
  }

  /** Whether new records would wait so long that what depends on them should not begin. */
  get isBackedUp(): boolean {
    return this.outstandingMillis > BACKLOG_TIMEOUT_MILLIS || this.isStoreAway;
  }

  /** Whether the store is known to take nothing at present. */
  get isStoreAway(): boolean {
    return this.health.state(this.now) === 'away' || this.refusedMillis > REFUSAL_TIMEOUT_MILLIS;
  }

  /** Whether appends are answered, or none is unanswered for longer than usual. */
  get isStoreHealthy(): boolean {
    return this.health.state(this.now) === 'healthy' && this.refusedSince === undefined;
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

  /** Records how late a timer of this process was. */
  observeLag(lagMillis: number): void {
    this.health.observeLag(lagMillis);
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
    if (!window.hasUnsent && (this.isFinishing || !this.mayTakeBatch)) {
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

  /** Runs at the time that `checkAt` was given: repeats appends and probes the store where that is due. */
  check(): void {
    const { health, now } = this;
    if (this.nextCheckAt !== undefined && hasPassed(this.nextCheckAt, now)) {
      this.nextCheckAt = undefined;
    }
    if (this.window.isIdle) {
      return;
    }
    if (this.repeatAt !== undefined && hasPassed(this.repeatAt, now)) {
      health.repeated();
      this.repeatInFlight();
    }
    if (health.isProbeDue(now)) {
      this.probe(now);
    }
    this.logState();
    this.scheduleCheck();
  }

  /** Handles the outcome of a probe. */
  handleProbe({ sentAt, isAnswered }: Extract<OwnerMessage, { kind: 'probed' }>): void {
    if (!isAnswered) {
      return;
    }
    if (this.health.probeAnswered(sentAt, this.waitingSince, this.now)) {
      this.repeatInFlight();
    } else {
      this.send();
    }
    this.scheduleCheck();
  }

  /** Handles the outcome of an append. */
  handleOutcome(message: Extract<OwnerMessage, { kind: 'appended' }>): AppendResult {
    const { sequence, outcome, sentAt } = message;
    const isLatest = this.copies.get(sequence)?.sentAt === sentAt;
    if (isLatest && outcome.kind !== 'appended') {
      this.copies.delete(sequence);
    }
    if (!this.window.has(sequence) && outcome.kind === 'appended') {
      // Another copy, or a later append, has told so: the answer to a repeat proves nothing about the present.
      this.logLatency(sentAt);
      return { kind: 'retry' };
    }
    const isDecisive = outcome.kind === 'appended' || outcome.kind === 'fenced';
    if (!isLatest && !isDecisive) {
      return { kind: 'retry' };
    }
    return match(outcome)
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
          this.health.heard(this.waitingSince, this.now);
        }
        this.failed(message.sequence, outcome.kind, 'detail' in outcome ? outcome.detail : '');
        return { kind: 'retry' };
      })
      .exhaustive();
  }

  /** By when all appends in flight have reached the store. */
  private get waitingSince(): Instant | undefined {
    const uploads = [...this.copies.values()].map(({ uploadedAt }) => uploadedAt);
    return uploads.length === 0 ? undefined : brandAs<Instant>(Math.max(...uploads));
  }

  private get refusedMillis(): number {
    return this.refusedSince === undefined ? 0 : this.now - this.refusedSince;
  }

  /**
   * While appends are unanswered for longer than usual no further batch is sent: what it holds would be neither
   * accepted nor refused until the store returns.
   */
  private get mayTakeBatch(): boolean {
    return this.health.state(this.now) === 'healthy';
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
    const uploadMillis = uploadMillisOf(append.writes);
    const uploadedAt = brandAs<Instant>(sentAt.at + uploadMillis);
    this.copies.set(sequence, { sentAt, uploadedAt });
    this.outstandingSince ??= sentAt.at;
    this.health.sent(uploadedAt);
    const { appendTimeoutMillis } = this.health;
    const lifetimeMillis = Math.min(
      MAX_APPEND_TIMEOUT_MILLIS,
      COPY_LIFETIME_FACTOR * appendTimeoutMillis,
    );
    const deadline = deadlineAfter(uploadedAt, lifetimeMillis);
    if (appendTimeoutMillis < lifetimeMillis) {
      this.repeatAt ??= deadlineAfter(uploadedAt, appendTimeoutMillis);
    }
    this.scheduleCheck();
    void store.append('work', append.writes, append.condition, deadline).then((outcome) => {
      owner.post({ kind: 'appended', term, sequence, outcome, sentAt });
    });
  }

  /** Sends the appends in flight once more; an answer to any copy counts. */
  private repeatInFlight(): void {
    this.window.markAllFailed();
    this.copies.clear();
    this.repeatAt = undefined;
    this.retryAt = deadlineAfter(this.now, 0);
    this.send();
  }

  private probe(now: Instant): void {
    const { store, owner, term } = this.options;
    this.health.probeSent(now);
    const deadline = deadlineAfter(now, PROBE_TIMEOUT_MILLIS);
    void store.probe(deadline).then((isAnswered) => {
      owner.post({ kind: 'probed', term, sentAt: now, isAnswered });
    });
  }

  private scheduleCheck(): void {
    const probeAt = this.health.probeDueAt();
    const at =
      probeAt !== undefined && this.repeatAt !== undefined
        ? earlier(probeAt, this.repeatAt)
        : (probeAt ?? this.repeatAt);
    const isNeeded = this.nextCheckAt === undefined || (at ?? this.nextCheckAt) < this.nextCheckAt;
    if (at !== undefined && isNeeded) {
      this.nextCheckAt = at;
      this.options.checkAt(at);
    }
  }

  /** Logs that the store is suspect, lost or back, and by what that was decided. */
  private logState(): void {
    const { health, now, loggedState, options } = this;
    const silence = {
      topic: 'work',
      silentMillis: Math.round(health.silentMillis(now)),
      usualMillis: Math.round(health.usualMillis ?? 0),
      probes: health.probesWithoutAnswer,
    };
    if (this.isStoreAway || this.isStalled) {
      if (loggedState !== 'lost') {
        const isSilent = health.state(now) === 'away';
        const by = isSilent ? 'probes' : this.refusedSince === undefined ? 'appends' : 'refusals';
        options.events.event('store.lost', { ...silence, by });
      }
      this.loggedState = 'lost';
    } else if (loggedState === 'healthy' && health.state(now) === 'suspect') {
      options.events.event('store.suspected', silence);
      this.loggedState = 'suspect';
    }
  }

  private logLatency(sentAt: Moment): void {
    this.options.events.event('append.done', { millis: this.now - sentAt.at });
  }

  private logAnswered(): void {
    if (this.loggedState === 'lost') {
      this.options.events.event('store.regained', { topic: 'work', by: 'append' });
    }
    this.loggedState = 'healthy';
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
    forgetUpTo(this.firstSentAt, sequence);
    const uploadedAt = this.copies.get(sequence)?.uploadedAt ?? sentAt.at;
    forgetUpTo(this.copies, sequence);
    this.confirmation = laterMoment(this.confirmation, confirmedAt);
    this.lastAppendAt = now;
    this.lastLatencyMillis = now - sentAt.at;
    this.logLatency(sentAt);
    this.refusedSince = undefined;
    const { batches, rejectedKeys } = this.window.acknowledge(sequence);
    this.outstandingSince = this.window.isIdle ? undefined : now;
    const { waitingSince } = this;
    this.health.answered(uploadedAt, waitingSince, now);
    this.repeatAt =
      waitingSince === undefined
        ? undefined
        : deadlineAfter(waitingSince < now ? now : waitingSince, this.health.appendTimeoutMillis);
    this.logAnswered();
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

interface Copy {
  readonly sentAt: Moment;
  /** By when it has reached the store. */
  readonly uploadedAt: Instant;
}

function uploadMillisOf(writes: readonly StoreWrite[]): number {
  const bytes = writes.reduce((sum, { key, value }) => sum + key.length + (value?.length ?? 0), 0);
  return Math.floor(bytes / UPLOAD_BYTES_PER_MILLI);
}

function forgetUpTo(bySequence: Map<ProducerSequence, unknown>, last: ProducerSequence): void {
  for (const sequence of [...bySequence.keys()].filter((each) => each <= last)) {
    bySequence.delete(sequence);
  }
}
