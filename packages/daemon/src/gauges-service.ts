/** The service that sends gauges. */

import type { Address } from '@bamboowell/kernel/mailbox';
import { Service, type Directory } from '@bamboowell/kernel/service';
import { Supervised } from '@bamboowell/kernel/supervisor';
import type { Environment } from './environment.js';
import { GaugesTask, type GaugesMessage } from './gauges-task.js';
import { COUNTERS, EVENTS, GAUGES, ROUTING } from './keys.js';
import { watcherOf } from './services.js';

export class GaugesService extends Service<Address<GaugesMessage>> {
  readonly key = GAUGES;
  readonly needs = [EVENTS, COUNTERS, ROUTING];
  private task: Supervised<GaugesMessage> | undefined;

  constructor(private readonly environment: Environment) {
    super();
  }

  async start(directory: Directory): Promise<Address<GaugesMessage>> {
    const { clock } = this.environment;
    const make = () => new GaugesTask(directory.find(ROUTING), directory.find(COUNTERS), clock);
    this.task = new Supervised(make, clock, watcherOf(directory));
    await this.task.start();
    return this.task;
  }

  async stop(): Promise<void> {
    await this.task?.stop();
  }
}
