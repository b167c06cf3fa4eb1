/**
 * The owner's link to one worker: a long poll that renews the lease and collects reports, and the
 * orders to start and stop runs.
 */

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

/**
 * How long a worker may wait for a run to end before it answers a poll. A poll that fails leaves time
 * for another one within the lease.
 */
const POLL_WAIT_MILLIS = 1500;
/** An answer is given up this long after it was due: several round trips to another region. */
const ANSWER_TIMEOUT_MILLIS = 450;
/** Timeout of an order, which is then sent again. */
const ORDER_TIMEOUT_MILLIS = 450;
/** Pause before a failed call is retried. */
const RETRY_DELAY_MILLIS = 120;
/**
 * The poll after newly ended runs acknowledges them, and waits at most this long for them to be
 * recorded in the store.
 */
const RECORD_TIMEOUT_MILLIS = 400;
/** Consecutive failed polls after which a worker counts as unreachable. */
const UNREACHABLE_AFTER = 2;

type Order = StartOrder | StopOrder;

export type WorkerLinkMessage =
  | { readonly kind: 'order'; readonly order: Order }
  | { readonly kind: 'withdraw'; readonly task: StepTaskId; readonly run: RunNumber }
  | { readonly kind: 'acknowledge'; readonly upTo: EndNumber }
  | { readonly kind: 'poll' }
  | { readonly kind: 'held'; readonly answer: HoldAnswer; readonly askedAt: Instant }
  | { readonly kind: 'probed'; readonly answer: HoldAnswer }
  | { readonly kind: 'ordered'; readonly order: Order; readonly answer: OrderAnswer | Unanswered }
  | { readonly kind: 'send'; readonly order: Order };

export interface WorkerLinkOptions {
  readonly port: WorkerPort;
  readonly target: WorkerTarget;
  readonly term: Term;
  readonly owner: MailboxAddress<OwnerMessage>;
  /** When the lease of an earlier owner has ended at the latest. */
  readonly earlierLeaseEnds: Deadline;
  readonly longestLeaseMillis: number;
  /** Whether leases may be renewed: an owner cut off from the store and all members must not. */
  readonly mayRenew: () => boolean;
}

export class WorkerLinkTask extends Task<WorkerLinkMessage> {
  private readonly lease: LeaseClock;
  private acknowledged: EndNumber = brandAs<EndNumber>(0);
  private newestEnd: EndNumber = brandAs<EndNumber>(0);
  private isPolling = false;
  private isProbing = false;
  private isClosed = false;
  private failures = 0;
  /** No poll is sent before this, after a failure or while newly ended runs are being recorded. */
  private pollAfter: Deadline = brandAs<Deadline>(0);
  private readonly orders = new Map<string, Order>();

  constructor(
    private readonly options: WorkerLinkOptions,
    clock: Clock,
  ) {
    super(`worker-link-${options.target.id}`, clock);
    this.lease = new LeaseClock(options.longestLeaseMillis, options.earlierLeaseEnds);
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
      .with({ kind: 'order' }, ({ order }) => {
        this.order(order);
      })
      .with({ kind: 'withdraw' }, ({ task, run }) => {
        this.orders.delete(`start ${task} ${run}`);
        this.orders.delete(`stop ${task} ${run}`);
      })
      .with({ kind: 'acknowledge' }, ({ upTo }) => {
        this.acknowledged = upTo;
        if (upTo >= this.newestEnd) {
          this.pollAfter = brandAs<Deadline>(0);
          this.poll();
        }
      })
      .with({ kind: 'poll' }, () => {
        this.poll();
      })
      .with({ kind: 'held' }, ({ answer, askedAt }) => {
        this.isPolling = false;
        this.held(answer, askedAt);
      })
      .with({ kind: 'probed' }, ({ answer }) => {
        this.isProbing = false;
        if (answer.kind === 'unanswered') {
          this.reportUnreachable();
        }
      })
      .with({ kind: 'send' }, ({ order }) => {
        this.send(order);
      })
      .with({ kind: 'ordered' }, ({ order, answer }) => {
        this.ordered(order, answer);
      })
      .exhaustive();
  }

  /** Sends an order. A stop cancels retries of its start, which could otherwise arrive after the stop. */
  private order(order: Order): void {
    if (order.kind === 'stop') {
      this.orders.delete(keyOf({ ...order, kind: 'start' }));
    }
    this.orders.set(keyOf(order), order);
    this.send(order);
  }

