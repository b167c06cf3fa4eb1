import test from 'ava';
import { ManualClock } from '@bamboowell/kernel/manual-clock';
import { brandAs, type WorkerId } from '@bamboowell/types/ids';
import {
  workerIncarnationOf,
  type EndedEntry,
  type EndNumber,
  type Fence,
  type RunNumber,
  type SavedProgress,
  type StepTaskId,
} from '@bamboowell/types/job';
import type { Deadline, WorkerInstant } from '@bamboowell/types/time';
import type { JobInput, LeaseSuspension, OrderAnswer, StartOrder } from '@bamboowell/jobs/messages';
import type { OwnerMessage } from './owner-messages.js';
import { WorkerPort, type HoldAnswer, type HoldRequest, type Unanswered } from './ports.js';
import { MAX_ORDERS_UNDER_WAY } from './order-queue.js';
import { WorkerLinkTask } from './worker-link.js';

const ID = brandAs<WorkerId>('w1');
const INCARNATION = workerIncarnationOf(ID, 1);

type Answers<Value> = (Value | 'silence')[];

/**
 * A worker that gives scripted answers, at once as when a run ends; by default it waits as long as it
 * may, grants leases and carries out orders.
 */
class ScriptedPort extends WorkerPort {
  readonly requests: HoldRequest[] = [];
  readonly starts: {
    readonly order: StartOrder;
    readonly leaseEnd: WorkerInstant;
    readonly fence: Fence;
  }[] = [];
  readonly holds: Answers<HoldAnswer> = [];
  /** Answers to polls that waited as long as they may. */
  readonly lateHolds: HoldAnswer[] = [];
  readonly answers: Answers<OrderAnswer> = [];
  /** Most starts that were open at a time, where calls take time. */
  mostOpen = 0;
  protected open = 0;

  constructor(private readonly clock: ManualClock) {
    super();
  }

  async hold(_target: unknown, request: HoldRequest, deadline: Deadline): Promise<HoldAnswer> {
    this.requests.push(request);
    const scripted = this.holds.shift();
    if (scripted === undefined) {
      await this.clock.sleepUntil(brandAs<Deadline>(this.clock.now() + request.waitMillis));
    } else if (scripted === 'silence') {
      await this.clock.sleepUntil(deadline);
    }
    return scripted === 'silence' ? silence() : (scripted ?? this.lateHolds.shift() ?? this.held());
  }

  async start(
    _target: unknown,
    order: StartOrder,
    fence: Fence,
    leaseEnd: WorkerInstant,
    deadline: Deadline,
  ): Promise<OrderAnswer | Unanswered> {
    this.starts.push({ order, leaseEnd, fence });
    const scripted = this.answers.shift() ?? { kind: 'done' };
    if (scripted === 'silence') {
      await this.clock.sleepUntil(deadline);
      return silence();
    }
    return scripted;
  }

  stop(): Promise<OrderAnswer | Unanswered> {
    return Promise.resolve({ kind: 'done' });
  }

  disconnect(): void {
    // The fake has no connections.
  }

  held(ended: readonly EndedEntry[] = [], incarnation = INCARNATION): HoldAnswer {
    const workerNow = brandAs<WorkerInstant>(this.clock.now() + 100_000);
    return { kind: 'held', incarnation, workerNow, running: [], ended };
  }
}

function silence(): Unanswered {
  return { kind: 'unanswered', detail: 'no answer' };
}

function end(number: number): EndedEntry {
  return {
    number: brandAs<EndNumber>(number),
    task: brandAs<StepTaskId>('0000000000000001.0.0.0'),
    run: brandAs<RunNumber>(1),
    end: 'done',
    saved: brandAs<SavedProgress>(''),
  };
}

const START: StartOrder = {
  kind: 'start',
  task: brandAs<StepTaskId>('0000000000000001.0.0.0'),
  run: brandAs<RunNumber>(1),
  payload: 'text',
  saved: brandAs<SavedProgress>(''),
  ticket: undefined,
};

function suspensionIn(message: OwnerMessage): LeaseSuspension | undefined {
  return message.kind === 'input' && message.input.kind === 'report'
    ? message.input.report.suspension
    : undefined;
}

