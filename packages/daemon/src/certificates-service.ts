/** The service that reloads the certificate files named in the settings when they change. */

import type { MailboxAddress } from '@bamboowell/kernel/mailbox';
import { Service, type Directory } from '@bamboowell/kernel/service';
import { SupervisedTask } from '@bamboowell/kernel/supervisor';
import { CallerCertificates, PeerCertificates } from './certificate-sets.js';
import {
  CertificatesTask,
  type CertificateSet,
  type CertificatesMessage,
} from './certificates-task.js';
import type { Environment } from './environment.js';
import { CERTIFICATES, COUNTERS, EVENTS, FRONT, TRANSPORT } from './keys.js';
import { supervisionWatcher } from './services.js';

export class CertificatesService extends Service<MailboxAddress<CertificatesMessage>> {
  readonly key = CERTIFICATES;
  readonly dependencies = [EVENTS, COUNTERS, TRANSPORT, FRONT];
  private task: SupervisedTask<CertificatesMessage> | undefined;

  constructor(private readonly environment: Environment) {
    super();
  }

  async start(directory: Directory): Promise<MailboxAddress<CertificatesMessage>> {
    const { clock } = this.environment;
    const parts = {
      sets: this.setsOf(directory),
      events: directory.find(EVENTS),
      counters: directory.find(COUNTERS),
    };
    const make = () => new CertificatesTask(parts, clock);
    this.task = new SupervisedTask(make, clock, supervisionWatcher(directory));
    await this.task.start();
    return this.task;
  }

  async stop(): Promise<void> {
    await this.task?.stop();
  }

  private setsOf(directory: Directory): readonly CertificateSet[] {
    const { callers, peers } = this.environment.settings;
    const sets: CertificateSet[] = [];
    if (callers.tls !== undefined) {
      sets.push(new CallerCertificates(callers.tls, directory.find(FRONT).setTls));
    }
    const { setIdentity } = directory.find(TRANSPORT);
    if (peers.tls !== undefined && setIdentity !== undefined) {
      sets.push(new PeerCertificates(peers.tls, setIdentity));
    }
    return sets;
  }
}
