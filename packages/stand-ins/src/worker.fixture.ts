/** Starts worker stand-ins and clients of them for tests. */

import { ManualClock } from '@bamboowell/kernel/manual-clock';
import { brandAs, type DataCentreId, type RackId, type WorkerId } from '@bamboowell/types/ids';
import type { Resources } from '@bamboowell/types/resources';
import type { Address } from '@bamboowell/types/vm';
import { Inbox } from '@bamboowell/wire/inbox.fixture';
import type { TcpConnection } from '@bamboowell/wire/tcp-connection';
import { HOST, farDeadline, openConnection, type Teardown } from '@bamboowell/wire/wire.fixture';
import type { Switches } from './worker-protocol.js';
import type { Run } from './worker-runs.js';
import { WorkerServer } from './worker-server.js';

const STEP_MILLIS = 500;

/** A notification from the worker. */
export interface ReceivedNotification {
  readonly method: string;
  readonly params: unknown;
}

export interface Inspection {
  readonly incarnation: string;
  readonly workerNow: number;
  readonly runs: readonly Run[];
}

export function resourcesFor(slots: number): Resources {
  return { millicores: slots * 1000, memoryMib: slots * 100, accelerators: 0, slots };
}

/** A client that talks to the worker as an owner does. */
export class OwnerClient {
  readonly notifications = new Inbox<ReceivedNotification>();

  constructor(
    readonly connection: TcpConnection,
    private readonly clock: ManualClock,
  ) {
    for (const method of ['attached', 'fenced', 'started', 'start_refused', 'ended', 'usage']) {
      connection.handle(method, (params) => this.notifications.post({ method, params }));
    }
  }

  send(method: string, params: object): void {
    this.connection.notify(method, params);
  }

  async attach(epoch: number): Promise<{ workerNow: number; attempts: object[] }> {
    this.send('attach', { epoch, shard: 's', member: 'm' });
    const { params } = await this.waitFor('attached');
    return params as { workerNow: number; attempts: object[] };
  }

  /** The next notification of the method; others before it are dropped. */
  async waitFor(method: string): Promise<ReceivedNotification> {
    for (;;) {
      const notification = await this.notifications.next();
      if (notification.method === method) {
        return notification;
      }
    }
  }

  async request(method: string, params: object = {}): Promise<unknown> {
    const answer = await this.connection.request(method, params, farDeadline(this.clock));
    return answer.kind === 'answered' ? answer.value : answer;
  }

  async inspect(): Promise<Inspection> {
    return (await this.request('runs')) as Inspection;
  }

  switch(switches: Partial<Switches>): Promise<unknown> {
    return this.request('switches', switches);
  }

  /**
   * Advances the clock in steps, with traffic in between, so that no connection counts as silent.
   */
  async advanceTime(millis: number): Promise<void> {
    await this.request('ping');
    for (let left = millis; left > 0; left -= STEP_MILLIS) {
      this.clock.advance(Math.min(left, STEP_MILLIS));
      await this.request('ping');
    }
  }
}

export interface Worker {
  readonly clock: ManualClock;
  readonly address: Address;
  readonly server: WorkerServer;
}

/** Starts a worker with so many slots. */
export async function startWorker(t: Teardown, slots = 8): Promise<Worker> {
  const clock = new ManualClock(1_000_000);
  const server = new WorkerServer({
    host: HOST,
    port: 0,
    clock,
    profile: {
      id: brandAs<WorkerId>('worker-1'),
      dataCentre: brandAs<DataCentreId>('centre-1'),
      rack: brandAs<RackId>('rack-1'),
      capacity: resourcesFor(slots),
    },
  });
  const address = await server.listen();
  t.teardown(() => server.stop());
  return { clock, address, server };
}

export async function connectOwner(t: Teardown, { clock, address }: Worker): Promise<OwnerClient> {
  return new OwnerClient(await openConnection(t, clock, address), clock);
}

/** Parameters of a `start` whose lease ends after a minute. */
export function startParams(attempt: string, workerNow: number, changes: object = {}): object {
  return {
    epoch: 1,
    attempt,
    demand: resourcesFor(1),
    payload: JSON.stringify({ millis: 600_000 }),
    startBy: workerNow + 1000,
    leaseUntil: workerNow + 60_000,
    ...changes,
  };
}
