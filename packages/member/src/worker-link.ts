/**
 * The owner's link to one worker: a long poll that renews the lease and collects reports, and the
 * orders to start and stop runs.
 */

import { match } from 'ts-pattern';
import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import { Task } from '@bamboowell/kernel/task';
import type { Clock } from '@bamboowell/kernel/clock';
import { brandAs } from '@bamboowell/types/ids';
import type {
  EndNumber,
  Fence,
  RunNumber,
  StepTaskId,
  WorkerIncarnation,
} from '@bamboowell/types/job';
import {
  deadlineAfter,
  hasPassed,
  type Deadline,
  type Instant,
  type WorkerInstant,
} from '@bamboowell/types/time';
import type {
  LeaseSuspension,
  OrderAnswer,
  StartOrder,
  StopOrder,
} from '@bamboowell/jobs/messages';
import type { HoldAnswer, Unanswered, WorkerPort, WorkerTarget } from './ports.js';
import type { OwnerMessage } from './owner-messages.js';
import { LeaseClock } from './lease-clock.js';
import { OrderQueue, type OrderKey } from './order-queue.js';

/**
 * How long a worker may wait for a run to end before it answers a poll. A poll that fails leaves time
 * for another one within the lease.
 */
const POLL_WAIT_MILLIS = 1500;
/** An answer is given up this long after it was due: several round trips to another region. */
const ANSWER_TIMEOUT_MILLIS = 450;
/** Timeout of an order from when it is sent; after that it is sent again. */
const ORDER_TIMEOUT_MILLIS = 450;
/** Pause before a failed call is repeated. */
const RETRY_DELAY_MILLIS = 120;
/**
 * The poll after newly ended runs acknowledges them, and waits at most this long for them to be
 * recorded in the store.
 */
const RECORD_TIMEOUT_MILLIS = 400;
/** Starts to one worker are to be delivered within this part of the time that the tasks of a gang wait for each other. */
const DELIVERY_FRACTION = 1 / 2;
/** A start that was not sent for this part of that time goes back to the owner. */
const UNSENT_FRACTION = 2 / 3;
/** Interval between looks at starts that wait to be sent, milliseconds. */
const UNSENT_CHECK_MILLIS = 100;
/** While a lease is suspended, the worker is polled again after this if the owner hasn't resumed it. */
const RESUMPTION_TIMEOUT_MILLIS = 400;
/** Consecutive failed polls after which a worker counts as unreachable. */
const UNREACHABLE_AFTER = 2;

const NO_END = brandAs<EndNumber>(0);

type Order = StartOrder | StopOrder;

/** An order that has no answer yet. */
interface OpenOrder {
  readonly order: Order;
  /** When its last copy was given up without an answer; undefined if none was. */
  unansweredAt: Instant | undefined;
  /** When its last copy was given up, or refused by a worker that has had calls of a higher term. */
  doubtfulAt: Instant | undefined;
  /** Whether it is to be sent as soon as the worker's incarnation has answered and has a lease. */
  isHeldBack: boolean;
  /** Whether a copy of it was sent. */
  isSent: boolean;
  /** A start of which no copy was sent by then goes back to the owner. */
  readonly returnAt: Deadline;
}

export type WorkerLinkMessage =
  /** Several messages, in order: however many there are, they take one place in the mailbox. */
  | { readonly kind: 'batch'; readonly messages: readonly WorkerLinkMessage[] }
  | { readonly kind: 'order'; readonly order: Order }
  | { readonly kind: 'withdraw'; readonly task: StepTaskId; readonly run: RunNumber }
  | { readonly kind: 'acknowledge'; readonly upTo: EndNumber }
  | { readonly kind: 'renew'; readonly suspension: LeaseSuspension }
  | { readonly kind: 'poll' }
  | {
      readonly kind: 'held';
      readonly answer: HoldAnswer;
      readonly askedAt: Instant;
      readonly hasWaited: boolean;
    }
  | { readonly kind: 'probe' }
  | { readonly kind: 'probed'; readonly answer: HoldAnswer; readonly askedAt: Instant }
  | {
      readonly kind: 'ordered';
      readonly order: Order;
      readonly answer: OrderAnswer | Unanswered;
      readonly sentAt: Instant;
    }
  | { readonly kind: 'send'; readonly order: Order }
  | { readonly kind: 'return_unsent' };

