import { mkdtemp, rename, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { connect } from 'node:tls';
import test, { type ExecutionContext } from 'ava';
import { Hono } from 'hono';
import { HttpServer } from '@bamboowell/front/http-server';
import { SystemClock } from '@bamboowell/kernel/clock';
import { EventLog } from '@bamboowell/logger/logger';
import type { Fields } from '@bamboowell/logger/line';
import { MemoryCounters } from '@bamboowell/metrics/counters';
import type { Address } from '@bamboowell/types/vm';
import { identityOfMember1, identityOfMember2 } from '@bamboowell/wire/certificates.fixture';
import type { TlsIdentity } from '@bamboowell/wire/tls-identity';
import { readCallerIdentity, readPeerIdentity, UnusableFileError } from './certificate-files.js';
import { CallerCertificates } from './certificate-sets.js';
import { CertificatesTask } from './certificates-task.js';

interface Event {
  readonly name: string;
  readonly fields: Fields;
}

/** Queues logged events; `next` removes and returns the oldest, and waits for one if there is none. */
class QueuedEvents extends EventLog {
  readonly queued: Event[] = [];
  private wake: () => void = () => undefined;

  event(name: string, fields: Fields = {}): void {
    this.queued.push({ name, fields });
    this.wake();
  }

  async next(): Promise<Event> {
    for (;;) {
      const [first] = this.queued.splice(0, 1);
      if (first !== undefined) {
        return first;
      }
      await new Promise<void>((resolve) => {
        this.wake = resolve;
      });
    }
  }
}

async function temporaryDirectory(t: ExecutionContext): Promise<string> {
  const path = await mkdtemp(join(tmpdir(), 'bamboowell-certificates-'));
  t.teardown(() => rm(path, { recursive: true }));
  return path;
}

/** Replaces a file as operators' tools do: writes another and renames it. */
async function replace(file: string, text: string): Promise<void> {
  await writeFile(`${file}.new`, text);
  await rename(`${file}.new`, file);
}

async function filesOf(t: ExecutionContext, identity: TlsIdentity) {
  const path = await temporaryDirectory(t);
  const files = {
    caFile: join(path, 'ca.pem'),
    certFile: join(path, 'cert.pem'),
    keyFile: join(path, 'key.pem'),
  };
  const write = async ({ certificateAuthority, certificate, privateKey }: TlsIdentity) => {
    await replace(files.caFile, certificateAuthority);
    await replace(files.certFile, certificate);
    await replace(files.keyFile, privateKey);
  };
  await write(identity);
  return { files, write };
}

/** A server for callers whose certificates the task reloads. */
async function serverHarness(t: ExecutionContext) {
  const { files, write } = await filesOf(t, identityOfMember1());
  const server = new HttpServer(new Hono(), {
    host: '127.0.0.1',
    port: 0,
    tls: await readCallerIdentity(files),
    maxConnections: 10,
    headersTimeoutMillis: 5_000,
    requestTimeoutMillis: 5_000,
    idleTimeoutMillis: 5_000,
  });
  const address = await server.listen();
  const events = new QueuedEvents();
  const counters = new MemoryCounters();
  const set = new CallerCertificates(files, (tls) => {
    server.setTls(tls);
  });
  const task = new CertificatesTask({ sets: [set], events, counters }, new SystemClock());
  await task.start();
  t.teardown(async () => {
    await task.stop();
    server.abort();
    await server.drain();
  });
  t.is((await events.next()).name, 'certificates.replaced');
  return { files, write, address, events, counters, task };
}

/** The common name in the certificate that a new connection receives. */
function commonNameAt(address: Address): Promise<string> {
  return new Promise((resolve, reject) => {
    const ca = identityOfMember1().certificateAuthority;
    const socket = connect({ ...address, ca, checkServerIdentity: () => undefined }, () => {
      const name: string | string[] | undefined = socket.getPeerCertificate().subject.CN;
      socket.destroy();
      resolve(String(name));
    });
    socket.on('error', reject);
  });
}

test('changed files are used for new connections without a restart', async (t) => {
  const { address, write, events } = await serverHarness(t);
  t.is(await commonNameAt(address), 'member-1');
  await write(identityOfMember2());
  for (let event = await events.next(); event.name !== 'certificates.replaced';) {
    event = await events.next();
  }
  t.is(await commonNameAt(address), 'member-2');
});

test('an unusable file is logged and counted, and the old one stays in use', async (t) => {
  const { address, files, events, counters, task } = await serverHarness(t);
  await replace(files.certFile, 'no certificate');
  task.post({ kind: 'reload' });
  const { name, fields } = await events.next();
  t.is(name, 'certificates.refused');
  t.is(fields.setting, 'callers.tls');
  t.regex(String(fields.error), /^callers\.tls\.certFile: expected a certificate in PEM/);
  t.true(counters.count('certificates.refused') >= 1);
  t.is(await commonNameAt(address), 'member-1');
});

test('a reload without a change replaces nothing', async (t) => {
  const { events, counters, task } = await serverHarness(t);
  task.post({ kind: 'reload' });
  await task.stop();
  t.is(counters.count('certificates.replaced'), 1);
  t.is(events.queued.length, 0);
});

test('an unusable file is reported with the path of its setting', async (t) => {
  const { files } = await filesOf(t, identityOfMember1());
  const messageOf = async (read: Promise<unknown>) =>
    (await t.throwsAsync(read, { instanceOf: UnusableFileError })).message;
  const absent = `${files.certFile}.absent`;
  t.regex(
    await messageOf(readCallerIdentity({ ...files, certFile: absent })),
    /^callers\.tls\.certFile: expected a readable file, found: ENOENT/,
  );
  t.regex(
    await messageOf(readPeerIdentity({ ...files, caFile: absent })),
    /^peers\.tls\.caFile: expected a readable file/,
  );
  await replace(files.keyFile, identityOfMember2().privateKey);
  const mismatch = await messageOf(readPeerIdentity(files));
  t.regex(mismatch, /^peers\.tls\.keyFile: expected the certificate's key in PEM/);
  t.notRegex(mismatch, /PRIVATE/);
});
