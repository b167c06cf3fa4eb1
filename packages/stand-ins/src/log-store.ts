/** The task that owns the stand-in log's streams, its waiting reads and its switches. */

import { match } from 'ts-pattern';
import type { Reply } from '@bamboowell/kernel/ask';
import type { Clock } from '@bamboowell/kernel/clock';
import { Task } from '@bamboowell/kernel/task';
import type { Offset, StreamName } from '@bamboowell/types/ids';
import { deadlineAfter, hasPassed, type Deadline } from '@bamboowell/types/time';
import { LogStream, type Retention, type StreamPage, type StreamStats } from './log-stream.js';
import { NO_FAULTS, withChange, type SwitchChange, type Switches } from './log-switches.js';

/** How a request is answered. `cut`: its connection is closed. `silent`: it is never answered. */
export type StoreResponse<Value> =
  | { readonly kind: 'answer'; readonly value: Value }
  | { readonly kind: 'refused' }
  | { readonly kind: 'cut' }
  | { readonly kind: 'silent' };

export interface Append {
  readonly kind: 'append';
  readonly stream: StreamName;
  readonly body: string;
  readonly reply: Reply<StoreResponse<Offset>>;
}

export interface Read {
  readonly kind: 'read';
  readonly stream: StreamName;
  readonly from: Offset;
  /** When a read at the end of the stream is answered, without entries if none has come. */
  readonly waitUntil: Deadline;
  readonly reply: Reply<StoreResponse<StreamPage>>;
}

export type StoreMessage =
  | Append
  | Read
  | {
      readonly kind: 'switch';
      readonly change: SwitchChange;
      readonly reply: Reply<Switches>;
    }
  | {
      readonly kind: 'stats';
      readonly reply: Reply<Readonly<Record<StreamName, StreamStats>>>;
    };

/** Messages of the store to itself. */
type OwnMessage =
  { readonly kind: 'delayed'; readonly message: Append | Read } | { readonly kind: 'due' };

export class LogStore extends Task<StoreMessage | OwnMessage> {
  private readonly streams = new Map<StreamName, LogStream>();
  private switches = NO_FAULTS;
  private waitingReads: Read[] = [];

  constructor(
    clock: Clock,
    private readonly retention: Retention,
  ) {
    super('log-store', clock);
  }

  protected receive(message: StoreMessage | OwnMessage): void {
    match(message)
      .with({ kind: 'append' }, { kind: 'read' }, (request) => {
        this.delayIfSlow(request);
      })
      .with({ kind: 'delayed' }, (delayed) => {
        this.handle(delayed.message);
      })
      .with({ kind: 'due' }, () => {
        this.answerDue();
      })
      .with({ kind: 'switch' }, ({ change, reply }) => {
        this.switches = withChange(this.switches, change);
        reply(this.switches);
      })
      .with({ kind: 'stats' }, ({ reply }) => {
        reply(
          Object.fromEntries([...this.streams].map(([name, stream]) => [name, stream.stats()])),
        );
      })
      .exhaustive();
  }

  private delayIfSlow(request: Append | Read): void {
    const { slowMillis } = this.switches;
    if (slowMillis === 0) {
      this.handle(request);
      return;
    }
    this.postAt(deadlineAfter(this.clock.now(), slowMillis), { kind: 'delayed', message: request });
  }

  private handle(request: Append | Read): void {
    const { down } = this.switches;
    if (down !== 'no') {
      request.reply({ kind: down === 'refuse' ? 'refused' : 'silent' });
      return;
    }
    if (request.kind === 'append') {
      this.append(request);
    } else {
      this.read(request);
    }
  }

  private append({ stream, body, reply }: Append): void {
    const { lateEffect, loseAnswers } = this.switches;
    if (lateEffect.count > 0) {
      this.switches = {
        ...this.switches,
        lateEffect: { ...lateEffect, count: lateEffect.count - 1 },
      };
      this.streamNamed(stream).deferAppend(body, lateEffect.afterAppends);
      reply({ kind: 'cut' });
      return;
    }
    const offset = this.streamNamed(stream).append(body, this.clock.now());
    this.answerReaders(stream);
    if (loseAnswers.count > 0) {
      this.switches = {
        ...this.switches,
        loseAnswers: { ...loseAnswers, count: loseAnswers.count - 1 },
      };
      reply({ kind: loseAnswers.how === 'cut' ? 'cut' : 'silent' });
      return;
    }
    reply({ kind: 'answer', value: offset });
  }

  private read(read: Read): void {
    const atEnd = this.streamNamed(read.stream).isAtEnd(read.from);
    if (!atEnd || hasPassed(read.waitUntil, this.clock.now())) {
      this.answer(read);
      return;
    }
    this.waitingReads.push(read);
    this.postAt(read.waitUntil, { kind: 'due' });
  }

  private answerReaders(stream: StreamName): void {
    const ready = this.waitingReads.filter((read) => read.stream === stream);
    this.waitingReads = this.waitingReads.filter((read) => read.stream !== stream);
    for (const read of ready) {
      this.read(read);
    }
  }

  private answerDue(): void {
    const now = this.clock.now();
    const due = this.waitingReads.filter((read) => hasPassed(read.waitUntil, now));
    this.waitingReads = this.waitingReads.filter((read) => !hasPassed(read.waitUntil, now));
    for (const read of due) {
      this.answer(read);
    }
  }

  private answer({ stream, from, reply }: Read): void {
    const { down } = this.switches;
    if (down === 'no') {
      reply({ kind: 'answer', value: this.streamNamed(stream).read(from, this.clock.now()) });
    } else {
      reply({ kind: down === 'refuse' ? 'refused' : 'silent' });
    }
  }

  private streamNamed(name: StreamName): LogStream {
    const existing = this.streams.get(name);
    if (existing !== undefined) {
      return existing;
    }
    const fresh = new LogStream(this.retention);
    this.streams.set(name, fresh);
    return fresh;
  }
}
