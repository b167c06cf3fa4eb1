/** The service that sends gauges. */

import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import { Service, type Directory } from '@bamboowell/kernel/service';
import { SupervisedTask } from '@bamboowell/kernel/supervisor';
import type { Environment } from './environment.js';
import { GaugesTask, type GaugesMessage } from './gauges-task.js';
import { COUNTERS, EVENTS, GAUGES, ROUTING } from './keys.js';
import { supervisionWatcher } from './services.js';

export class GaugesService extends Service<MailboxAddress<GaugesMessage>> {
  readonly key = GAUGES;
  readonly dependencies = [EVENTS, COUNTERS, ROUTING];
  private task: SupervisedTask<GaugesMessage> | undefined;

  constructor(private readonly environment: Environment) {
    super();
  }

  async start(directory: Directory): Promise<MailboxAddress<GaugesMessage>> {
    const { clock } = this.environment;
    const make = () => new GaugesTask(directory.find(ROUTING), directory.find(COUNTERS), clock);
    this.task = new SupervisedTask(make, clock, supervisionWatcher(directory));
    await this.task.start();
    return this.task;
  }

  async stop(): Promise<void> {
    await this.task?.stop();
  }
}
