/** The service that maintains the connections to other daemons. */

import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import { Service, type Directory } from '@bamboowell/kernel/service';
import { SupervisedTask } from '@bamboowell/kernel/supervisor';
import type { MembersMessage } from '@bamboowell/membership/members-messages';
import { MembersTask } from '@bamboowell/membership/members-task';
import type { Deadline } from '@bamboowell/types/time';
import type { Environment } from './environment.js';
import { COUNTERS, EVENTS, MEMBERS, REPORTER, TRANSPORT, VM_LIST } from './keys.js';
import type { Transport } from './platform.js';
import { supervisionWatcher } from './services.js';

export class MembersService extends Service<MailboxAddress<MembersMessage>> {
  readonly key = MEMBERS;
  readonly dependencies = [EVENTS, COUNTERS, REPORTER, TRANSPORT, VM_LIST];
  private task: SupervisedTask<MembersMessage> | undefined;
  private transport: Transport | undefined;

  constructor(private readonly environment: Environment) {
    super();
  }

  async start(directory: Directory): Promise<MailboxAddress<MembersMessage>> {
    const transport = directory.find(TRANSPORT);
    const task = this.makeTask(directory, transport);
    this.task = task;
    this.transport = transport;
    await task.start();
    await transport.listen((connection, certified) => {
      task.post({
        kind: 'accepted',
        connection,
        ...(certified === undefined ? {} : { certified }),
      });
    });
    directory.find(REPORTER).post({ kind: 'attach', members: task });
    return task;
  }

  async stop(deadline: Deadline): Promise<void> {
    this.task?.post({ kind: 'left' });
    await this.transport?.close(deadline);
    await this.task?.stop();
  }

  private makeTask(directory: Directory, transport: Transport): SupervisedTask<MembersMessage> {
    const { settings, clock, incarnation, random } = this.environment;
    const counters = directory.find(COUNTERS);
    const options = {
      member: settings.memberId,
      incarnation,
      region: settings.region,
      dataCentre: settings.dataCentre,
      vmList: directory.find(VM_LIST),
      dialler: transport.dialler,
      random,
      count: (event: string) => {
        counters.increment('peer.events', { event });
      },
      subscribers: [],
      handlers: new Map(),
    };
    return new SupervisedTask<MembersMessage>(
      () => new MembersTask(options, clock),
      clock,
      supervisionWatcher(directory),
      ({ kind }) => kind === 'subscribe' || kind === 'serve',
    );
  }
}