interface BenchOptions {
  readonly earlierLeaseEnds?: Deadline;
  readonly newPort?: (clock: ManualClock) => ScriptedPort;
}

function linkBench({
  earlierLeaseEnds = brandAs<Deadline>(0),
  newPort = (own) => new ScriptedPort(own),
}: BenchOptions = {}) {
  const clock = new ManualClock(1000);
  const port = newPort(clock);
  const ownerMessages: OwnerMessage[] = [];
  const lease = { mayRenew: true, mayStart: true };
  /** An owner that isn't busy takes in reports at once. */
  const owner = { isBusy: false };
  let fences = 0;
  const link = new WorkerLinkTask(
    {
      port,
      target: { id: ID, incarnation: INCARNATION, address: 'w1:80' },
      nextFence: () => {
        fences += 1;
        return brandAs<Fence>(fences);
      },
      owner: {
        post: (message) => {
          ownerMessages.push(message);
          const suspension = suspensionIn(message);
          if (suspension !== undefined && !owner.isBusy) {
            link.post({ kind: 'renew', suspension });
          }
          return 'accepted';
        },
      },
      earlierLeaseEnds,
      longestLeaseMillis: 6000,
      gangAssemblyMillis: 3000,
      maxOrdersUnderWay: () => MAX_ORDERS_UNDER_WAY,
      mayRenew: () => lease.mayRenew,
      mayStart: () => lease.mayStart,
    },
    clock,
  );
  return {
    link,
    lease,
    owner,
    port,
    clock,
    inputs: () =>
      ownerMessages.flatMap((message) => (message.kind === 'input' ? [message.input] : [])),
    ownerMessages,
    advance: async (millis: number): Promise<void> => {
      for (let passed = 0; passed < millis; passed += 10) {
        clock.advance(10);
        await new Promise((resolve) => setImmediate(resolve));
      }
    },
  };
}

test('the first poll only reads the worker clock, later ones renew the lease and wait', async (t) => {
  const { link, port, advance } = linkBench();
  await link.start();
  await advance(2000);
  const [first, second] = port.requests;
  t.like(first, { leaseEnd: undefined, waitMillis: 0 });
  t.true((second?.leaseEnd ?? 0) > 104_000);
  t.true((second?.waitMillis ?? 0) > 0);
});

test('an unanswered start is not retried once a stop of its run is ordered', async (t) => {
  const { link, port, advance, inputs } = linkBench();
  port.answers.push('silence', 'silence');
  await link.start();
  await advance(100);
  link.post({ kind: 'order', order: START });
  await advance(100);
  t.is(port.starts.length, 1);
  const { task, run } = START;
  link.post({ kind: 'order', order: { kind: 'stop', task, run } });
  await advance(3000);
  t.is(port.starts.length, 1);
  t.deepEqual(
    inputs().flatMap((input) => (input.kind === 'order_answered' ? [input.order] : [])),
    ['stop'],
  );
});

test('ended runs are acknowledged by the next poll, once they are recorded in the store', async (t) => {
  const { link, port, advance } = linkBench();
  port.holds.push(port.held(), port.held([end(1)]));
  await link.start();
  await advance(200);
  const asked = port.requests.length;
  link.post({ kind: 'acknowledge', upTo: brandAs<EndNumber>(1) });
  await advance(10);
  t.is(port.requests.length, asked + 1);
  t.is(Number(port.requests.at(-1)?.acknowledged), 1);
});

test('a lease is renewed even while recording an ended run takes long', async (t) => {
  const { link, port, advance } = linkBench();
  port.holds.push(port.held(), ...Array.from({ length: 20 }, () => port.held([end(1)])));
  await link.start();
  await advance(1000);
  const asked = port.requests.length;
  await advance(2000);
  t.true(port.requests.length >= asked + 2);
  t.true(port.requests.every(({ acknowledged }) => acknowledged === 0));
});

