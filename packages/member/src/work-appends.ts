/** Brings the owner's writes into the store: gathers them, appends them in order, repeats what failed. */

import { match } from 'ts-pattern';
import type { Clock } from '@bamboowell/kernel/clock';
import type { Address as MailAddress } from '@bamboowell/kernel/mailbox';
import type { EventLog } from '@bamboowell/logger/logger';
import type { JobBatch } from '@bamboowell/jobs/messages';
import type { Term } from '@bamboowell/types/job';
import { deadlineAfter, hasPassed, type Deadline, type Instant } from '@bamboowell/types/time';
import { Commits } from './commits.js';
import type { OwnerMessage } from './owner-messages.js';
import type { Store } from './store.js';

/** An owner with nothing to write appends a keep-alive after this, milliseconds, so that it is seen to live. */
const KEEP_ALIVE_MILLIS = 200;
/** One append is given up and repeated after this, milliseconds: far above the store's 4 ms. */
const APPEND_MILLIS = 800;
/** Writes are gathered for so long after the last append, milliseconds: calls of the store have a price. */
const GATHER_MILLIS = 10;
/** Pause before an append is repeated, milliseconds. */
const APPEND_RETRY_MILLIS = 60;
/** An append without an answer for so long, milliseconds, means that another member should try. */
const LATE_MILLIS = 1000;
/** A proof of ownership is good for so long, milliseconds, to say that a job does not exist. */
const PROOF_MILLIS = 1500;
/** Key of the record by which an owner fences earlier ones and shows that it lives. */
const ALIVE_KEY = 'alive';

export interface WorkAppendsOptions {
  readonly term: Term;
  readonly store: Store;
  readonly events: EventLog;
  readonly clock: Clock;
  readonly wallMillis: () => number;
  /** Is told `appended` for each outcome. */
  readonly owner: MailAddress<OwnerMessage>;
  /** Asks for a call of `send` then. */
  readonly remindAt: (at: Deadline) => void;
  /** The scheduler's writes that are due, if there are any. */
  readonly takeBatch: () => JobBatch | undefined;
  /** All writes of the batch are in the store. */
  readonly committed: (batch: number) => void;
}

/** What became of an append. */
export type AppendResult =
  /** The store has it, and has shown that the work is still ours. */
  | { readonly kind: 'recorded'; readonly isFirst: boolean; readonly batch: number | undefined }
  | { readonly kind: 'again' }
  /** Another owner has the work, or it can't be known what the store has of this one's. */
  | { readonly kind: 'lost'; readonly reason: 'fenced' | 'out_of_sequence' };

/** When the store last showed that the work is still ours, by both clocks. */
interface Proof {
  readonly at: Instant;
  readonly wallMillis: number;
}

export class WorkAppends {
  private readonly commits: Commits;
  private proof: Proof | undefined;
  private lastAppendAt: Instant;
  /** When the append on its way was first sent. */
  private sendingSince: Instant | undefined;
  /** After a failed append the next one waits until then. */
  private againAt: Deadline;
  private isReminded = false;

  constructor(private readonly options: WorkAppendsOptions) {
    const now = options.clock.now();
    this.commits = new Commits(options.term);
    this.lastAppendAt = now;
    this.againAt = deadlineAfter(now, 0);
  }

  /** Whether everything that was handed over is in the store. */
  get isIdle(): boolean {
    return this.commits.isIdle;
  }

  /** Whether nothing was appended for so long that others may doubt that this owner lives. */
  get isQuiet(): boolean {
    return this.isIdle && this.now - this.lastAppendAt >= KEEP_ALIVE_MILLIS;
  }

  /** Whether the store has left an append unanswered for so long that another member should try. */
  get isLate(): boolean {
    return this.sendingSince !== undefined && this.now - this.sendingSince > LATE_MILLIS;
  }

