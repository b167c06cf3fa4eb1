/** Brings the owner's writes into the store: gathers them, appends them in order, repeats what failed. */

import { match } from 'ts-pattern';
import type { Clock } from '@bamboowell/kernel/clock';
import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import type { EventLog } from '@bamboowell/logger/logger';
import type { JobBatch } from '@bamboowell/jobs/messages';
import type { Term } from '@bamboowell/types/job';
import { deadlineAfter, hasPassed, type Deadline, type Instant } from '@bamboowell/types/time';
import { AppendWindow } from './append-window.js';
import type { OwnerMessage } from './owner-messages.js';
import type { ProducerSequence, Store } from './store.js';

/** An owner with nothing to write appends a keep-alive after this, milliseconds, so that it is seen to live. */
const KEEP_ALIVE_MILLIS = 200;
/** One append is given up and repeated after this, milliseconds: far above the store's 4 ms. */
const APPEND_MILLIS = 800;
/** Writes are gathered for so long after the last append, milliseconds: calls of the store have a price. */
const GATHER_MILLIS = 10;
/**
 * Part of the time that the last append took after which the next one follows it unanswered: the
 * store takes appends one at a time, which is about a third of what each takes.
 */
const FOLLOW_PART = 1 / 3;
/** Pause before an append is repeated, milliseconds. */
const APPEND_RETRY_MILLIS = 60;
/** An append without an answer for so long, milliseconds, means that another member should try. */
const LATE_MILLIS = 1000;
/**
 * An append that takes longer than this, milliseconds, means a slow store: whoever takes the work
 * over makes five calls in turn, which then take longer than its callers should wait.
 */
const QUICK_MILLIS = 100;
/** A proof of ownership is good for so long, milliseconds, to say that a job does not exist. */
const PROOF_MILLIS = 1500;
/** Key of the record by which an owner fences earlier ones and shows that it lives. */
const ALIVE_KEY = 'alive';

export interface WorkLogWriterOptions {
  readonly term: Term;
  readonly store: Store;
  readonly events: EventLog;
  readonly clock: Clock;
  readonly wallMillis: () => number;
  /** Is told `appended` for each outcome. */
  readonly owner: MailboxAddress<OwnerMessage>;
  /** Asks for a call of `send` then. */
  readonly wakeAt: (at: Deadline) => void;
  /** The scheduler's writes that are due, if there are any. */
  readonly takeBatch: () => JobBatch | undefined;
  /** All writes of the batch are in the store. */
  readonly committed: (batch: number) => void;
}

/** What became of an append. */
export type AppendResult =
  /** The store has it, and has shown that the work is still ours. */
  | { readonly kind: 'recorded'; readonly isFirst: boolean; readonly batches: readonly number[] }
  | { readonly kind: 'again' }
  /** Another owner has the work, or it can't be known what the store has of this one's. */
  | { readonly kind: 'lost'; readonly reason: 'fenced' | 'out_of_sequence' };

/** When the store last showed that the work is still ours, by both clocks. */
interface Proof {
  readonly at: Instant;
  readonly wallMillis: number;
}

export class WorkLogWriter {
  private readonly commits: AppendWindow;
  private proof: Proof | undefined;
  private lastAppendAt: Instant;
  private lastSentAt: Instant;
  /** How long the last append took, milliseconds. */
  private lastMillis = 0;
  /** Since when an append has been on its way without any answer. */
  private waitingSince: Instant | undefined;
  /** After a failed append the next one waits until then. */
  private againAt: Deadline;
  private isReminded = false;
  private isFinishing = false;

  constructor(private readonly options: WorkLogWriterOptions) {
    const now = options.clock.now();
    this.commits = new AppendWindow(options.term);
    this.lastAppendAt = now;
    this.lastSentAt = now;
    this.againAt = deadlineAfter(now, 0);
  }

  /** Whether everything that was handed over is in the store. */
  get isIdle(): boolean {
    return this.commits.isIdle;
  }

  /** Whether nothing was appended for so long that others may doubt that this owner lives. */
  get needsKeepAlive(): boolean {
    return this.isIdle && this.now - this.lastAppendAt >= KEEP_ALIVE_MILLIS;
  }

  /** Whether the store has left an append unanswered for so long that another member should try. */
  get isStalled(): boolean {
    return this.waitingSince !== undefined && this.now - this.waitingSince > LATE_MILLIS;
  }

  /** Whether the store is slow by the last append, or by one that is on its way. */
  get isSlow(): boolean {
    const waitingMillis = this.waitingSince === undefined ? 0 : this.now - this.waitingSince;
    return Math.max(this.lastMillis, waitingMillis) > QUICK_MILLIS;
  }

  /** Both clocks count: the steady one stands still while a machine is suspended. */
  get isOwnershipConfirmed(): boolean {
    const { proof } = this;
    const wallMillis = this.options.wallMillis();
    return (
      proof !== undefined &&
      this.now - proof.at < PROOF_MILLIS &&
      Math.abs(wallMillis - proof.wallMillis) < PROOF_MILLIS
    );
  }

