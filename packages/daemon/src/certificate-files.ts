/** Reads certificates and keys from the files that the settings name. */

import { readFile } from 'node:fs/promises';
import { createSecureContext } from 'node:tls';
import type { TlsIdentity as CallerIdentity } from '@bamboowell/front/http-server';
import type { TlsIdentity as PeerIdentity } from '@bamboowell/wire/tls-identity';

/** The files of `callers.tls`. */
export interface CallerFiles {
  readonly certFile: string;
  readonly keyFile: string;
}

/** The files of `peers.tls`. */
export interface PeerFiles extends CallerFiles {
  readonly caFile: string;
}

/** A file that a setting names can't be used. The message starts with the setting's path. */
export class UnusableFileError extends Error {
  constructor(
    readonly setting: string,
    expected: string,
    cause: unknown,
  ) {
    const found = cause instanceof Error ? cause.message : String(cause);
    super(`${setting}: expected ${expected}, found: ${found}`, { cause });
  }
}

/** @throws UnusableFileError */
export async function readCallerIdentity(files: CallerFiles): Promise<CallerIdentity> {
  const cert = await readFileOf('callers.tls.certFile', files.certFile);
  const key = await readFileOf('callers.tls.keyFile', files.keyFile);
  checkPem('callers.tls.certFile', 'a certificate in PEM', { cert });
  checkPem('callers.tls.keyFile', "the certificate's key in PEM", { cert, key });
  return { cert, key };
}

/** @throws UnusableFileError */
export async function readPeerIdentity(files: PeerFiles): Promise<PeerIdentity> {
  const ca = await readFileOf('peers.tls.caFile', files.caFile);
  const cert = await readFileOf('peers.tls.certFile', files.certFile);
  const key = await readFileOf('peers.tls.keyFile', files.keyFile);
  checkPem('peers.tls.caFile', "an authority's certificate in PEM", { ca });
  checkPem('peers.tls.certFile', 'a certificate in PEM', { cert });
  checkPem('peers.tls.keyFile', "the certificate's key in PEM", { cert, key });
  return { certificateAuthority: ca, certificate: cert, privateKey: key };
}

async function readFileOf(setting: string, file: string): Promise<string> {
  try {
    return await readFile(file, 'utf8');
  } catch (error) {
    throw new UnusableFileError(setting, 'a readable file', error);
  }
}

function checkPem(
  setting: string,
  expected: string,
  parts: Parameters<typeof createSecureContext>[0],
): void {
  try {
    createSecureContext(parts);
  } catch (error) {
    throw new UnusableFileError(setting, expected, error);
  }
}
