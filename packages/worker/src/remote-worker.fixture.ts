/** Links to a worker whose messages the test sends itself. */

import { ManualClock } from '@bamboowell/kernel/manual-clock';
import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import {
  brandAs,
  type AttemptId,
  type Epoch,
  type MemberId,
  type ShardId,
  type WorkerId,
} from '@bamboowell/types/ids';
import type { WorkerInstant } from '@bamboowell/types/time';
import type { WorkerCommand, WorkerReport } from '@bamboowell/types/worker-messages';
import { Inbox } from '@bamboowell/wire/inbox.fixture';
import { Listener } from '@bamboowell/wire/listener';
import { MemoryMeter } from '@bamboowell/wire/meter';
import type { TcpConnection } from '@bamboowell/wire/tcp-connection';
import { HOST, farDeadline, deferred, type Teardown } from '@bamboowell/wire/wire.fixture';
import { digestOf } from './digest.js';
import type { RemoteWorkerMessage, RemoteWorkerOptions } from './remote-worker-messages.js';
import { RemoteWorker } from './remote-worker.js';

const COMMANDS = ['attach', 'start', 'renew', 'stop', 'throttle', 'forget'];

/** A command that the scripted worker received. */
export interface ReceivedCommand {
  readonly connection: TcpConnection;
  readonly method: string;
  readonly params: unknown;
}

export interface Scripted {
  /** The link's clock. The worker's clock stands still, so that the worker sends no pings. */
  readonly clock: ManualClock;
  readonly meter: MemoryMeter;
  readonly link: RemoteWorker;
  /** What the link reported. */
  readonly reports: Inbox<WorkerReport>;
  /** The commands that the worker received. */
  readonly commands: Inbox<ReceivedCommand>;
}

/** Changes that a test makes to the link and its worker. */
export interface Script {
  /** Wraps the inbox of the reports. */
  readonly wrapReports?: (reports: Inbox<WorkerReport>) => MailboxAddress<WorkerReport>;
  /** Sets additional handlers on the worker's end of a connection. */
  readonly onAccept?: (connection: TcpConnection) => void;
  readonly createLink?: (options: RemoteWorkerOptions) => RemoteWorker;
}

/** A link to a worker that answers nothing by itself. */
export async function scripted(t: Teardown, script: Script = {}): Promise<Scripted> {
  const clock = new ManualClock();
  const workerClock = new ManualClock();
  const commands = new Inbox<ReceivedCommand>();
  const listener = new Listener({
    host: HOST,
    port: 0,
    clock: workerClock,
    accept: (connection) => {
      for (const method of COMMANDS) {
        connection.handle(method, (params) => commands.post({ connection, method, params }));
      }
      script.onAccept?.(connection);
    },
  });
  const address = await listener.listen();
  const reports = new Inbox<WorkerReport>();
  const meter = new MemoryMeter();
  const options = {
    worker: brandAs<WorkerId>('worker-1'),
    address,
    clock,
    meter,
    reports: script.wrapReports?.(reports) ?? reports,
    random: () => 0.5,
  };
  const link = script.createLink?.(options) ?? new RemoteWorker(options);
  await link.start();
  t.teardown(async () => {
    await link.close();
    await listener.close(farDeadline(workerClock));
  });
  return { clock, meter, link, reports, commands };
}

export function attachOf(epoch: number): WorkerCommand {
  return {
    kind: 'attach',
    epoch: brandAs<Epoch>(epoch),
    shard: brandAs<ShardId>('shard-1'),
    member: brandAs<MemberId>('member-1'),
  };
}

export function startOf(attempt: string, payload = 'echo'): WorkerCommand {
  return {
    kind: 'start',
    epoch: brandAs<Epoch>(1),
    attempt: brandAs<AttemptId>(attempt),
    demand: { millicores: 1, memoryMib: 1, accelerators: 0, slots: 1 },
    payload,
    startBy: brandAs<WorkerInstant>(1),
    leaseUntil: brandAs<WorkerInstant>(2),
  };
}

/** What a worker answers to `attach`. */
export function attachedOf(changes: object = {}): object {
  const capacity = { millicores: 8, memoryMib: 8, accelerators: 0, slots: 8 };
  return {
    incarnation: 'incarnation-1',
    epoch: 1,
    profile: { id: 'worker-1', dataCentre: 'centre-1', rack: 'rack-1', capacity },
    workerNow: 1000,
    attempts: [],
    leaving: false,
    ...changes,
  };
}

/** A succeeded outcome as a worker sends it. `sent` replaces the answer, but not its digest. */
export function succeededOf(answer: string, sent = answer): object {
  return { kind: 'succeeded', answer: sent, ...digestOf(answer) };
}

/** Attaches the link and returns the worker's end of the connection. */
export async function attached(script: Scripted, epoch = 1): Promise<TcpConnection> {
  script.link.send(attachOf(epoch));
  const { connection } = await script.commands.next();
  connection.notify('attached', attachedOf({ epoch }));
  await script.reports.next();
  return connection;
}

/** A link whose task can be blocked when its connection ends. */
class BlockableWorker extends RemoteWorker {
  private gate: Promise<void> | undefined;
  private readonly end = deferred<undefined>();

  /**
   * Blocks the task from the end of the connection to `until`. Resolves when the connection has
   * ended.
   */
  blockFromDisconnectUntil(until: Promise<void>): Promise<void> {
    this.gate = until;
    return this.end.value;
  }

  protected override async receive(message: RemoteWorkerMessage): Promise<void> {
    if (message.kind === 'connection_ended') {
      this.end.resolve(undefined);
      await this.gate;
    }
    await super.receive(message);
  }
}

/** Like `scripted`, with a link that can be blocked. */
export async function scriptedBlockable(t: Teardown) {
  const created = deferred<BlockableWorker>();
  const createLink = (options: RemoteWorkerOptions): RemoteWorker => {
    const blockable = new BlockableWorker(options);
    created.resolve(blockable);
    return blockable;
  };
  const script = await scripted(t, { createLink });
  return { script, blockable: await created.value };
}
