/** One worker, as the owner holds it: one long poll that renews its lease, and the orders to it. */

import { match } from 'ts-pattern';
import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import { Task } from '@bamboowell/kernel/task';
import type { Clock } from '@bamboowell/kernel/clock';
import { brandAs } from '@bamboowell/types/ids';
import type { EndNumber, RunNumber, StepTaskId, Term } from '@bamboowell/types/job';
import {
  deadlineAfter,
  hasPassed,
  type Deadline,
  type Instant,
  type WorkerInstant,
} from '@bamboowell/types/time';
import type { OrderAnswer, StartOrder, StopOrder } from '@bamboowell/jobs/messages';
import type { HoldAnswer, Unanswered, WorkerPort, WorkerTarget } from './ports.js';
import type { OwnerMessage } from './owner-messages.js';
import { LeaseClock } from './lease-clock.js';

/** How long a worker may wait for an end before it answers, milliseconds. */
const POLL_MILLIS = 800;
/** An answer later than this after it was due is given up, milliseconds: several times the way to another region and back. */
const ANSWER_MILLIS = 450;
/** An order without an answer is sent again after this, milliseconds. */
const ORDER_MILLIS = 450;
/** Pause before a call that failed at once is made again, milliseconds. */
const RETRY_MILLIS = 120;
/** New ends are acknowledged by the next question; it waits this long for their record, milliseconds. */
const RECORD_WAIT_MILLIS = 400;
/** Unanswered questions after which a worker counts as unreachable. */
const UNREACHABLE_AFTER = 2;

type Order = StartOrder | StopOrder;

export type WorkerLinkMessage =
  | { readonly kind: 'order'; readonly order: Order }
  | { readonly kind: 'withdraw'; readonly task: StepTaskId; readonly run: RunNumber }
  | { readonly kind: 'acknowledge'; readonly upTo: EndNumber }
  | { readonly kind: 'ask' }
  | { readonly kind: 'held'; readonly answer: HoldAnswer; readonly askedAt: Instant }
  | { readonly kind: 'ordered'; readonly order: Order; readonly answer: OrderAnswer | Unanswered }
  | { readonly kind: 'send'; readonly order: Order };

export interface WorkerLinkOptions {
  readonly port: WorkerPort;
  readonly target: WorkerTarget;
  readonly term: Term;
  readonly owner: MailboxAddress<OwnerMessage>;
  /** Until then an earlier owner's lease may run. */
  readonly earlierLeaseEnds: Deadline;
  readonly longestLeaseMillis: number;
  /** Whether leases may still be renewed: an owner that is cut off from all others stops. */
  readonly mayRenew: () => boolean;
}

export class WorkerLinkTask extends Task<WorkerLinkMessage> {
  private readonly lease: LeaseClock;
  private acknowledged: EndNumber = brandAs<EndNumber>(0);
  private endsSeen: EndNumber = brandAs<EndNumber>(0);
  private isAsking = false;
  private isOver = false;
  private failures = 0;
  /** The next question waits until then for the record of the newest ends. */
  private askAfter: Deadline = brandAs<Deadline>(0);
  private readonly orders = new Map<string, Order>();

  constructor(
    private readonly options: WorkerLinkOptions,
    clock: Clock,
  ) {
    super(`worker-link-${options.target.id}`, clock);
    this.lease = new LeaseClock(options.longestLeaseMillis, options.earlierLeaseEnds);
  }

  protected override onStart(): void {
    this.ask();
  }

  protected override onStop(): void {
    this.isOver = true;
    this.options.port.disconnect(this.options.target);
  }

  protected receive(message: WorkerLinkMessage): void {
    match(message)
      .with({ kind: 'order' }, ({ order }) => {
        this.order(order);
      })
      .with({ kind: 'withdraw' }, ({ task, run }) => {
        this.orders.delete(`start ${task} ${run}`);
        this.orders.delete(`stop ${task} ${run}`);
      })
      .with({ kind: 'acknowledge' }, ({ upTo }) => {
        this.acknowledged = upTo;
        if (upTo >= this.endsSeen) {
          this.askAfter = brandAs<Deadline>(0);
          this.ask();
        }
      })
      .with({ kind: 'ask' }, () => {
        this.ask();
      })
      .with({ kind: 'held' }, ({ answer, askedAt }) => {
        this.isAsking = false;
        this.held(answer, askedAt);
      })
      .with({ kind: 'send' }, ({ order }) => {
        this.send(order);
      })
      .with({ kind: 'ordered' }, ({ order, answer }) => {
        this.ordered(order, answer);
      })
      .exhaustive();
  }

  /** A start that may not have arrived is left to its stop: sent again it could arrive behind it. */
  private order(order: Order): void {
    if (order.kind === 'stop') {
      this.orders.delete(keyOf({ ...order, kind: 'start' }));
    }
    this.orders.set(keyOf(order), order);
    this.send(order);
  }

