/**
 * The task that appends to one stream of the log and tails it for one subscriber.
 *
 * It sends itself a message for each answer of the log, and waits for none of them while it handles
 * another message.
 */

import { match } from 'ts-pattern';
import type { Clock } from '@bamboowell/kernel/clock';
import {
  DEFAULT_MAILBOX_CAPACITY,
  type MailboxAddress,
  type PostResult,
} from '@bamboowell/kernel/mailbox';
import { Task } from '@bamboowell/kernel/task';
import {
  brandAs,
  nextSequence,
  type Sequence,
  type StreamName,
  type WriterId,
} from '@bamboowell/types/ids';
import type { Stamped } from '@bamboowell/types/records';
import { MILLIS_PER_MINUTE } from '@bamboowell/types/time';
import { AppendLoop, type AppendLoopMessage } from './append-loop.js';
import { AppendPace, appendShare } from './append-pace.js';
import { Backoff } from './backoff.js';
import { splitSnapshot } from './checkpoint-parts.js';
import type { LogRetention } from './checkpoint-schedule.js';
import { CheckpointTracker } from './checkpoint-tracker.js';
import type { Codec } from './codec.js';
import { encodeRecord } from './entry-format.js';
import type { Log } from './log.js';
import { Outbox } from './outbox.js';
import { ReadLoop, type ReadLoopMessage } from './read-loop.js';
import type { Self } from './self.js';
import type { StreamEvent, StreamMessage, StreamStats } from './stream-messages.js';
import { Tail } from './tail.js';

/** Room in the mailbox for the task's messages to itself. */
const OWN_MESSAGES = 64;

/** Busy streams of the cell, unless the settings say what part of the appends this one has. */
const BUSY_STREAMS = 6;

/** Assumed where the settings say nothing, so that history is not lost for want of a setting. */
export const DEFAULT_RETENTION: LogRetention = { entries: 100_000, millis: 60 * MILLIS_PER_MINUTE };

/** What a stream task is made from. */
export interface StreamSettings<Entry> {
  readonly name: string;
  readonly stream: StreamName;
  /** A name that no other incarnation uses; the task derives its own writer from it. */
  readonly writer: WriterId;
  readonly log: Log;
  readonly clock: Clock;
  readonly subscriber: MailboxAddress<StreamEvent<Entry>>;
  readonly codec: Codec<Entry>;
  /** The stream's part of the appends; see `appendShare`. */
  readonly appendsPerSecond?: number;
  /** How long the log keeps entries; `ASSUMED_RETENTION` if left out. */
  readonly retention?: LogRetention;
  /** Numbers from 0 to below 1, for the jitter of retries. */
  readonly random?: () => number;
}

type Own = AppendLoopMessage | ReadLoopMessage;

export class StreamTask<Entry extends { readonly kind: string }> extends Task<
  StreamMessage<Entry> | Own
> {
  private readonly appends: AppendLoop;
  private readonly reads: ReadLoop<Entry>;
  private readonly watch: CheckpointTracker;
  private readonly codec: Codec<Entry>;
  private readonly checkpointWriter: WriterId;
  private lastPart = brandAs<Sequence>(0);
  /** Messages of others that wait in the mailbox. */
  private waiting = 0;
  private rejected = 0;

  constructor(settings: StreamSettings<Entry>) {
    super(settings.name, settings.clock, DEFAULT_MAILBOX_CAPACITY + OWN_MESSAGES);
    const { stream, log, clock, codec, writer, subscriber } = settings;
    const random = settings.random ?? Math.random;
    const pace = new AppendPace(settings.appendsPerSecond ?? appendShare(BUSY_STREAMS));
    const self: Self<Own> = {
      post: (message) => {
        this.post(message);
      },
      postAt: (deadline, message) => this.postAt(deadline, message),
    };
    this.codec = codec;
    this.checkpointWriter = brandAs<WriterId>(`${writer}.checkpoint`);
    this.watch = new CheckpointTracker(settings.retention ?? DEFAULT_RETENTION);
    this.appends = new AppendLoop(stream, log, clock, pace, new Backoff(random), self);
    this.reads = new ReadLoop(
      stream,
      log,
      clock,
      new Tail(codec),
      new Outbox(subscriber),
      this.watch,
      new Backoff(random),
      self,
    );
  }

  /** Leaves room for the task's messages to itself. */
  override post(message: StreamMessage<Entry> | Own): PostResult {
    if (isOwn(message)) {
      return super.post(message);
    }
    if (this.waiting >= DEFAULT_MAILBOX_CAPACITY) {
      return 'full';
    }
    const posted = super.post(message);
    this.waiting += posted === 'accepted' ? 1 : 0;
    return posted;
  }

  protected override onStart(): void {
    this.reads.start();
  }

  protected receive(message: StreamMessage<Entry> | Own): void {
    this.waiting -= isOwn(message) ? 0 : 1;
    match<StreamMessage<Entry> | Own>(message)
      .with({ kind: 'append' }, ({ records }) => {
        this.append(records);
      })
      .with({ kind: 'withdraw' }, ({ sequence, reply }) => {
        reply(this.appends.withdraw(sequence) ? 'withdrawn' : 'sent');
      })
      .with({ kind: 'checkpoint' }, ({ snapshot }) => {
        this.writeCheckpoint(snapshot);
      })
      .with({ kind: 'stats' }, ({ reply }) => {
        reply(this.stats());
      })
      .with({ kind: 'send_due' }, { kind: 'append_answered' }, (own) => {
        this.appends.receive(own);
      })
      .with({ kind: 'read_due' }, { kind: 'read_answered' }, { kind: 'delivery_due' }, (own) => {
        this.appends.readBack(this.reads.receive(own));
      })
      .exhaustive();
  }

  private append(records: readonly Stamped<Entry>[]): void {
    const encoded = records.map(({ writer, sequence, record }) =>
      encodeRecord(writer, sequence, this.codec.encode(record)),
    );
    const rejected = this.appends.add(encoded);
    if (rejected.length > 0) {
      this.rejected += rejected.length;
      const sequences = rejected.map((record) => record.sequence);
      this.reads.emit({ kind: 'rejected', sequences });
    }
  }

  private writeCheckpoint(snapshot: string): void {
    if (this.appends.isWritingCheckpoint) {
      return;
    }
    const parts = splitSnapshot(snapshot).map((part) => {
      this.lastPart = nextSequence(this.lastPart);
      return encodeRecord(this.checkpointWriter, this.lastPart, JSON.stringify(part));
    });
    this.watch.recordWriteStarted(this.clock.now());
    this.appends.addCheckpointParts(parts);
  }

  private stats(): StreamStats {
    return { ...this.appends.counts(), ...this.reads.counts(), rejected: this.rejected };
  }
}

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
