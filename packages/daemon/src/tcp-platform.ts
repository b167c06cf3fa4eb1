/** Reaches other processes over TCP, or over TLS where the settings name keys. */

import type { Clock } from '@bamboowell/kernel/clock';
import { Dialler } from '@bamboowell/membership/dialler';
import type { Deadline } from '@bamboowell/types/time';
import type { Address } from '@bamboowell/types/vm';
import { connect } from '@bamboowell/wire/connect';
import type { Connection } from '@bamboowell/wire/connection';
import { Listener } from '@bamboowell/wire/listener';
import type { TlsIdentity } from '@bamboowell/wire/tls-identity';
import { RemoteWorker } from '@bamboowell/worker/remote-worker';
import type { Result } from '@bamboowell/types/verdict';
import type { WorkerCommand } from '@bamboowell/types/worker-messages';
import { WorkerLink } from '@bamboowell/worker/worker-link';
import { LinkMaker, Transport, type LinkPlan } from './platform.js';

export interface TcpTransportOptions {
  readonly host: string;
  readonly port: number;
  readonly clock: Clock;
  readonly tls: TlsIdentity | undefined;
}

class TcpDialler extends Dialler {
  constructor(
    private readonly clock: Clock,
    private readonly tls: TlsIdentity | undefined,
  ) {
    super();
  }

  async dial(address: Address, deadline: Deadline): Promise<Connection | undefined> {
    const { clock, tls } = this;
    const target = { address, clock, deadline, ...(tls === undefined ? {} : { tls }) };
    const connection = await connect(target);
    return 'kind' in connection ? undefined : connection;
  }
}

export class TcpTransport extends Transport {
  readonly dialler: Dialler;
  private listener: Listener | undefined;

  constructor(private readonly options: TcpTransportOptions) {
    super();
    this.dialler = new TcpDialler(options.clock, options.tls);
  }

  async listen(accept: (connection: Connection) => void): Promise<void> {
    const { host, port, clock, tls } = this.options;
    this.listener = new Listener({
      host,
      port,
      clock,
      accept,
      ...(tls === undefined ? {} : { tls }),
    });
    await this.listener.listen();
  }

  async close(deadline: Deadline): Promise<void> {
    await this.listener?.close(deadline);
  }
}

/** A link that is a task of this process. */
class TaskLink extends WorkerLink {
  constructor(private readonly task: RemoteWorker) {
    super();
  }

  send(command: WorkerCommand): Result<null> {
    return this.task.send(command);
  }

  close(): Promise<void> {
    return this.task.close();
  }
}

export class TcpLinkMaker extends LinkMaker {
  constructor(
    private readonly clock: Clock,
    private readonly random: () => number,
  ) {
    super();
  }

  open({ worker, address, reports, failed }: LinkPlan): WorkerLink {
    const { clock, random } = this;
    const task = new RemoteWorker({ worker, address, clock, reports, random });
    void task.start(failed);
    return new TaskLink(task);
  }
}
