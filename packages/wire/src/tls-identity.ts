/** The keys and certificates by which both ends of a TLS connection authenticate each other. */

import { TLSSocket } from 'node:tls';

export interface TlsIdentity {
  /** Certificate authority that signs all ends, PEM. */
  readonly certificateAuthority: string;
  /** Own certificate, PEM. */
  readonly certificate: string;
  /** Own private key, PEM. */
  readonly privateKey: string;
}

/**
 * Returns the common name in the certificate of the other end; empty if there is not exactly one.
 */
export function peerNameOf(socket: TLSSocket): string {
  const name: string | string[] | undefined = socket.getPeerCertificate().subject.CN;
  return typeof name === 'string' ? name : '';
}
