/**
 * The task that appends to one stream of the log and tails it for one subscriber.
 *
 * It sends itself a message for each answer of the log, and waits for none of them while it handles
 * another message. One append and one read are in flight at a time.
 */

import { match } from 'ts-pattern';
import type { Alarm, Clock } from '@bamboowell/kernel/clock';
import { DEFAULT_MAILBOX_CAPACITY, type Address, type Posted } from '@bamboowell/kernel/mailbox';
import { Task } from '@bamboowell/kernel/task';
import {
  brandAs,
  nextSequence,
  type Sequence,
  type StreamName,
  type WriterId,
} from '@bamboowell/types/ids';
import type { Stamped } from '@bamboowell/types/records';
import { deadlineAfter, type Deadline, type Instant } from '@bamboowell/types/time';
import { AdaptiveTimeout } from './adaptive-timeout.js';
import { AppendPace, appendShare } from './append-pace.js';
import { AppendQueue } from './append-queue.js';
import { Backoff } from './backoff.js';
import { splitSnapshot } from './checkpoint-parts.js';
import type { Codec } from './codec.js';
import { encodedRecord, type Encoded } from './entry-format.js';
import type { Appended, Log, Page } from './log.js';
import { Outbox } from './outbox.js';
import type { StreamEvent, StreamMessage, StreamStats } from './stream-messages.js';
import { Tail, type AnsweredPage } from './tail.js';

/**
 * How long a read waits at the end of the stream. `caught_up` comes at least this often, and tells
 * of a state that is at most this much older.
 */
export const READ_WAIT_MILLIS = 1000;

/** When events are offered again to a subscriber whose mailbox was full. */
const REDELIVERY_MILLIS = 20;

/** Room in the mailbox for the task's messages to itself. */
const OWN_MESSAGES = 64;

/** Busy streams of the cell, unless the settings say what part of the appends this one has. */
const BUSY_STREAMS = 6;

/** What a stream task is made from. */
export interface StreamSettings<Entry> {
  readonly name: string;
  readonly stream: StreamName;
  /** A name that no other incarnation uses; the task derives its own writer from it. */
  readonly writer: WriterId;
  readonly log: Log;
  readonly clock: Clock;
  readonly subscriber: Address<StreamEvent<Entry>>;
  readonly codec: Codec<Entry>;
  /** The stream's part of the appends; see `appendShare`. */
  readonly appendsPerSecond?: number;
  /** Numbers from 0 to below 1, for the jitter of retries. */
  readonly random?: () => number;
}

/** Messages of the task to itself. */
type Own =
  | { readonly kind: 'send_due' }
  | {
      readonly kind: 'append_answered';
      readonly append: number;
      readonly sentAt: Instant;
      readonly appended: Appended;
    }
  | { readonly kind: 'read_due' }
  | { readonly kind: 'read_answered'; readonly readAt: Instant; readonly page: Page }
  | { readonly kind: 'delivery_due' };

type Counts = { -readonly [Name in keyof StreamStats]: StreamStats[Name] };

export class StreamTask<Entry extends { readonly kind: string }> extends Task<
  StreamMessage<Entry> | Own