test('a silent worker is unreachable after two polls, and its lease is not renewed', async (t) => {
  const { link, port, advance, inputs } = linkBench();
  port.holds.push(port.held(), 'silence', 'silence', 'silence');
  await link.start();
  await advance(3000);
  const unreachable = inputs().find(({ kind }) => kind === 'unreachable');
  t.truthy(unreachable);
  t.not(port.requests[1]?.leaseEnd, undefined);
  t.is(port.requests[2]?.leaseEnd, undefined);
  if (unreachable?.kind === 'unreachable') {
    // The lease requested by the second poll, on a worker clock that is 2% slow.
    t.true(unreachable.lapsesAt > 1000 + 4000 && unreachable.lapsesAt < 1000 + 4400);
  }
});

// Guards against a run that outlives its lapse under a lease that was given before (TWICE).
test('a silent worker keeps its runs until the leases of earlier owners have ended', async (t) => {
  const earlierLeaseEnds = brandAs<Deadline>(7000);
  const { link, port, advance, inputs } = linkBench({ earlierLeaseEnds });
  port.holds.push(port.held(), 'silence', 'silence', 'silence');
  await link.start();
  await advance(3000);
  t.like(
    inputs().find(({ kind }) => kind === 'unreachable'),
    { lapsesAt: earlierLeaseEnds },
  );
});

test('an unanswered order is retried until it is answered or withdrawn', async (t) => {
  const { link, port, advance, inputs } = linkBench();
  port.answers.push('silence', 'silence');
  await link.start();
  await advance(100);
  link.post({ kind: 'order', order: START });
  await advance(3000);
  t.is(port.starts.length, 3);
  t.is(inputs().filter(({ kind }) => kind === 'order_answered').length, 1);
  port.answers.push('silence', 'silence');
  const run = brandAs<RunNumber>(2);
  link.post({ kind: 'order', order: { ...START, run } });
  await advance(100);
  link.post({ kind: 'withdraw', task: START.task, run });
  await advance(3000);
  t.is(port.starts.length, 4);
});

// Guards against a start that is repeated for seconds and begins in a data centre that is taken out of service.
test('a start is neither sent nor repeated into an evacuated data centre, and the owner is told', async (t) => {
  const { link, port, lease, advance, inputs } = linkBench();
  const givenUp = () =>
    inputs().flatMap((input) =>
      input.kind === 'order_answered' ? [[input.answer.kind, input.hasUnansweredCopies]] : [],
    );
  port.answers.push('silence');
  await link.start();
  await advance(100);
  link.post({ kind: 'order', order: START });
  await advance(100);
  lease.mayStart = false;
  await advance(3000);
  t.is(port.starts.length, 1);
  t.deepEqual(givenUp(), [['evacuated', true]]);
  link.post({ kind: 'order', order: { ...START, run: brandAs<RunNumber>(2) } });
  await advance(100);
  t.is(port.starts.length, 1);
  t.deepEqual(givenUp().at(-1), ['evacuated', false]);
  lease.mayStart = true;
  await advance(3000);
  t.is(port.starts.length, 1);
});

test('an answer from another incarnation of the worker ends the link', async (t) => {
  const { link, port, advance, inputs } = linkBench();
  port.holds.push(port.held(), { kind: 'other_life' });
  await link.start();
  await advance(1000);
  const asked = port.requests.length;
  t.is(inputs().at(-1)?.kind, 'other_life');
  await advance(3000);
  t.is(port.requests.length, asked);
});

test('the owner is notified when a worker has seen a higher term', async (t) => {
  const { link, port, advance, ownerMessages } = linkBench();
  port.holds.push({ kind: 'fenced' });
  await link.start();
  await advance(50);
  t.true(ownerMessages.some(({ kind }) => kind === 'fenced'));
});

// Guards against work that is placed on a dead worker for as long as a long poll may take.
test('a worker that answers neither an order nor a look at it is unreachable before its poll is due', async (t) => {
  const { link, port, advance, inputs } = linkBench();
  port.holds.push(port.held(), 'silence', 'silence');
  port.answers.push('silence');
  await link.start();
  await advance(100);
  link.post({ kind: 'order', order: START });
  await advance(1000);
  t.is(inputs().filter(({ kind }) => kind === 'unreachable').length, 1);
});

