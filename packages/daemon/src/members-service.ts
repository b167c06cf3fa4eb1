/** The service that listens for other daemons and keeps the connections to them. */

import { readFile } from 'node:fs/promises';
import { Service, type Directory } from '@bamboowell/kernel/service';
import { Supervised } from '@bamboowell/kernel/supervisor';
import type { Address as MailboxAddress } from '@bamboowell/kernel/mailbox';
import type { Clock } from '@bamboowell/kernel/clock';
import { Dialler } from '@bamboowell/membership/dialler';
import { HttpVmList } from '@bamboowell/membership/http-vm-list';
import type { MembersMessage } from '@bamboowell/membership/members-messages';
import { MembersTask } from '@bamboowell/membership/members-task';
import type { Deadline } from '@bamboowell/types/time';
import type { Address } from '@bamboowell/types/vm';
import { connect } from '@bamboowell/wire/connect';
import type { Connection } from '@bamboowell/wire/connection';
import { Listener } from '@bamboowell/wire/listener';
import type { TlsIdentity } from '@bamboowell/wire/tls-identity';
import type { Environment } from './environment.js';
import { COUNTERS, EVENTS, MEMBERS, REPORTER } from './keys.js';
import { watcherOf } from './services.js';

/** Dials over TCP, or over TLS where the settings name keys. */
class TcpDialler extends Dialler {
  constructor(
    private readonly clock: Clock,
    private readonly tls: TlsIdentity | undefined,
  ) {
    super();
  }

  async dial(address: Address, deadline: Deadline): Promise<Connection | undefined> {
    const { clock, tls } = this;
    const connection = await connect({
      address,
      clock,
      deadline,
      ...(tls === undefined ? {} : { tls }),
    });
    return 'kind' in connection ? undefined : connection;
  }
}

export class MembersService extends Service<MailboxAddress<MembersMessage>> {
  readonly key = MEMBERS;
  readonly needs = [EVENTS, COUNTERS, REPORTER];
  private task: Supervised<MembersMessage> | undefined;
  private listener: Listener | undefined;

  constructor(private readonly environment: Environment) {
    super();
  }

  async start(directory: Directory): Promise<MailboxAddress<MembersMessage>> {
    const tls = await this.readIdentity();
    const task = this.makeTask(directory, tls);
    this.task = task;
    await task.start();
    this.listener = await this.listen(task, tls);
    directory.find(REPORTER).post({ kind: 'attach', members: task });
    return task;
  }

  async stop(deadline: Deadline): Promise<void> {
    this.task?.post({ kind: 'left' });
    await this.listener?.close(deadline);
    await this.task?.stop();
  }

  private makeTask(directory: Directory, tls: TlsIdentity | undefined): Supervised<MembersMessage> {
    const { settings, clock, incarnation, random } = this.environment;
    const counters = directory.find(COUNTERS);
    const make = (): MembersTask =>
      new MembersTask(
        {
          member: settings.memberId,
          incarnation,
          region: settings.region,
          dataCentre: settings.dataCentre,
          vmList: new HttpVmList(settings.vmList.url, clock),
          dialler: new TcpDialler(clock, tls),
          random,
          count: (counter) => {
            counters.increment('peer.events', { event: counter });
          },
          subscribers: [],
          handlers: new Map(),
        },
        clock,
      );
    return new Supervised(make, clock, watcherOf(directory));
  }

  private async listen(
    task: MailboxAddress<MembersMessage>,
    tls: TlsIdentity | undefined,
  ): Promise<Listener> {
    const { host, port } = this.environment.settings.peers;
    const listener = new Listener({
      host,
      port,
      clock: this.environment.clock,
      ...(tls === undefined ? {} : { tls }),
      accept: (connection) => {
        task.post({ kind: 'accepted', connection });
      },
    });
    await listener.listen();
    return listener;
  }

  private async readIdentity(): Promise<TlsIdentity | undefined> {
    const { tls } = this.environment.settings.peers;
    if (tls === undefined) {
      return undefined;
    }
    const [certificateAuthority, certificate, privateKey] = await Promise.all(
      [tls.caFile, tls.certFile, tls.keyFile].map((file) => readFile(file, 'utf8')),
    );
    return {
      certificateAuthority: certificateAuthority ?? '',
      certificate: certificate ?? '',
      privateKey: privateKey ?? '',
    };
  }
}