export interface WorkerLinkOptions {
  readonly port: WorkerPort;
  readonly target: WorkerTarget;
  /** Returns a higher fencing token than all earlier ones. */
  readonly nextFence: () => Fence;
  readonly owner: MailboxAddress<OwnerMessage>;
  /** When the lease of an earlier owner has ended at the latest. */
  readonly earlierLeaseEnds: Deadline;
  readonly longestLeaseMillis: number;
  /** How long the tasks of a gang wait for each other on workers. */
  readonly gangAssemblyMillis: number;
  /** Whether leases may be renewed: an owner cut off from the store and all members must not. */
  readonly mayRenew: () => boolean;
  /** Whether a start may be sent now: not into a data centre that is evacuated, or may be. */
  readonly mayStart: () => boolean;
  /** How many orders may be under way at a time. */
  readonly maxOrdersUnderWay: () => number;
}

export class WorkerLinkTask extends Task<WorkerLinkMessage> {
  private readonly lease: LeaseClock;
  private fence: Fence;
  private acknowledged = NO_END;
  private newestEnd = NO_END;
  /** When the expected incarnation last answered a poll or a probe; undefined before that. */
  private lastHeldAt: Instant | undefined;
  private isPolling = false;
  private isProbing = false;
  private isClosed = false;
  private failures = 0;
  /** The latest suspension of the lease. */
  private suspension = brandAs<LeaseSuspension>(0);
  /**
   * Whether no later end of the lease is requested, and no start sent: the owner drops the worker's runs at
   * the end that was reported to it.
   */
  private isSuspended = false;
  /** No poll is sent before this, after a failure or while newly ended runs are being recorded. */
  private pollAfter: Deadline = brandAs<Deadline>(0);
  private readonly orders = new Map<OrderKey, OpenOrder>();
  private readonly queue: OrderQueue;
  private isReturnScheduled = false;

  constructor(
    private readonly options: WorkerLinkOptions,
    clock: Clock,
  ) {
    super(`worker-link-${options.target.id}`, clock);
    this.lease = new LeaseClock(options.longestLeaseMillis, options.earlierLeaseEnds);
    this.fence = options.nextFence();
    this.queue = new OrderQueue(options.maxOrdersUnderWay);
  }

  protected override onStart(): void {
    this.poll();
  }

  protected override onStop(): void {
    this.isClosed = true;
    this.options.port.disconnect(this.options.target);
  }

  protected receive(message: WorkerLinkMessage): void {
    match(message)
      .with({ kind: 'batch' }, ({ messages }) => {
        messages.forEach((each) => {
          this.receive(each);
        });
      })
      .with({ kind: 'order' }, ({ order }) => {
        this.order(order);
      })
      .with({ kind: 'withdraw' }, ({ task, run }) => {
        this.withdraw(keyOf({ kind: 'start', task, run }));
        this.withdraw(keyOf({ kind: 'stop', task, run }));
      })
      .with({ kind: 'acknowledge' }, ({ upTo }) => {
        this.acknowledged = upTo;
        if (upTo >= this.newestEnd) {
          this.pollAfter = brandAs<Deadline>(0);
          this.poll();
        }
      })
      .with({ kind: 'renew' }, ({ suspension }) => {
        this.resume(suspension);
      })
      .with({ kind: 'poll' }, () => {
        this.poll();
      })
      .with({ kind: 'held' }, ({ answer, askedAt, hasWaited }) => {
        this.isPolling = false;
        if (!hasWaited) {
          this.recordRoundTrip(answer, askedAt);
        }
        this.held(answer, askedAt);
      })
      .with({ kind: 'probe' }, () => {
        this.probe();
      })
      .with({ kind: 'probed' }, ({ answer, askedAt }) => {
        this.isProbing = false;
        this.recordRoundTrip(answer, askedAt);
        this.probed(answer, askedAt);
      })
      .with({ kind: 'send' }, ({ order }) => {
        this.send(order);
      })
      .with({ kind: 'return_unsent' }, () => {
        this.isReturnScheduled = false;
        this.returnUnsent();
      })
      .with({ kind: 'ordered' }, ({ order, answer, sentAt }) => {
        this.queue.release();
        this.recordRoundTrip(answer, sentAt);
        this.ordered(order, answer);
        this.sendWaiting();
      })
      .exhaustive();
  }