test('a worker that leaves an order unanswered but answers a look at it stays reachable', async (t) => {
  const { link, port, advance, inputs } = linkBench();
  port.answers.push('silence');
  await link.start();
  await advance(100);
  link.post({ kind: 'order', order: START });
  await advance(2000);
  t.false(inputs().some(({ kind }) => kind === 'unreachable'));
  t.is(inputs().filter(({ kind }) => kind === 'order_answered').length, 1);
});

// Guards against an owner that spends half of a core on polls of hundreds of workers that run long tasks.
test('a worker on which nothing ends is polled less than once a second', async (t) => {
  const { link, port, advance } = linkBench();
  await link.start();
  await advance(500);
  const before = port.requests.length;
  await advance(10_000);
  t.true(port.requests.length - before < 10);
});

// Guards against a start that a later process of the worker carries out, since it names only the worker's
// id (TWICE).
test('an unanswered start is repeated only after the incarnation it is meant for has answered', async (t) => {
  const { link, port, advance } = linkBench();
  const silences = Array.from({ length: 12 }, () => 'silence' as const);
  port.holds.push(port.held(), ...silences);
  port.answers.push('silence');
  await link.start();
  await advance(100);
  link.post({ kind: 'order', order: START });
  await advance(4000);
  t.is(port.starts.length, 1);
  port.holds.length = 0;
  await advance(3000);
  t.is(port.starts.length, 2);
});

test('a probe that a later process of the worker answers ends the link, and says which one it is', async (t) => {
  const { link, port, advance, inputs } = linkBench();
  const successor = workerIncarnationOf(ID, 2);
  port.holds.push(port.held(), 'silence', port.held([], successor));
  port.answers.push('silence');
  await link.start();
  await advance(100);
  link.post({ kind: 'order', order: START });
  await advance(3000);
  t.deepEqual(inputs().at(-1), { kind: 'other_life', incarnation: INCARNATION, successor });
  t.is(port.starts.length, 1);
});

// Guards against ends of a later process that are acknowledged unseen, since it numbers them anew (TWICE).
test('a poll after one that failed acknowledges nothing', async (t) => {
  const { link, port, advance } = linkBench();
  port.holds.push(port.held(), port.held([end(1)]));
  await link.start();
  await advance(200);
  port.holds.push('silence');
  link.post({ kind: 'acknowledge', upTo: brandAs<EndNumber>(1) });
  await advance(2200);
  const failed = port.requests.findIndex(({ acknowledged }) => acknowledged > 0);
  t.true(failed > 0);
  t.is(Number(port.requests[failed + 1]?.acknowledged), 0);
});

test('a refusal for a higher fence is met with the next fence of the term', async (t) => {
  const { link, port, advance } = linkBench();
  port.holds.push(port.held());
  port.answers.push({ kind: 'fenced' });
  await link.start();
  await advance(100);
  link.post({ kind: 'order', order: START });
  await advance(1000);
  t.deepEqual(
    port.starts.map(({ fence }) => Number(fence)),
    [1, 2],
  );
});

// Guards against a refusal that is taken for the fate of a start of which another copy had no answer (TWICE).
test('the answer to an order says whether earlier copies of it had none', async (t) => {
  const { link, port, advance, inputs } = linkBench();
  port.answers.push('silence', { kind: 'unwell' }, { kind: 'unwell' });
  await link.start();
  await advance(100);
  link.post({ kind: 'order', order: START });
  await advance(1500);
  link.post({ kind: 'order', order: { ...START, run: brandAs<RunNumber>(2) } });
  await advance(1500);
  t.deepEqual(
    inputs().flatMap((input) =>
      input.kind === 'order_answered' ? [[Number(input.run), input.hasUnansweredCopies]] : [],
    ),
    [
      [1, true],
      [2, false],
    ],
  );
});

// Guards against a task that waits for the end of a long poll though nothing of it runs (LOST).
test('a probe brings a report while a long poll is open', async (t) => {
  const { link, advance, inputs } = linkBench();
  await link.start();
  await advance(500);
  const reports = (): number => inputs().filter(({ kind }) => kind === 'report').length;
  const before = reports();
  link.post({ kind: 'probe' });
  await advance(50);
  t.is(reports(), before + 1);
});

const ROUND_TRIP_MILLIS = 40;

