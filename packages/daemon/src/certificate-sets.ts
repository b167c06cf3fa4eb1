/** The certificates towards callers and those towards other daemons. */

import type { TlsIdentity as CallerIdentity } from '@bamboowell/front/http-server';
import type { TlsIdentity as PeerIdentity } from '@bamboowell/wire/tls-identity';
import {
  readCallerIdentity,
  readPeerIdentity,
  type CallerFiles,
  type PeerFiles,
} from './certificate-files.js';
import { CertificateSet } from './certificates-task.js';

/** Sets that keep the text in use, to see whether it has changed. */
abstract class ReadSet<Identity> extends CertificateSet {
  private inUse = '';

  async reload(): Promise<'unchanged' | 'replaced'> {
    const identity = await this.read();
    const text = JSON.stringify(identity);
    if (text === this.inUse) {
      return 'unchanged';
    }
    this.use(identity);
    this.inUse = text;
    return 'replaced';
  }

  protected abstract read(): Promise<Identity>;
  protected abstract use(identity: Identity): void;
}

export class CallerCertificates extends ReadSet<CallerIdentity> {
  readonly setting = 'callers.tls';
  readonly files: readonly string[];

  constructor(
    private readonly named: CallerFiles,
    private readonly setTls: (identity: CallerIdentity) => void,
  ) {
    super();
    this.files = [named.certFile, named.keyFile];
  }

  protected read(): Promise<CallerIdentity> {
    return readCallerIdentity(this.named);
  }

  protected use(identity: CallerIdentity): void {
    this.setTls(identity);
  }
}

export class PeerCertificates extends ReadSet<PeerIdentity> {
  readonly setting = 'peers.tls';
  readonly files: readonly string[];

  constructor(
    private readonly named: PeerFiles,
    private readonly setIdentity: (identity: PeerIdentity) => void,
  ) {
    super();
    this.files = [named.caFile, named.certFile, named.keyFile];
  }

  protected read(): Promise<PeerIdentity> {
    return readPeerIdentity(this.named);
  }

  protected use(identity: PeerIdentity): void {
    this.setIdentity(identity);
  }
}
