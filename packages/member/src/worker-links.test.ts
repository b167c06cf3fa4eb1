import test from 'ava';
import { ManualClock } from '@bamboowell/kernel/manual-clock';
import { brandAs, type WorkerId } from '@bamboowell/types/ids';
import {
  workerIncarnationOf,
  type RunNumber,
  type StepTaskId,
  type Term,
  type WorkerRegistration,
} from '@bamboowell/types/job';
import { NO_RESOURCES } from '@bamboowell/types/resources';
import type { Deadline, WorkerInstant } from '@bamboowell/types/time';
import type { OrderAnswer, StopOrder } from '@bamboowell/jobs/messages';
import { WorkerPort, type HoldAnswer, type HoldRequest, type StopRequest } from './ports.js';
import { WorkerLinks } from './worker-links.js';

const ID = brandAs<WorkerId>('w1');
const INCARNATION = workerIncarnationOf(ID, 1);
/** More than a mailbox has places. */
const ORDERS = 10_000;

const WORKER: WorkerRegistration = {
  id: ID,
  incarnation: INCARNATION,
  address: 'w1:80',
  service: 'tunnels',
  zone: 'west',
  isDraining: false,
  capacity: NO_RESOURCES,
  labels: [],
  rack: undefined,
};

/** A worker that answers at once, and waits with the answer to a poll. */
class PromptPort extends WorkerPort {
  readonly stopped = new Set<StepTaskId>();

  constructor(private readonly clock: ManualClock) {
    super();
  }

  async hold(_target: unknown, { waitMillis }: HoldRequest): Promise<HoldAnswer> {
    await this.clock.sleepUntil(brandAs<Deadline>(this.clock.now() + waitMillis));
    const workerNow = brandAs<WorkerInstant>(this.clock.now());
    return { kind: 'held', incarnation: INCARNATION, workerNow, running: [], ended: [] };
  }

  start(): Promise<OrderAnswer> {
    return Promise.resolve({ kind: 'done' });
  }

  stop(_target: unknown, { task }: StopRequest): Promise<OrderAnswer> {
    this.stopped.add(task);
    return Promise.resolve({ kind: 'done' });
  }

  disconnect(): void {
    // The fake has no connections.
  }
}

function openLinks() {
  const clock = new ManualClock(1000);
  const port = new PromptPort(clock);
  const links = new WorkerLinks(
    {
      port,
      term: brandAs<Term>(1),
      owner: { post: () => 'accepted' },
      longestLeaseMillis: 6000,
      gangAssemblyMillis: 3000,
      mayRenew: () => true,
      mayStart: () => true,
    },
    clock,
  );
  links.open(WORKER, brandAs<Deadline>(0));
  /** Lets the tasks handle what they have. */
  const settle = async (): Promise<void> => {
    for (let round = 0; round < 2 * ORDERS && port.stopped.size < ORDERS; round += 1) {
      await Promise.resolve();
    }
    await new Promise((resolve) => setImmediate(resolve));
  };
  return { links, port, settle };
}

/** Posts a stop of each of many runs, and calls `posted` after each. */
function postStops(links: WorkerLinks, posted: () => void = () => undefined): void {
  for (let number = 0; number < ORDERS; number += 1) {
    const task = brandAs<StepTaskId>(`0000000000000001.0.0.${number}`);
    const order: StopOrder = { kind: 'stop', task, run: brandAs<RunNumber>(1) };
    links.post(INCARNATION, { kind: 'order', order });
    posted();
  }
}

// Guards against orders that a full mailbox drops and nobody sends again: tasks that never start or never stop (LOST).
test('orders for many tasks of one worker all reach it', async (t) => {
  const { links, port, settle } = openLinks();
  await settle();
  postStops(links);
  links.flush();
  await settle();
  t.is(port.stopped.size, ORDERS);
});

test('what a full mailbox does not take is posted the next time', async (t) => {
  const { links, port, settle } = openLinks();
  await settle();
  postStops(links, () => {
    links.flush();
  });
  await settle();
  links.flush();
  await settle();
  t.is(port.stopped.size, ORDERS);
});
