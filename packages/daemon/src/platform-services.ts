/** The services through which a daemon reaches the platform and other processes. */

import { Service, type Directory, type ServiceKey } from '@bamboowell/kernel/service';
import { HttpLog } from '@bamboowell/log/http-log';
import type { Log } from '@bamboowell/log/log';
import { HttpVmList } from '@bamboowell/membership/http-vm-list';
import type { VmList } from '@bamboowell/membership/vm-list';
import type { Address } from '@bamboowell/types/vm';
import { readPeerIdentity } from './certificate-files.js';
import { CountingMeter } from './counting-meter.js';
import type { Environment } from './environment.js';
import { COUNTERS, EVENTS, LINKS, LOG, TRANSPORT, VM_LIST } from './keys.js';
import type { LinkMaker, Transport } from './platform.js';
import { TcpLinkMaker, TcpTransport } from './tcp-platform.js';

const NO_DEPENDENCIES: readonly ServiceKey<unknown>[] = [];

export class LogService extends Service<Log> {
  readonly key = LOG;
  readonly dependencies = NO_DEPENDENCIES;
  private log: Log | undefined;

  constructor(private readonly environment: Environment) {
    super();
  }

  start(): Promise<Log> {
    const { hostname, port } = new URL(this.environment.settings.log.url);
    this.log = new HttpLog({ host: hostname, port: Number(port) }, this.environment.clock);
    return Promise.resolve(this.log);
  }

  async stop(): Promise<void> {
    await this.log?.close();
  }
}

export class VmListService extends Service<VmList> {
  readonly key = VM_LIST;
  readonly dependencies = NO_DEPENDENCIES;

  constructor(private readonly environment: Environment) {
    super();
  }

  start(): Promise<VmList> {
    const { settings, clock } = this.environment;
    return Promise.resolve(new HttpVmList(settings.vmList.url, clock));
  }

  stop(): Promise<void> {
    return Promise.resolve();
  }
}

export class TransportService extends Service<Transport> {
  readonly key = TRANSPORT;
  readonly dependencies = [EVENTS, COUNTERS];

  constructor(private readonly environment: Environment) {
    super();
  }

  async start(directory: Directory): Promise<Transport> {
    const { settings, clock } = this.environment;
    const { host, port, tls: files } = settings.peers;
    const events = directory.find(EVENTS);
    const tls = files === undefined ? undefined : await readPeerIdentity(files);
    const unreachable = (address: Address, detail: string): void => {
      events.event('peer.unreachable', { host: address.host, port: address.port, detail });
    };
    const meter = new CountingMeter('peer', directory.find(COUNTERS));
    return new TcpTransport({ host, port, clock, tls, meter, unreachable });
  }

  stop(): Promise<void> {
    return Promise.resolve();
  }
}

export class LinksService extends Service<LinkMaker> {
  readonly key = LINKS;
  readonly dependencies = [COUNTERS];

  constructor(private readonly environment: Environment) {
    super();
  }

  start(directory: Directory): Promise<LinkMaker> {
    const { clock, random } = this.environment;
    const meter = new CountingMeter('worker', directory.find(COUNTERS));
    return Promise.resolve(new TcpLinkMaker(clock, random, meter));
  }

  stop(): Promise<void> {
    return Promise.resolve();
  }
}