  /** Whether the store was heard less than so long ago, milliseconds. */
  wasConfirmedWithin(millis: number): boolean {
    return this.now - (this.proof?.at ?? 0) < millis;
  }

  /** Appends a record that fences earlier owners and shows that this one lives. */
  keepAlive(member: string): void {
    const value = JSON.stringify({ term: this.options.term, member });
    this.commits.addWrites([{ key: ALIVE_KEY, value }]);
    this.send();
  }

  /** What `remindAt` asked for. */
  wake(): void {
    this.isReminded = false;
    this.send();
  }

  /** Takes the last writes that are due: nothing comes after them. */
  finish(): void {
    if (!this.isFinishing) {
      this.takeBatch();
      this.isFinishing = true;
      this.send();
    }
  }

  /** Sends what is due, unless enough is on its way. */
  send(): void {
    const { commits, now } = this;
    if (!hasPassed(this.againAt, now) || !commits.canSend) {
      return;
    }
    if (!commits.hasUnsent && this.isFinishing) {
      return;
    }
    if (!commits.hasUnsent) {
      const dueAt = this.nextDueAt();
      if (!hasPassed(dueAt, now)) {
        this.remindAt(dueAt);
        return;
      }
      this.takeBatch();
    }
    this.sendNext();
  }

  /** Takes the outcome of the append that was on its way. */
  handleOutcome(message: Extract<OwnerMessage, { kind: 'appended' }>): AppendResult {
    return match(message.outcome)
      .returnType<AppendResult>()
      .with({ kind: 'appended' }, () =>
        this.recorded(message.sequence, {
          at: message.sentAt,
          wallMillis: message.sentAtWallMillis,
        }),
      )
      .with({ kind: 'fenced' }, () => ({ kind: 'lost', reason: 'fenced' }))
      .with({ kind: 'out_of_sequence' }, ({ expected }) =>
        this.outOfSequence(message.sequence, expected),
      )
      .with({ kind: 'unavailable' }, { kind: 'full' }, { kind: 'moved' }, (outcome) => {
        this.failed(message.sequence, outcome.kind, 'detail' in outcome ? outcome.detail : '');
        return { kind: 'again' };
      })
      .exhaustive();
  }

  private get now(): Instant {
    return this.options.clock.now();
  }

  /** Until then writes are gathered. */
  private nextDueAt(): Deadline {
    if (this.commits.isIdle) {
      return deadlineAfter(this.lastAppendAt, GATHER_MILLIS);
    }
    return deadlineAfter(this.lastSentAt, Math.max(GATHER_MILLIS, FOLLOW_PART * this.lastMillis));
  }

  private takeBatch(): void {
    const batch = this.options.takeBatch();
    if (batch?.writes.length === 0 && this.commits.isIdle) {
      this.options.committed(batch.number);
    } else if (batch !== undefined) {
      this.commits.addBatch(batch);
    }
  }

  private sendNext(): void {
    const planned = this.commits.next();
    if (planned === undefined) {
      return;
    }
    const { term, store, owner, wallMillis } = this.options;
    const { sequence } = planned;
    const sentAt = this.now;
    const sentAtWallMillis = wallMillis();
    this.lastSentAt = sentAt;
    this.waitingSince ??= sentAt;
    const limit = deadlineAfter(sentAt, APPEND_MILLIS);
    void store.append('work', planned.writes, planned.condition, limit).then((outcome) => {
      owner.post({ kind: 'appended', term, sequence, outcome, sentAt, sentAtWallMillis });
    });
  }

  private remindAt(at: Deadline): void {
    if (!this.isReminded) {
      this.isReminded = true;
      this.options.wakeAt(at);
    }
  }

  private recorded(sequence: ProducerSequence, proof: Proof): AppendResult {
    const isFirst = this.proof === undefined;
    const { now } = this;
    this.proof = proof;
    this.lastAppendAt = now;
    this.lastMillis = now - proof.at;
    this.options.events.event('append.done', { millis: this.lastMillis });
    const batches = this.commits.acknowledge(sequence);
    this.waitingSince = this.commits.isIdle ? undefined : now;
    return { kind: 'recorded', isFirst, batches };
  }

  private outOfSequence(sequence: ProducerSequence, expected: ProducerSequence): AppendResult {
    this.options.events.event('append.out_of_sequence', { sequence, expected });
    if (expected > sequence) {
      // An earlier copy of this append was taken after all, and its answer is no longer kept.
      return { kind: 'lost', reason: 'out_of_sequence' };
    }
    // It came before one that was sent earlier and has no answer yet.
    this.failed(sequence, 'out_of_sequence', '');
    return { kind: 'again' };
  }

  private failed(sequence: ProducerSequence, outcome: string, detail: string): void {
    this.options.events.event('append.failed', { outcome, detail });
    this.commits.markFailed(sequence);
    this.againAt = deadlineAfter(this.now, APPEND_RETRY_MILLIS);
    this.options.wakeAt(this.againAt);
  }
}