  private poll(): void {
    if (this.isPolling || this.isClosed || !hasPassed(this.pollAfter, this.clock.now())) {
      return;
    }
    this.isPolling = true;
    const { port, target, term } = this.options;
    const now = this.clock.now();
    const isHealthy = this.failures === 0 && this.lease.isSynchronised;
    const renews = isHealthy && this.options.mayRenew();
    const waitMillis = isHealthy ? POLL_WAIT_MILLIS : 0;
    const request = {
      term,
      acknowledged: this.acknowledged,
      leaseEnd: renews ? this.lease.extend(now) : undefined,
      waitMillis,
    };
    const deadline = deadlineAfter(now, waitMillis + ANSWER_TIMEOUT_MILLIS);
    void port.hold(target, request, deadline).then((answer) => {
      this.post({ kind: 'held', answer, askedAt: now });
    });
  }

  private held(answer: HoldAnswer, askedAt: Instant): void {
    const { owner, target } = this.options;
    match(answer)
      .with({ kind: 'held' }, (held) => {
        if (held.incarnation !== target.incarnation) {
          this.incarnationReplaced();
          return;
        }
        this.failures = 0;
        this.lease.synchronise(held.workerNow, this.clock.now());
        const { running, ended } = held;
        owner.post({
          kind: 'input',
          input: {
            kind: 'report',
            report: { incarnation: target.incarnation, askedAt, running, ended },
          },
        });
        this.pollAgain(ended.at(-1)?.number);
      })
      .with({ kind: 'fenced' }, () => {
        owner.post({ kind: 'fenced' });
        this.pollLater(RETRY_DELAY_MILLIS);
      })
      .with({ kind: 'other_life' }, () => {
        this.incarnationReplaced();
      })
      .with({ kind: 'unwell' }, { kind: 'unanswered' }, () => {
        this.failed();
      })
      .exhaustive();
  }

  /** Polls at once, or later if ended runs still have to be recorded in the store. */
  private pollAgain(newest: EndNumber | undefined): void {
    if (newest !== undefined && newest > this.newestEnd) {
      this.newestEnd = newest;
    }
    if (this.acknowledged < this.newestEnd) {
      this.pollLater(RECORD_TIMEOUT_MILLIS);
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

  private reportUnreachable(): void {
    const { owner, target } = this.options;
    const { lapsesAt } = this.lease;
    owner.post({
      kind: 'input',
      input: { kind: 'unreachable', incarnation: target.incarnation, lapsesAt },
    });
  }

  /**
   * Looks at the worker beside the long poll, which may be due only much later. A worker that leaves
   * orders unanswered may still answer polls.
   */
  private probe(): void {
    if (this.isProbing || this.failures > 0) {
      return;
    }
    this.isProbing = true;
    const { port, target, term } = this.options;
    const request = {
      term,
      acknowledged: this.acknowledged,
      leaseEnd: undefined,
      waitMillis: 0,
    };
    const deadline = deadlineAfter(this.clock.now(), ANSWER_TIMEOUT_MILLIS);
    void port.hold(target, request, deadline).then((answer) => {
      this.post({ kind: 'probed', answer });
    });
  }

  private incarnationReplaced(): void {
    this.isClosed = true;
    const { owner, target } = this.options;
    owner.post({ kind: 'input', input: { kind: 'other_life', incarnation: target.incarnation } });
  }

  private send(order: Order): void {
    if (this.isClosed || this.orders.get(keyOf(order)) !== order) {
      return;
    }
    const deadline = deadlineAfter(this.clock.now(), ORDER_TIMEOUT_MILLIS);
    void this.call(order, deadline).then((answer) => {
      this.post({ kind: 'ordered', order, answer });
    });
  }

  private call(order: Order, deadline: Deadline): Promise<OrderAnswer | Unanswered> {
    const { port, target, term } = this.options;
    if (order.kind === 'stop') {
      return port.stop(target, { term, task: order.task, run: order.run }, deadline);
    }
    const leaseEnd: WorkerInstant | undefined =
      this.failures === 0 && this.lease.isSynchronised
        ? this.lease.extend(this.clock.now())
        : this.lease.latest;
    if (leaseEnd === undefined) {
      return Promise.resolve({ kind: 'unanswered', detail: 'the worker has not answered yet' });
    }
    return port.start(target, order, term, leaseEnd, deadline);
  }

  private ordered(order: Order, answer: OrderAnswer | Unanswered): void {
    if (this.orders.get(keyOf(order)) !== order) {
      return;
    }
    const isRefusedStop = order.kind === 'stop' && answer.kind === 'unwell';
    if (answer.kind === 'unanswered' || isRefusedStop) {
      if (answer.kind === 'unanswered') {
        this.probe();
      }
      this.postAt(deadlineAfter(this.clock.now(), RETRY_DELAY_MILLIS), { kind: 'send', order });
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