  /**
   * Sends an order. A stop cancels retries of its start, which could otherwise arrive after the stop; if no copy of
   * the start was sent, none of the stop is needed.
   */
  private order(order: Order): void {
    const open: OpenOrder = {
      order,
      unansweredAt: undefined,
      doubtfulAt: undefined,
      isHeldBack: false,
      isSent: false,
      returnAt: deadlineAfter(this.clock.now(), this.options.gangAssemblyMillis * UNSENT_FRACTION),
    };
    if (order.kind === 'stop' && this.withdraw(keyOf({ ...order, kind: 'start' }))) {
      this.close(open, { kind: 'done' });
      return;
    }
    this.orders.set(keyOf(order), open);
    this.send(order);
  }

  /** Returns whether the order was open and no copy of it was sent. */
  private withdraw(key: OrderKey): boolean {
    const open = this.orders.get(key);
    this.orders.delete(key);
    this.queue.remove(key);
    return open?.isSent === false;
  }

  private recordRoundTrip({ kind }: { readonly kind: string }, sentAt: Instant): void {
    if (kind !== 'unanswered') {
      this.queue.recordRoundTrip(this.clock.now() - sentAt);
    }
  }

  private poll(): void {
    if (this.isPolling || this.isClosed || !hasPassed(this.pollAfter, this.clock.now())) {
      return;
    }
    this.isPolling = true;
    const { port, target } = this.options;
    const now = this.clock.now();
    const isHealthy = this.failures === 0 && this.lease.isSynchronised;
    const mayWait = isHealthy && !this.isSuspended;
    const renews = mayWait && this.options.mayRenew();
    const waitMillis = mayWait ? POLL_WAIT_MILLIS : 0;
    const request = {
      fence: this.fence,
      // After a failure another process may answer, whose ends are numbered anew.
      acknowledged: isHealthy ? this.acknowledged : NO_END,
      leaseEnd: renews ? this.lease.extend(now) : undefined,
      waitMillis,
    };
    const deadline = deadlineAfter(now, waitMillis + ANSWER_TIMEOUT_MILLIS);
    void port.hold(target, request, deadline).then((answer) => {
      this.post({ kind: 'held', answer, askedAt: now, hasWaited: waitMillis > 0 });
    });
  }

  private held(answer: HoldAnswer, askedAt: Instant): void {
    match(answer)
      .with({ kind: 'held' }, (held) => {
        this.failures = 0;
        this.report(held, askedAt);
        this.pollAgain(held.ended.at(-1)?.number);
      })
      .with({ kind: 'fenced' }, () => {
        this.fenced();
        this.pollLater(RETRY_DELAY_MILLIS);
      })
      .with({ kind: 'other_life' }, () => {
        this.incarnationReplaced(undefined);
      })
      .with({ kind: 'unwell' }, { kind: 'unanswered' }, () => {
        this.failed();
      })
      .exhaustive();
  }

  private report(held: Extract<HoldAnswer, { kind: 'held' }>, askedAt: Instant): void {
    const { incarnation } = this.options.target;
    if (held.incarnation !== incarnation) {
      this.incarnationReplaced(held.incarnation);
      return;
    }
    this.lease.synchronise(held.workerNow, this.clock.now());
    const { running, ended } = held;
    const { gangAssemblyMillis } = this.options;
    const startLimit = this.queue.deliverableWithin(gangAssemblyMillis * DELIVERY_FRACTION);
    const suspension = this.isSuspended ? this.suspension : undefined;
    this.options.owner.post({
      kind: 'input',
      input: {
        kind: 'report',
        report: { incarnation, askedAt, running, ended, suspension, startLimit },
      },
    });
    this.lastHeldAt = this.clock.now();
    this.sendHeldBack();
  }

  /**
   * Polls at once, or later if ended runs still have to be recorded in the store or the lease to be resumed.
   */
  private pollAgain(newest: EndNumber | undefined): void {
    if (newest !== undefined && newest > this.newestEnd) {
      this.newestEnd = newest;
    }
    if (this.acknowledged < this.newestEnd) {
      this.pollLater(RECORD_TIMEOUT_MILLIS);
      return;
    }
    if (this.isSuspended) {
      this.pollLater(RESUMPTION_TIMEOUT_MILLIS);
      return;
    }
    this.poll();
  }

