/** Assembles the services of one daemon. */

import { randomBytes } from 'node:crypto';
import { SystemClock } from '@bamboowell/kernel/clock';
import { Kernel } from '@bamboowell/kernel/kernel';
import { brandAs, type Incarnation } from '@bamboowell/types/ids';
import type { DaemonSettings } from '@bamboowell/config/daemon-settings';
import { CertificatesService } from './certificates-service.js';
import type { Environment } from './environment.js';
import { FrontService } from './front-service.js';
import { GaugesService } from './gauges-service.js';
import { LinksService, LogService, TransportService, VmListService } from './platform-services.js';
import { MembersService } from './members-service.js';
import {
  CellService,
  CountersService,
  EventsService,
  ReporterService,
  RouterService,
  RoutingService,
  ShardsService,
} from './services.js';

const UNIQUE_BYTES = 9;
const INCARNATION_BYTES = 6;

/** An environment with the system's clock and random numbers. */
export function systemEnvironment(settings: DaemonSettings): Environment {
  return {
    settings,
    clock: new SystemClock(),
    incarnation: brandAs<Incarnation>(randomBytes(INCARNATION_BYTES).toString('hex')),
    random: Math.random,
    unique: () => randomBytes(UNIQUE_BYTES).toString('hex'),
  };
}

/** A kernel with all services registered, ready to start. */
export function buildDaemon(environment: Environment): Kernel {
  const kernel = new Kernel();
  kernel.register(new EventsService(environment.settings.memberId));
  kernel.register(new CountersService(environment));
  kernel.register(new LogService(environment));
  kernel.register(new VmListService(environment));
  kernel.register(new TransportService(environment));
  kernel.register(new LinksService(environment));
  registerCore(kernel, environment);
  kernel.register(new FrontService(environment));
  kernel.register(new CertificatesService(environment));
  kernel.register(new GaugesService(environment));
  return kernel;
}

/** Registers the services that make decisions. They find the log, the VM list and others by name. */
export function registerCore(kernel: Kernel, environment: Environment): void {
  kernel.register(new ReporterService(environment));
  kernel.register(new MembersService(environment));
  kernel.register(new CellService(environment));
  kernel.register(new ShardsService(environment));
  kernel.register(new RoutingService(environment));
  kernel.register(new RouterService(environment));
}