/** A worker to which calls take some time. */
class DistantPort extends ScriptedPort {
  constructor(
    private readonly ownClock: ManualClock,
    private readonly roundTripMillis = ROUND_TRIP_MILLIS,
  ) {
    super(ownClock);
  }

  override async hold(...args: Parameters<ScriptedPort['hold']>): Promise<HoldAnswer> {
    await this.ownClock.sleepUntil(brandAs<Deadline>(this.ownClock.now() + this.roundTripMillis));
    return super.hold(...args);
  }

  override async start(
    ...args: Parameters<ScriptedPort['start']>
  ): Promise<OrderAnswer | Unanswered> {
    this.open += 1;
    this.mostOpen = Math.max(this.mostOpen, this.open);
    await this.ownClock.sleepUntil(brandAs<Deadline>(this.ownClock.now() + this.roundTripMillis));
    this.open -= 1;
    return super.start(...args);
  }
}

function startsOf(count: number): StartOrder[] {
  return Array.from({ length: count }, (_, index) => ({
    ...START,
    task: brandAs<StepTaskId>(`0000000000000001.0.0.${index}`),
  }));
}

function answersTo(inputs: readonly JobInput[]): OrderAnswer['kind'][] {
  return inputs.flatMap((input) => (input.kind === 'order_answered' ? [input.answer.kind] : []));
}

// Guards against an owner that hands all starts to the HTTP client at once, gives up those that wait for a
// connection there and sends copies of them, until its memory is used up (FAULT).
test('however many starts are ordered, few calls are open and none is made twice', async (t) => {
  const { link, port, advance, inputs } = linkBench({ newPort: (own) => new DistantPort(own) });
  await link.start();
  await advance(100);
  startsOf(400).forEach((order) => {
    link.post({ kind: 'order', order });
  });
  await advance(2500);
  t.true(port.mostOpen <= MAX_ORDERS_UNDER_WAY);
  t.is(port.starts.length, 400);
  t.is(new Set(port.starts.map(({ order }) => order.task)).size, 400);
  t.is(answersTo(inputs()).filter((kind) => kind === 'done').length, 400);
});

test('starts that can not be sent for long go back to the owner, and were never sent', async (t) => {
  const { link, port, advance, inputs } = linkBench({
    newPort: (own) => new DistantPort(own, 400),
  });
  await link.start();
  await advance(100);
  const starts = startsOf(400);
  link.post({ kind: 'batch', messages: starts.map((order) => ({ kind: 'order', order })) });
  await advance(3500);
  const kinds = answersTo(inputs());
  const notSent = kinds.filter((kind) => kind === 'not_sent').length;
  t.true(notSent > 0);
  t.is(notSent + port.starts.length, 400);
  t.is(kinds.filter((kind) => kind === 'done').length, port.starts.length);
});

test('a stop of a start that waits to be sent needs no call', async (t) => {
  const { link, port, advance, inputs } = linkBench({
    newPort: (own) => new DistantPort(own, 400),
  });
  await link.start();
  await advance(100);
  const starts = startsOf(30);
  link.post({ kind: 'batch', messages: starts.map((order) => ({ kind: 'order', order })) });
  await advance(50);
  const [last] = starts.slice(-1);
  if (last === undefined) {
    t.fail('no start');
    return;
  }
  const { task, run } = last;
  link.post({ kind: 'order', order: { kind: 'stop', task, run } });
  await advance(3000);
  t.false(port.starts.some(({ order }) => order.task === task));
  t.true(inputs().some((input) => input.kind === 'order_answered' && input.order === 'stop'));
});

test('a report tells how many starts the link delivers in time', async (t) => {
  const { link, advance, inputs } = linkBench({ newPort: (own) => new DistantPort(own) });
  await link.start();
  await advance(100);
  link.post({ kind: 'order', order: START });
  await advance(2000);
  const limits = inputs().flatMap((input) =>
    input.kind === 'report' ? [input.report.startLimit] : [],
  );
  t.true((limits.at(-1) ?? 0) >= (MAX_ORDERS_UNDER_WAY * 1000) / (ROUND_TRIP_MILLIS + 20));
});

/** Lease ends that were requested, by polls and by starts. */
function leaseEnds({ requests, starts }: ScriptedPort): number[] {
  return [...requests, ...starts].flatMap(({ leaseEnd }) => leaseEnd ?? []);
}