  private pollLater(millis: number): void {
    this.pollAfter = deadlineAfter(this.clock.now(), millis);
    this.postAt(this.pollAfter, { kind: 'poll' });
  }

  private failed(): void {
    this.failures += 1;
    if (this.failures >= UNREACHABLE_AFTER) {
      this.reportUnreachable();
    }
    this.pollLater(RETRY_DELAY_MILLIS);
  }

  /** Reports when the lease lapses, which no later call must change: so the lease is suspended. */
  private reportUnreachable(): void {
    const { owner, target } = this.options;
    this.isSuspended = true;
    this.suspension = brandAs<LeaseSuspension>(this.suspension + 1);
    const { lapsesAt } = this.lease;
    owner.post({
      kind: 'input',
      input: { kind: 'unreachable', incarnation: target.incarnation, lapsesAt },
    });
  }

  /** Renews the lease again, unless the worker was reported unreachable after the report that was taken in. */
  private resume(suspension: LeaseSuspension): void {
    if (!this.isSuspended || suspension !== this.suspension) {
      return;
    }
    this.isSuspended = false;
    this.pollAfter = brandAs<Deadline>(0);
    this.poll();
    this.sendHeldBack();
  }

  /**
   * Looks at the worker beside the long poll, which may be due only much later. A worker that leaves
   * orders unanswered may still answer polls.
   */
  private probe(): void {
    if (this.isProbing || this.isClosed || this.failures > 0) {
      return;
    }
    this.isProbing = true;
    const { port, target } = this.options;
    const request = {
      fence: this.fence,
      acknowledged: NO_END,
      leaseEnd: undefined,
      waitMillis: 0,
    };
    const askedAt = this.clock.now();
    const deadline = deadlineAfter(askedAt, ANSWER_TIMEOUT_MILLIS);
    void port.hold(target, request, deadline).then((answer) => {
      this.post({ kind: 'probed', answer, askedAt });
    });
  }

  private probed(answer: HoldAnswer, askedAt: Instant): void {
    match(answer)
      .with({ kind: 'held' }, (held) => {
        this.report(held, askedAt);
      })
      .with({ kind: 'other_life' }, () => {
        this.incarnationReplaced(undefined);
      })
      .with({ kind: 'fenced' }, () => {
        this.fenced();
        this.probeAgain();
      })
      .with({ kind: 'unanswered' }, () => {
        this.reportUnreachable();
        this.probeAgain();
      })
      .with({ kind: 'unwell' }, () => {
        this.probeAgain();
      })
      .exhaustive();
  }

  /** A poll that fails is repeated by itself, and tells as much as a probe. */
  private probeAgain(): void {
    if ([...this.orders.values()].some(({ isHeldBack }) => isHeldBack)) {
      this.postAt(deadlineAfter(this.clock.now(), RETRY_DELAY_MILLIS), { kind: 'probe' });
    }
  }

  /** A higher token was used: by another owner, or by a link to the process that was here before. */
  private fenced(): void {
    this.fence = this.options.nextFence();
    this.options.owner.post({ kind: 'fenced' });
  }

  /** @param successor the incarnation that answered, if it has the id of this worker. */
  private incarnationReplaced(successor: WorkerIncarnation | undefined): void {
    this.isClosed = true;
    const { owner, target } = this.options;
    owner.post({
      kind: 'input',
      input: { kind: 'other_life', incarnation: target.incarnation, successor },
    });
  }

  private sendHeldBack(): void {
    for (const open of this.orders.values()) {
      if (open.isHeldBack) {
        open.isHeldBack = false;
        this.send(open.order);
      }
    }
  }

  /** Sends an order as soon as few enough are under way. */
  private send(order: Order): void {
    const key = keyOf(order);
    if (!this.isClosed && this.orders.get(key)?.order === order) {
      this.queue.add(order.kind, key);
      this.sendWaiting();
      this.returnLater();
    }
  }

  /** Returns starts to the owner that can't be sent soon, so that they are placed elsewhere. */
  private returnUnsent(): void {
    for (const key of this.queue.waitingStarts) {
      const open = this.orders.get(key);
      if (open?.isSent === false && hasPassed(open.returnAt, this.clock.now())) {
        this.queue.remove(key);
        this.close(open, { kind: 'not_sent' });
      }
    }
    this.returnLater();
  }