  private ask(): void {
    if (this.isAsking || this.isOver || !hasPassed(this.askAfter, this.clock.now())) {
      return;
    }
    this.isAsking = true;
    const { port, target, term } = this.options;
    const now = this.clock.now();
    const isCalm = this.failures === 0 && this.lease.isSynchronised;
    const renews = isCalm && this.options.mayRenew();
    const waitMillis = isCalm ? POLL_MILLIS : 0;
    const question = {
      term,
      acknowledged: this.acknowledged,
      leaseEnd: renews ? this.lease.extend(now) : undefined,
      waitMillis,
    };
    const limit = deadlineAfter(now, waitMillis + ANSWER_MILLIS);
    void port.hold(target, question, limit).then((answer) => {
      this.post({ kind: 'held', answer, askedAt: now });
    });
  }

  private held(answer: HoldAnswer, askedAt: Instant): void {
    const { owner, target } = this.options;
    match(answer)
      .with({ kind: 'held' }, (held) => {
        if (held.incarnation !== target.incarnation) {
          this.over();
          return;
        }
        this.failures = 0;
        this.lease.read(held.workerNow, this.clock.now());
        const { running, ended } = held;
        owner.post({
          kind: 'input',
          input: {
            kind: 'report',
            report: { incarnation: target.incarnation, askedAt, running, ended },
          },
        });
        this.askAgain(ended.at(-1)?.number);
      })
      .with({ kind: 'fenced' }, () => {
        owner.post({ kind: 'fenced' });
        this.askLater(RETRY_MILLIS);
      })
      .with({ kind: 'other_life' }, () => {
        this.over();
      })
      .with({ kind: 'unwell' }, { kind: 'unanswered' }, () => {
        this.failed();
      })
      .exhaustive();
  }

  /** Asks at once, but after new ends first lets their record reach the store. */
  private askAgain(newest: EndNumber | undefined): void {
    if (newest !== undefined && newest > this.endsSeen) {
      this.endsSeen = newest;
    }
    if (this.acknowledged < this.endsSeen) {
      this.askLater(RECORD_WAIT_MILLIS);
      return;
    }
    this.ask();
  }

  private askLater(millis: number): void {
    this.askAfter = deadlineAfter(this.clock.now(), millis);
    this.postAt(this.askAfter, { kind: 'ask' });
  }

  private failed(): void {
    this.failures += 1;
    if (this.failures >= UNREACHABLE_AFTER) {
      const { owner, target } = this.options;
      const lapsesAt = this.lease.lapsesAt;
      owner.post({
        kind: 'input',
        input: { kind: 'unreachable', incarnation: target.incarnation, lapsesAt },
      });
    }
    this.askLater(RETRY_MILLIS);
  }

  private over(): void {
    this.isOver = true;
    const { owner, target } = this.options;
    owner.post({ kind: 'input', input: { kind: 'other_life', incarnation: target.incarnation } });
  }

  private send(order: Order): void {
    if (this.isOver || this.orders.get(keyOf(order)) !== order) {
      return;
    }
    const limit = deadlineAfter(this.clock.now(), ORDER_MILLIS);
    void this.call(order, limit).then((answer) => {
      this.post({ kind: 'ordered', order, answer });
    });
  }

  private call(order: Order, limit: Deadline): Promise<OrderAnswer | Unanswered> {
    const { port, target, term } = this.options;
    if (order.kind === 'stop') {
      return port.stop(target, { term, task: order.task, run: order.run }, limit);
    }
    const leaseEnd: WorkerInstant | undefined =
      this.failures === 0 && this.lease.isSynchronised
        ? this.lease.extend(this.clock.now())
        : this.lease.latest;
    if (leaseEnd === undefined) {
      return Promise.resolve({ kind: 'unanswered', detail: 'the worker has not answered yet' });
    }
    return port.start(target, order, term, leaseEnd, limit);
  }

  private ordered(order: Order, answer: OrderAnswer | Unanswered): void {
    if (this.orders.get(keyOf(order)) !== order) {
      return;
    }
    const isRefusedStop = order.kind === 'stop' && answer.kind === 'unwell';
    if (answer.kind === 'unanswered' || isRefusedStop) {
      this.postAt(deadlineAfter(this.clock.now(), RETRY_MILLIS), { kind: 'send', order });
      return;
    }
    this.orders.delete(keyOf(order));
    const { owner, target } = this.options;
    if (answer.kind === 'fenced') {
      owner.post({ kind: 'fenced' });
      return;
    }
    owner.post({
      kind: 'input',
      input: {
        kind: 'order_answered',
        order: order.kind,
        incarnation: target.incarnation,
        task: order.task,
        run: order.run,
        answer,
      },
    });
  }
}

function keyOf({ kind, task, run }: Pick<Order, 'kind' | 'task' | 'run'>): string {
  return `${kind} ${task} ${run}`;
}