/** A link whose worker left an order and a look at it unanswered while a poll is open. */
async function linkBenchAfterLook() {
  const bench = linkBench();
  const { link, port, advance, inputs } = bench;
  port.holds.push(port.held());
  port.answers.push('silence');
  await link.start();
  await advance(100);
  port.holds.push('silence');
  link.post({ kind: 'order', order: START });
  await advance(950);
  if (!inputs().some(({ kind }) => kind === 'unreachable')) {
    throw new Error('the worker counts as reachable');
  }
  return bench;
}

// Guards against a start that lets the runs of a worker outlive the lapse that its owner counts (TWICE).
test('a start after a worker was reported unreachable requests no later end of its lease', async (t) => {
  const { link, owner, port, advance } = await linkBenchAfterLook();
  owner.isBusy = true;
  const latest = Math.max(...leaseEnds(port));
  port.answers.push('silence');
  link.post({ kind: 'order', order: { ...START, run: brandAs<RunNumber>(2) } });
  await advance(300);
  t.is(Math.max(...leaseEnds(port)), latest);
});

// Guards against a poll that lets the runs of a worker outlive the lapse that its owner counts (TWICE).
test('a poll after a worker was reported unreachable requests no lease, whatever the open poll brings', async (t) => {
  const { port, advance } = await linkBenchAfterLook();
  const latest = Math.max(...leaseEnds(port));
  const asked = port.requests.length;
  port.lateHolds.push({ kind: 'fenced' });
  port.holds.push(...Array.from({ length: 5 }, () => 'silence' as const));
  await advance(1500);
  t.true(port.requests.length > asked);
  t.is(Math.max(...leaseEnds(port)), latest);
});

// Guards against a lease that is renewed though the owner counts its lapse (TWICE).
test('a lease is renewed and starts are sent again once the owner has taken in a report', async (t) => {
  const { link, owner, port, advance, inputs, ownerMessages } = await linkBenchAfterLook();
  const latest = Math.max(...leaseEnds(port));
  owner.isBusy = true;
  port.holds.push('silence', 'silence', 'silence');
  link.post({ kind: 'order', order: { ...START, run: brandAs<RunNumber>(2) } });
  await advance(9000);
  t.is(Math.max(...leaseEnds(port)), latest);
  t.is(port.starts.length, 1);
  const suspensions = ownerMessages.flatMap((message) => suspensionIn(message) ?? []);
  const suspension = suspensions.at(-1);
  t.true(suspensions.length > 10, 'each report asks for the renewal until it is granted');
  t.is(Number(suspension), inputs().filter(({ kind }) => kind === 'unreachable').length);
  if (suspension !== undefined) {
    link.post({ kind: 'renew', suspension: brandAs<LeaseSuspension>(suspension - 1) });
    await advance(1000);
    t.is(
      Math.max(...leaseEnds(port)),
      latest,
      'a report from before the last outage proves nothing',
    );
    link.post({ kind: 'renew', suspension });
    await advance(100);
  }
  t.true(Math.max(...leaseEnds(port)) > latest);
  t.is(port.starts.length, 3);
});

// Guards against starts that hold the leases of an owner which may have a successor (TWICE).
test('a start requests no later end of the lease while leases may not be renewed', async (t) => {
  const { link, lease, port, advance } = linkBench();
  port.answers.push(...Array.from({ length: 10 }, () => 'silence' as const));
  await link.start();
  await advance(1600);
  lease.mayRenew = false;
  const latest = Math.max(...leaseEnds(port));
  link.post({ kind: 'order', order: START });
  await advance(3000);
  t.true(port.starts.length > 1);
  t.is(Math.max(...leaseEnds(port)), latest);
});

test('a start waits until a lease has been requested', async (t) => {
  const { link, lease, port, advance } = linkBench();
  lease.mayRenew = false;
  await link.start();
  await advance(100);
  link.post({ kind: 'order', order: START });
  await advance(4000);
  t.deepEqual(port.starts, []);
  lease.mayRenew = true;
  await advance(4000);
  t.is(port.starts.length, 1);
});
