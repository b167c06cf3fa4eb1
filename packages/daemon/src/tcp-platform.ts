/** Connects to other processes over TCP, or over TLS where the settings name certificates. */

import type { Clock } from '@bamboowell/kernel/clock';
import { Dialler } from '@bamboowell/membership/dialler';
import { brandAs, type MemberId } from '@bamboowell/types/ids';
import type { Deadline } from '@bamboowell/types/time';
import type { Address } from '@bamboowell/types/vm';
import { connect, type Target } from '@bamboowell/wire/connect';
import type { Connection } from '@bamboowell/wire/connection';
import { Listener } from '@bamboowell/wire/listener';
import type { Meter } from '@bamboowell/wire/meter';
import type { TlsIdentity } from '@bamboowell/wire/tls-identity';
import { RemoteWorker } from '@bamboowell/worker/remote-worker';
import type { Result } from '@bamboowell/types/verdict';
import type { WorkerCommand } from '@bamboowell/types/worker-messages';
import { WorkerLink } from '@bamboowell/worker/worker-link';
import { LinkMaker, Transport, type Accept, type LinkOptions } from './platform.js';

export interface TcpTransportOptions {
  readonly host: string;
  readonly port: number;
  readonly clock: Clock;
  readonly tls: TlsIdentity | undefined;
  readonly meter: Meter;
  /** Called with the reason when another daemon could not be reached. */
  readonly unreachable: (address: Address, detail: string) => void;
}

class TcpDialler extends Dialler {
  constructor(
    private readonly options: TcpTransportOptions,
    /** The identity for new connections. */
    private tls: TlsIdentity | undefined,
  ) {
    super();
  }

  setIdentity(tls: TlsIdentity): void {
    this.tls = tls;
  }

  async dial(
    address: Address,
    deadline: Deadline,
    expected?: MemberId,
  ): Promise<Connection | undefined> {
    const { clock, meter, unreachable } = this.options;
    const connection = await connect({
      address,
      clock,
      meter,
      deadline,
      ...this.tlsOptions(expected),
    });
    if ('kind' in connection) {
      unreachable(address, connection.detail);
      return undefined;
    }
    return connection;
  }

  private tlsOptions(expected: MemberId | undefined): Partial<Target> {
    const { tls } = this;
    if (tls === undefined) {
      return {};
    }
    return expected === undefined ? { tls } : { tls, expectedPeer: expected };
  }
}

export class TcpTransport extends Transport {
  readonly dialler: TcpDialler;
  override readonly setIdentity = (identity: TlsIdentity): void => {
    this.dialler.setIdentity(identity);
    this.listener?.setTls(identity);
  };
  private listener: Listener | undefined;

  constructor(private readonly options: TcpTransportOptions) {
    super();
    this.dialler = new TcpDialler(options, options.tls);
  }

  /** Resolves to the address that it listens on. */
  async listen(accept: Accept): Promise<Address> {
    const { host, port, clock, meter, tls } = this.options;
    this.listener = new Listener({
      host,
      port,
      clock,
      meter,
      accept: (connection) => {
        const { peer } = connection;
        accept(connection, peer === undefined ? undefined : brandAs<MemberId>(peer));
      },
      ...(tls === undefined ? {} : { tls }),
    });
    return this.listener.listen();
  }

  async close(deadline: Deadline): Promise<void> {
    await this.listener?.close(deadline);
  }
}

/** A link that a RemoteWorker task of this process serves. */
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
    private readonly meter: Meter,
  ) {
    super();
  }

  open({ worker, address, reports, failed }: LinkOptions): WorkerLink {
    const { clock, random, meter } = this;
    const task = new RemoteWorker({ worker, address, clock, reports, random, meter });
    void task.start(failed);
    return new TaskLink(task);
  }
}