> {
  private readonly queue = new AppendQueue();
  private readonly tail: Tail<Entry>;
  private readonly outbox: Outbox<Entry>;
  private readonly pace: AppendPace;
  private readonly appendTimeout = new AdaptiveTimeout();
  private readonly appendBackoff: Backoff;
  private readonly readBackoff: Backoff;
  private readonly checkpointWriter: WriterId;
  private lastPart = brandAs<Sequence>(0);
  /** Messages of others that wait in the mailbox. */
  private received = 0;
  /** Number of the newest append; answers to earlier ones are ignored. */
  private append = 0;
  private isAppendAwaited = false;
  private sendAlarm: Alarm | undefined;
  private isReadPending = false;
  private isDeliveryPlanned = false;
  private mayWait = false;
  /** When the newest read that was answered was sent. */
  private answeredAt: Instant;
  private readonly counts: Counts = { ...NO_COUNTS };

  constructor(private readonly settings: StreamSettings<Entry>) {
    super(settings.name, settings.clock, DEFAULT_MAILBOX_CAPACITY + OWN_MESSAGES);
    const random = settings.random ?? Math.random;
    this.tail = new Tail(settings.codec);
    this.outbox = new Outbox(settings.subscriber);
    this.pace = new AppendPace(settings.appendsPerSecond ?? appendShare(BUSY_STREAMS));
    this.appendBackoff = new Backoff(random);
    this.readBackoff = new Backoff(random);
    this.checkpointWriter = brandAs<WriterId>(`${settings.writer}.checkpoint`);
    this.answeredAt = settings.clock.now();
  }

  /** Leaves room for the task's messages to itself. */
  override post(message: StreamMessage<Entry> | Own): Posted {
    if (isOwn(message)) {
      return super.post(message);
    }
    if (this.received >= DEFAULT_MAILBOX_CAPACITY) {
      return 'full';
    }
    const posted = super.post(message);
    this.received += posted === 'accepted' ? 1 : 0;
    return posted;
  }

  protected override opened(): void {
    this.read();
  }

  protected receive(message: StreamMessage<Entry> | Own): void {
    this.received -= isOwn(message) ? 0 : 1;
    match<StreamMessage<Entry> | Own>(message)
      .with({ kind: 'append' }, ({ records }) => {
        this.enqueue(records);
      })
      .with({ kind: 'withdraw' }, ({ sequence, reply }) => {
        reply(this.queue.withdraw(sequence) ? 'withdrawn' : 'sent');
      })
      .with({ kind: 'checkpoint' }, ({ snapshot }) => {
        this.writeCheckpoint(snapshot);
      })
      .with({ kind: 'stats' }, ({ reply }) => {
        reply(this.stats());
      })
      .with({ kind: 'send_due' }, () => {
        this.send();
      })
      .with({ kind: 'append_answered' }, (answered) => {
        this.appendAnswered(answered);
      })
      .with({ kind: 'read_due' }, () => {
        this.read();
      })
      .with({ kind: 'read_answered' }, ({ page, readAt }) => {
        this.readAnswered(page, readAt);
      })
      .with({ kind: 'delivery_due' }, () => {
        this.isDeliveryPlanned = false;
        this.deliver();
      })
      .exhaustive();
  }

  private enqueue(records: readonly Stamped<Entry>[]): void {
    const rejected = records
      .filter((stamped) => !this.queue.add(this.encode(stamped)))
      .map((stamped) => stamped.sequence);
    this.planSend();
    if (rejected.length > 0) {
      this.counts.rejected += rejected.length;
      this.outbox.add({ kind: 'rejected', sequences: rejected });
      this.deliver();
    }
  }

  private encode({ writer, sequence, record }: Stamped<Entry>): Encoded {
    return encodedRecord(writer, sequence, this.settings.codec.encode(record));
  }

  private writeCheckpoint(snapshot: string): void {
    if (this.queue.hasParts) {
      return;
    }
    const parts = splitSnapshot(snapshot).map((part) => {
      this.lastPart = nextSequence(this.lastPart);
      return encodedRecord(this.checkpointWriter, this.lastPart, JSON.stringify(part));
    });
    this.queue.addParts(parts);
    this.planSend();
  }

  /** Plans the next append, at the earliest at `notBefore`. */
  private planSend(notBefore?: Deadline): void {
    if (this.isAppendAwaited || this.sendAlarm !== undefined || !this.queue.hasWork) {
      return;
    }
    const due = this.pace.nextSend(this.clock.now());
    const at = notBefore === undefined || due > notBefore ? due : notBefore;
    this.sendAlarm = this.postAt(at, { kind: 'send_due' });
  }

  private send(): void {
    this.sendAlarm = undefined;
    const body = this.queue.pack();
    if (body === undefined || this.isAppendAwaited) {
      return;
    }
    const { log, stream } = this.settings;
    const sentAt = this.clock.now();
    this.append += 1;
    const { append } = this;
    this.isAppendAwaited = true;
    this.pace.sent(sentAt);
    this.counts.appends += 1;
    this.counts.appendedBytes += Buffer.byteLength(body);
    void log
      .append(stream, body, this.appendTimeout.deadline(sentAt))
      .catch((error: unknown): Appended => ({ kind: 'unknown', detail: String(error) }))
      .then((appended) => this.post({ kind: 'append_answered', append, sentAt, appended }));
  }

  private appendAnswered(answered: Extract<Own, { kind: 'append_answered' }>): void {
    if (answered.append !== this.append || !this.isAppendAwaited) {
      return;
    }
    const now = this.clock.now();
    this.isAppendAwaited = false;
    match(answered.appended)
      .with({ kind: 'appended' }, () => {
        this.appendTimeout.answered(answered.sentAt, now);
        this.pace.answered(answered.sentAt, now);
        this.appendBackoff.succeeded();
        this.queue.settle();
        this.planSend();
      })
      .with({ kind: 'refused' }, () => {
        this.queue.refuse();
        this.planRetry(now);
      })
      .with({ kind: 'unknown' }, () => {
        this.appendTimeout.timedOut();
        this.queue.doubt();
        this.planRetry(now);
      })
      .exhaustive();
  }

  private planRetry(now: Instant): void {
    this.counts.retries += 1;
    this.planSend(this.appendBackoff.failed(now));
  }

  /** The append in flight was read back: neither its answer nor its retry is needed. */
  private settledByReading(): void {
    this.isAppendAwaited = false;
    this.appendBackoff.succeeded();
    this.sendAlarm?.cancel();
    this.sendAlarm = undefined;
    this.planSend();
  }

  private read(): void {
    const { log, stream } = this.settings;
    const readAt = this.clock.now();
    const waitUntil = deadlineAfter(readAt, this.mayWait ? READ_WAIT_MILLIS : 0);
    this.isReadPending = true;
    this.counts.reads += 1;
    void log
      .read(stream, this.tail.from, waitUntil)
      .catch((error: unknown): Page => ({ kind: 'unavailable', detail: String(error) }))
      .then((page) => this.post({ kind: 'read_answered', readAt, page }));
  }

  private readAnswered(page: Page, readAt: Instant): void {
    if (page.kind === 'unavailable') {
      this.outbox.add({ kind: 'unavailable', since: this.answeredAt, detail: page.detail });
      this.postAt(this.readBackoff.failed(this.clock.now()), { kind: 'read_due' });
    } else {
      this.readBackoff.succeeded();
      this.answeredAt = readAt;
      this.isReadPending = false;
      this.take(page, readAt);
    }
    this.deliver();
  }

  private take(page: AnsweredPage, readAt: Instant): void {
    const step = this.tail.take(page, readAt);
    this.mayWait = step.mayWait;
    this.counts.readBytes += bytesOf(page);
    for (const event of step.events) {
      this.counts.skipped += event.kind === 'skipped' ? 1 : 0;
      this.outbox.add(event);
    }
    if (this.queue.readBack(step.records)) {
      this.settledByReading();
    }
  }

  /** Hands over events; the next page is read only when the subscriber has taken all. */
  private deliver(): void {
    this.outbox.deliver();
    if (this.outbox.isEmpty) {
      this.readOn();
    } else if (!this.isDeliveryPlanned) {
      this.isDeliveryPlanned = true;
      this.postAt(deadlineAfter(this.clock.now(), REDELIVERY_MILLIS), { kind: 'delivery_due' });
    }
  }

  private readOn(): void {
    if (!this.isReadPending) {
      this.read();
    }
  }

  private stats(): StreamStats {
    return {
      ...this.counts,
      queued: this.queue.size,
      latencyMillis: this.pace.latencyMillis,
    };
  }
}

const NO_COUNTS: StreamStats = {
  appends: 0,
  retries: 0,
  appendedBytes: 0,
  reads: 0,
  readBytes: 0,
  skipped: 0,
  rejected: 0,
  queued: 0,
  latencyMillis: 0,
};

const OWN_KINDS: ReadonlySet<string> = new Set<Own['kind']>([
  'send_due',
  'append_answered',
  'read_due',
  'read_answered',
  'delivery_due',
]);

function isOwn(message: { readonly kind: string }): message is Own {
  return OWN_KINDS.has(message.kind);
}

function bytesOf(page: AnsweredPage): number {
  return page.kind === 'entries'
    ? page.entries.reduce((sum, entry) => sum + Buffer.byteLength(entry.body), 0)
    : 0;
}