  private returnLater(): void {
    if (!this.isReturnScheduled && this.queue.waitingCount > 0) {
      this.isReturnScheduled = true;
      const at = deadlineAfter(this.clock.now(), UNSENT_CHECK_MILLIS);
      this.postAt(at, { kind: 'return_unsent' });
    }
  }

  private sendWaiting(): void {
    for (let key = this.queue.take(); key !== undefined; key = this.queue.take()) {
      const open = this.orders.get(key);
      if (this.isClosed || open === undefined || !this.call(open)) {
        this.queue.release();
      }
    }
  }

  /**
   * Calls the worker, and returns whether it did. A start must not reach a later process of the worker: it names the
   * worker's id, which stays. So it is repeated only after this incarnation has answered since the last copy was given
   * up or refused. None is sent while the lease is suspended.
   */
  private call(open: OpenOrder): boolean {
    const { order } = open;
    if (order.kind === 'start' && !this.options.mayStart()) {
      this.close(open, { kind: 'evacuated' });
      return false;
    }
    const call = order.kind === 'stop' ? this.stopCall(order) : this.startCall(order, open);
    if (call === undefined) {
      open.isHeldBack = true;
      return false;
    }
    open.isSent = true;
    const sentAt = this.clock.now();
    void call.then((answer) => {
      this.post({ kind: 'ordered', order, answer, sentAt });
    });
    return true;
  }

  private mayStart({ doubtfulAt }: OpenOrder): boolean {
    const { lastHeldAt, isSuspended } = this;
    const hasAnswered =
      lastHeldAt !== undefined && (doubtfulAt === undefined || doubtfulAt <= lastHeldAt);
    return hasAnswered && !isSuspended;
  }

  private stopCall({ task, run }: StopOrder): Promise<OrderAnswer | Unanswered> {
    const { port, target } = this.options;
    return port.stop(target, { fence: this.fence, task, run }, this.orderDeadline());
  }

  /** Returns undefined if the start must wait. */
  private startCall(
    order: StartOrder,
    open: OpenOrder,
  ): Promise<OrderAnswer | Unanswered> | undefined {
    const leaseEnd = this.mayStart(open) ? this.leaseEndOfStart() : undefined;
    const { port, target } = this.options;
    return leaseEnd === undefined
      ? undefined
      : port.start(target, order, this.fence, leaseEnd, this.orderDeadline());
  }

  private orderDeadline(): Deadline {
    return deadlineAfter(this.clock.now(), ORDER_TIMEOUT_MILLIS);
  }

  /** A start renews the lease where a poll may; undefined if no lease has been requested yet. */
  private leaseEndOfStart(): WorkerInstant | undefined {
    const renews = this.failures === 0 && this.options.mayRenew();
    return renews ? this.lease.extend(this.clock.now()) : this.lease.latest;
  }

  private ordered(order: Order, answer: OrderAnswer | Unanswered): void {
    const open = this.orders.get(keyOf(order));
    if (open?.order !== order) {
      return;
    }
    const isRefusedStop = order.kind === 'stop' && answer.kind === 'unwell';
    if (answer.kind === 'unanswered' || answer.kind === 'fenced' || isRefusedStop) {
      if (answer.kind === 'unanswered') {
        open.unansweredAt = this.clock.now();
        open.doubtfulAt = open.unansweredAt;
        this.probe();
      } else if (answer.kind === 'fenced') {
        open.doubtfulAt = this.clock.now();
        this.fenced();
        this.probe();
      }
      this.postAt(deadlineAfter(this.clock.now(), RETRY_DELAY_MILLIS), { kind: 'send', order });
      return;
    }
    this.close(open, answer);
  }

  /** Repeats the order no more, and tells the owner what became of it. */
  private close({ order, unansweredAt }: OpenOrder, answer: OrderAnswer): void {
    this.orders.delete(keyOf(order));
    const { owner, target } = this.options;
    owner.post({
      kind: 'input',
      input: {
        kind: 'order_answered',
        order: order.kind,
        incarnation: target.incarnation,
        task: order.task,
        run: order.run,
        answer,
        hasUnansweredCopies: unansweredAt !== undefined,
      },
    });
  }
}

function keyOf({ kind, task, run }: Pick<Order, 'kind' | 'task' | 'run'>): OrderKey {
  return brandAs<OrderKey>(`${kind} ${task} ${run}`);
}
