/** The certificates for connections of callers, and those for connections with other daemons. */

import type { TlsIdentity as CallerIdentity } from '@bamboowell/front/http-server';
import type { TlsIdentity as PeerIdentity } from '@bamboowell/wire/tls-identity';
import {
  readCallerIdentity,
  readPeerIdentity,
  type CallerFiles,
  type PeerFiles,
} from './certificate-files.js';
import { CertificateSet } from './certificates-task.js';

/** Keeps the contents of the files in use, to detect whether they have changed. */
abstract class FileCertificateSet<Identity> extends CertificateSet {
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

export class CallerCertificates extends FileCertificateSet<CallerIdentity> {
  readonly setting = 'callers.tls';
  readonly files: readonly string[];

  constructor(
    private readonly paths: CallerFiles,
    private readonly setTls: (identity: CallerIdentity) => void,
  ) {
    super();
    this.files = [paths.certFile, paths.keyFile];
  }

  protected read(): Promise<CallerIdentity> {
    return readCallerIdentity(this.paths);
  }

  protected use(identity: CallerIdentity): void {
    this.setTls(identity);
  }
}

export class PeerCertificates extends FileCertificateSet<PeerIdentity> {
  readonly setting = 'peers.tls';
  readonly files: readonly string[];

  constructor(
    private readonly paths: PeerFiles,
    private readonly setIdentity: (identity: PeerIdentity) => void,
  ) {
    super();
    this.files = [paths.caFile, paths.certFile, paths.keyFile];
  }

  protected read(): Promise<PeerIdentity> {
    return readPeerIdentity(this.paths);
  }

  protected use(identity: PeerIdentity): void {
    this.setIdentity(identity);
  }
}
