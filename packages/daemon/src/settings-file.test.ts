import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test, { type ExecutionContext } from 'ava';
import { identityOfMember1 } from '@bamboowell/wire/certificates.fixture';
import { readSettingsFile } from './settings-file.js';

async function temporaryDirectory(t: ExecutionContext): Promise<string> {
  const path = await mkdtemp(join(tmpdir(), 'bamboowell-settings-'));
  t.teardown(() => rm(path, { recursive: true }));
  return path;
}

async function problemLinesFor(t: ExecutionContext, changes: object | string): Promise<string[]> {
  const file = join(await temporaryDirectory(t), 'd.json');
  const text = typeof changes === 'string' ? changes : settingsText(changes);
  await writeFile(file, text);
  const read = await readSettingsFile(file, {});
  return read.kind === 'usable' ? [] : read.lines.map((line) => line.replace(file, 'd.json'));
}

function settingsText(changes: object): string {
  const settings = {
    memberId: 'member-1',
    region: 'kenya',
    dataCentre: 'nairobi-1',
    log: { url: 'http://127.0.0.1:9000' },
    vmList: { url: 'http://127.0.0.1:9001' },
    ...changes,
  };
  return JSON.stringify(settings, undefined, 2);
}

test('valid settings without files are usable', async (t) => {
  t.deepEqual(await problemLinesFor(t, {}), []);
});

test('a problem is reported with line and column', async (t) => {
  const lines = await problemLinesFor(t, { callers: { port: 70_000 } });
  t.deepEqual(lines, [
    'd.json:12:13: callers.port: expected a whole number from 0 to 65535, found 70000',
  ]);
  t.deepEqual(await problemLinesFor(t, '{"a": 1,}'), [
    'd.json:1:9: expected a property name, found "}"',
  ]);
});

test('a missing file is reported', async (t) => {
  const file = join(await temporaryDirectory(t), 'absent.json');
  const read = await readSettingsFile(file, {});
  t.regex(read.kind === 'unusable' ? (read.lines[0] ?? '') : '', /expected a readable file/);
});

test('an unusable certificate is reported with the path of its setting', async (t) => {
  const path = await temporaryDirectory(t);
  const certFile = join(path, 'cert.pem');
  const keyFile = join(path, 'key.pem');
  await writeFile(certFile, identityOfMember1().certificate);
  await writeFile(keyFile, identityOfMember1().privateKey);
  const tls = { certFile, keyFile };
  t.deepEqual(await problemLinesFor(t, { callers: { tls } }), []);
  const caFile = join(path, 'absent.pem');
  const lines = await problemLinesFor(t, {
    callers: { tls: { ...tls, keyFile: certFile } },
    peers: { tls: { ...tls, caFile } },
  });
  t.is(lines.length, 2);
  t.regex(lines[0] ?? '', /^d\.json: callers\.tls\.keyFile: expected the certificate's key/);
  t.regex(lines[1] ?? '', /^d\.json: peers\.tls\.caFile: expected a readable file, found: ENOENT/);
});