  /** Both clocks count: the steady one stands still while a machine is suspended. */
  get isProved(): boolean {
    const { proof } = this;
    const wallMillis = this.options.wallMillis();
    return (
      proof !== undefined &&
      this.now - proof.at < PROOF_MILLIS &&
      Math.abs(wallMillis - proof.wallMillis) < PROOF_MILLIS
    );
  }

  /** Whether the store was heard less than so long ago, milliseconds. */
  wasHeardWithin(millis: number): boolean {
    return this.now - (this.proof?.at ?? 0) < millis;
  }

  /** Appends a record that fences earlier owners and shows that this one lives. */
  keepAlive(member: string): void {
    const value = JSON.stringify({ term: this.options.term, member });
    this.commits.addWrites([{ key: ALIVE_KEY, value }]);
    this.send();
  }

  /** What `remindAt` asked for. */
  reminded(): void {
    this.isReminded = false;
    this.send();
  }

  /** Sends what is due, unless an append is on its way. */
  send(): void {
    const { commits, now } = this;
    if (commits.isIdle) {
      const gatheredAt = deadlineAfter(this.lastAppendAt, GATHER_MILLIS);
      if (!hasPassed(gatheredAt, now)) {
        this.remindAt(gatheredAt);
        return;
      }
      const batch = this.options.takeBatch();
      if (batch?.writes.length === 0) {
        this.options.committed(batch.number);
        return;
      }
      if (batch !== undefined) {
        commits.addBatch(batch);
      }
    }
    if (hasPassed(this.againAt, now)) {
      this.sendNext();
    }
  }

  /** Takes the outcome of the append that was on its way. */
  take(message: Extract<OwnerMessage, { kind: 'appended' }>): AppendResult {
    return match(message.outcome)
      .returnType<AppendResult>()
      .with({ kind: 'appended' }, () =>
        this.recorded({ at: message.sentAt, wallMillis: message.sentAtWallMillis }),
      )
      .with({ kind: 'fenced' }, () => ({ kind: 'lost', reason: 'fenced' }))
      .with({ kind: 'out_of_sequence' }, ({ expected }) => {
        // An earlier copy of this append was taken after all, and its answer is no longer kept.
        this.options.events.event('append.out_of_sequence', { expected });
        return { kind: 'lost', reason: 'out_of_sequence' };
      })
      .with({ kind: 'unavailable' }, { kind: 'full' }, { kind: 'moved' }, (outcome) => {
        this.failed(outcome.kind, 'detail' in outcome ? outcome.detail : '');
        return { kind: 'again' };
      })
      .exhaustive();
  }

  private get now(): Instant {
    return this.options.clock.now();
  }

  private sendNext(): void {
    const planned = this.commits.next();
    if (planned === undefined) {
      return;
    }
    const { term, store, owner, wallMillis } = this.options;
    const sentAt = this.now;
    const sentAtWallMillis = wallMillis();
    this.sendingSince ??= sentAt;
    const limit = deadlineAfter(sentAt, APPEND_MILLIS);
    void store.append('work', planned.writes, planned.condition, limit).then((outcome) => {
      owner.post({ kind: 'appended', term, outcome, sentAt, sentAtWallMillis });
    });
  }

  private remindAt(at: Deadline): void {
    if (!this.isReminded) {
      this.isReminded = true;
      this.options.remindAt(at);
    }
  }

  private recorded(proof: Proof): AppendResult {
    const isFirst = this.proof === undefined;
    this.proof = proof;
    this.lastAppendAt = this.now;
    const millis = this.lastAppendAt - (this.sendingSince ?? proof.at);
    this.options.events.event('append.done', { millis });
    this.sendingSince = undefined;
    return { kind: 'recorded', isFirst, batch: this.commits.appended() };
  }

  private failed(outcome: string, detail: string): void {
    this.options.events.event('append.failed', { outcome, detail });
    this.commits.unanswered();
    this.againAt = deadlineAfter(this.now, APPEND_RETRY_MILLIS);
    this.options.remindAt(this.againAt);
  }
}
