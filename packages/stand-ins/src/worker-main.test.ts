import test from 'ava';
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import { SystemClock } from '@bamboowell/kernel/clock';
import type { Address } from '@bamboowell/types/vm';
import { HOST, farDeadline, openConnection, type Teardown } from '@bamboowell/wire/wire.fixture';

const MAIN = fileURLToPath(new URL('./worker-main.js', import.meta.url));
const NAMES = ['--id', 'worker-1', '--data-centre', 'centre-1', '--rack', 'rack-1'];

interface Process {
  readonly child: ChildProcess;
  readonly address: Address;
}

/** A worker process that accepts connections. */
async function processOf(t: Teardown): Promise<Process> {
  const child = spawn(process.execPath, [MAIN, ...NAMES], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  t.teardown(() => {
    child.kill('SIGKILL');
  });
  const [line] = (await once(createInterface({ input: child.stdout }), 'line')) as [string];
  const found = /^listening host=(\S+) port=(\d+)$/.exec(line);
  return { child, address: { host: found?.[1] ?? '', port: Number(found?.[2]) } };
}

async function incarnationOf(t: Teardown, address: Address): Promise<unknown> {
  const clock = new SystemClock();
  const connection = await openConnection(t, clock, address);
  const answer = await connection.request('runs', {}, farDeadline(clock));
  connection.close();
  return answer.kind === 'answered' && (answer.value as { incarnation: string }).incarnation;
}

test('a killed worker process ends its connections, and the next one has another incarnation', async (t) => {
  const { child, address } = await processOf(t);
  t.is(address.host, HOST);
  const before = await incarnationOf(t, address);
  const connection = await openConnection(t, new SystemClock(), address);
  child.kill('SIGKILL');
  // The operating system resets the connection if the process had unread bytes of ours.
  t.true(['closed', 'reset'].includes(await connection.ended));
  const again = await processOf(t);
  const after = await incarnationOf(t, again.address);
  t.is(typeof after, 'string');
  t.not(after, before);
});

test('a worker process exits by itself on SIGTERM', async (t) => {
  const { child, address } = await processOf(t);
  await openConnection(t, new SystemClock(), address);
  child.kill('SIGTERM');
  t.deepEqual(await once(child, 'exit'), [0, null]);
});

test('a worker process with an invalid setting exits with an error', async (t) => {
  const child = spawn(process.execPath, [MAIN, ...NAMES, '--port', 'any'], { stdio: 'ignore' });
  const [code] = (await once(child, 'exit')) as [number];
  t.is(code, 1);
});
