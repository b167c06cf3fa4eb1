/**
 * The task that appends to one stream of the log and tails it for one subscriber.
 *
 * It posts each answer of the log to itself as a message, so that it never waits for an answer
 * while it handles another message.
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

/** Additional mailbox capacity for the task's messages to itself. */
const OWN_MESSAGE_CAPACITY = 64;

/**
 * Number of busy streams that share the cell's append rate, if the settings give this stream no
 * rate of its own.
 */
const DEFAULT_BUSY_STREAMS = 6;

/** Used if the settings give no retention, so that a missing setting doesn't lose history. */
export const DEFAULT_RETENTION: LogRetention = { entries: 100_000, millis: 60 * MILLIS_PER_MINUTE };

/** Settings of a stream task. */
export interface StreamSettings<Entry> {
  readonly name: string;
  readonly stream: StreamName;
  /** A writer id that no other incarnation uses; the task derives its own writer id from it. */
  readonly writer: WriterId;
  readonly log: Log;
  readonly clock: Clock;
  readonly subscriber: MailboxAddress<StreamEvent<Entry>>;
  readonly codec: Codec<Entry>;
  /** Append rate of this stream; by default a share computed by `appendShare`. */
  readonly appendsPerSecond?: number;
  /** Retention of the log; `DEFAULT_RETENTION` if left out. */
  readonly retention?: LogRetention;
  /** Returns numbers in [0, 1), for the jitter of retries. */
  readonly random?: () => number;
}

type Own = AppendLoopMessage | ReadLoopMessage;

export class StreamTask<Entry extends { readonly kind: string }> extends Task<
  StreamMessage<Entry> | Own
> {
  private readonly appends: AppendLoop;
  private readonly reads: ReadLoop<Entry>;
  private readonly checkpoints: CheckpointTracker;
  private readonly codec: Codec<Entry>;
  private readonly checkpointWriter: WriterId;
  private lastPartSequence = brandAs<Sequence>(0);
  /** Number of messages in the mailbox that the task didn't post itself. */
  private waiting = 0;
  private rejected = 0;

  constructor(settings: StreamSettings<Entry>) {
    super(settings.name, settings.clock, DEFAULT_MAILBOX_CAPACITY + OWN_MESSAGE_CAPACITY);
    const { stream, log, clock, codec, writer, subscriber } = settings;
    const random = settings.random ?? Math.random;
    const pace = new AppendPace(settings.appendsPerSecond ?? appendShare(DEFAULT_BUSY_STREAMS));
    const self: Self<Own> = {
      post: (message) => {
        this.post(message);
      },
      postAt: (deadline, message) => this.postAt(deadline, message),
    };
    this.codec = codec;
    this.checkpointWriter = brandAs<WriterId>(`${writer}.checkpoint`);
    this.checkpoints = new CheckpointTracker(settings.retention ?? DEFAULT_RETENTION);
    this.appends = new AppendLoop(stream, log, clock, pace, new Backoff(random), self);
    this.reads = new ReadLoop(
      stream,
      log,
      clock,
      new Tail(codec),
      new Outbox(subscriber),
      this.checkpoints,
      new Backoff(random),
      self,
    );
  }

  /** Refuses messages of others above the default capacity, to leave room for the task's own. */
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
      this.lastPartSequence = nextSequence(this.lastPartSequence);
      return encodeRecord(this.checkpointWriter, this.lastPartSequence, JSON.stringify(part));
    });
    this.checkpoints.recordWriteStarted(this.clock.now());
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
