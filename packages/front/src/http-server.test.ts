import { connect, type Socket } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import type { Address } from '@bamboowell/types/vm';
import { CALLER, frontHarness, MAX_BODY_BYTES, submission } from './front.fixture.js';
import { HttpServer, type HttpServerOptions } from './http-server.js';

const UNREACHED_TIMEOUT_MILLIS = 600_000;

/** Starts a server whose limits, unless given in `limits`, no test reaches. */
async function startServer(t: ExecutionContext, limits: Partial<HttpServerOptions> = {}) {
  const { app, calls } = frontHarness();
  const server = new HttpServer(app, {
    host: '127.0.0.1',
    port: 0,
    tls: null,
    maxConnections: 100,
    headersTimeoutMillis: UNREACHED_TIMEOUT_MILLIS,
    requestTimeoutMillis: UNREACHED_TIMEOUT_MILLIS,
    idleTimeoutMillis: 5_000,
    ...limits,
  });
  const address = await server.listen();
  t.teardown(async () => {
    server.abort();
    await server.drain();
  });
  return { address, calls, server };
}

/** A plain socket that buffers what it receives. */
class RawClient {
  private text = '';
  private isEnded = false;
  private wake: () => void = () => undefined;

  constructor(readonly socket: Socket) {
    socket.setEncoding('utf8');
    socket.on('data', (chunk: string) => {
      this.text += chunk;
      this.wake();
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      this.isEnded = true;
      this.wake();
    });
  }

  /**
   * Waits for the first match of the pattern and removes it from the buffer. Returns the whole buffer
   * if the connection closes without a match.
   */
  async receive(pattern: RegExp): Promise<string> {
    while (!pattern.test(this.text) && !this.isEnded) {
      await this.nextChange();
    }
    const [found = this.text] = pattern.exec(this.text) ?? [];
    this.text = this.text.replace(pattern, '');
    return found;
  }

  /** Waits until the connection closes and returns everything in the buffer. */
  async receiveToEnd(): Promise<string> {
    while (!this.isEnded) {
      await this.nextChange();
    }
    return this.text;
  }

  private nextChange(): Promise<void> {
    return new Promise((resolve) => {
      this.wake = resolve;
    });
  }
}

async function openConnection(t: ExecutionContext, address: Address): Promise<RawClient> {
  const socket = connect(address);
  t.teardown(() => {
    socket.destroy();
  });
  const client = new RawClient(socket);
  await new Promise<void>((resolve) => {
    socket.once('connect', resolve);
  });
  return client;
}

/** Node's server closes an idle connection up to this long after its keep-alive timeout. */
const SERVER_MARGIN_MILLIS = 1_000;

/** Blocks the whole process, timers and sockets included, as a suspension does. */
function blockProcess(millis: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, millis);
}

const REQUEST_HEAD = `POST ${CALLER}Submit HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\n`;
const HEALTH_REQUEST = 'GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n';
const HEALTHY_RESPONSE = /HTTP\/1\.1 200 OK[\s\S]*?alive/;
const COMPLETE_RESPONSE = /HTTP\/1\.1 \d+[\s\S]*?\r\n\r\n\{[^\n]*\}/;

function withLength(body: string): string {
  return `${REQUEST_HEAD}content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`;
}

function inChunks(body: string): string {
  const size = Buffer.byteLength(body).toString(16);
  return `${REQUEST_HEAD}transfer-encoding: chunked\r\n\r\n${size}\r\n${body}\r\n0\r\n\r\n`;
}

async function assertStillServing(t: ExecutionContext, address: Address): Promise<void> {
  const client = await openConnection(t, address);
  client.socket.write(HEALTH_REQUEST);
  t.regex(await client.receive(HEALTHY_RESPONSE), HEALTHY_RESPONSE);
}

const MAX_ATTEMPTS = 1_000;

/**
 * Opens connections until one is answered. The server may be late to notice that an earlier
 * connection has closed, and rejects new ones until then.
 */
async function firstResponse(t: ExecutionContext, address: Address): Promise<string> {
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    const client = await openConnection(t, address);
    client.socket.write(HEALTH_REQUEST);
    const answer = await client.receive(HEALTHY_RESPONSE);
    if (answer !== '') {
      return answer;
    }
  }
  return '';
}

for (const [title, write] of [
  ['with a content length', withLength],
  ['in chunks', inChunks],
] as const) {
  test(`an oversize body ${title} is refused, and its connection stays usable`, async (t) => {
    const { address, calls } = await startServer(t);
    const client = await openConnection(t, address);
    client.socket.write(write(JSON.stringify(submission({ payload: 'x'.repeat(2_000_000) }))));
    const refusal = await client.receive(COMPLETE_RESPONSE);
    t.regex(refusal, /^HTTP\/1\.1 429/);
    t.true(refusal.includes(`expected a body of at most ${MAX_BODY_BYTES} bytes`));
    t.is(calls.length, 0);
    client.socket.write(write(JSON.stringify(submission())));
    t.regex(await client.receive(COMPLETE_RESPONSE), /^HTTP\/1\.1 200/);
  });
}

test('a connection is closed if its headers do not arrive in time', async (t) => {
  const { address } = await startServer(t, { headersTimeoutMillis: 100 });
  const client = await openConnection(t, address);
  client.socket.write('POST /x HTTP/1.1\r\nhost:');
  t.regex(await client.receiveToEnd(), /^HTTP\/1\.1 408/);
  await assertStillServing(t, address);
});

test('a connection that sends nothing is closed', async (t) => {
  const { address } = await startServer(t, { headersTimeoutMillis: 100 });
  const client = await openConnection(t, address);
  t.regex(await client.receiveToEnd(), /^HTTP\/1\.1 408/);
});

test('a connection is closed if its body does not arrive in time, and nothing runs', async (t) => {
  const { address, calls } = await startServer(t, {
    headersTimeoutMillis: 100,
    requestTimeoutMillis: 200,
  });
  const client = await openConnection(t, address);
  client.socket.write(`${REQUEST_HEAD}content-length: 1000\r\n\r\n{"queue"`);
  t.regex(await client.receiveToEnd(), /^HTTP\/1\.1 408/);
  t.is(calls.length, 0);
  await assertStillServing(t, address);
});

test('an idle connection is closed', async (t) => {
  const { address } = await startServer(t, { idleTimeoutMillis: 50 });
  const client = await openConnection(t, address);
  client.socket.write(HEALTH_REQUEST);
  t.regex(await client.receiveToEnd(), HEALTHY_RESPONSE);
});

test('a request that arrived while the process was suspended is answered', async (t) => {
  const idleMillis = 200;
  const { address } = await startServer(t, { idleTimeoutMillis: idleMillis });
  const client = await openConnection(t, address);
  client.socket.write(HEALTH_REQUEST);
  t.regex(await client.receive(HEALTHY_RESPONSE), HEALTHY_RESPONSE);
  client.socket.write(HEALTH_REQUEST);
  blockProcess(idleMillis + 2 * SERVER_MARGIN_MILLIS);
  t.regex(await client.receive(HEALTHY_RESPONSE), HEALTHY_RESPONSE);
});

test('headers above the maximum size are refused', async (t) => {
  const { address } = await startServer(t);
  const client = await openConnection(t, address);
  client.socket.write(`${REQUEST_HEAD}x-long: ${'x'.repeat(20_000)}\r\n\r\n`);
  t.regex(await client.receiveToEnd(), /^HTTP\/1\.1 431/);
  await assertStillServing(t, address);
});

test('data that is not HTTP is refused', async (t) => {
  const { address } = await startServer(t);
  const client = await openConnection(t, address);
  client.socket.write('\u0000\u0001 hello\r\n\r\n');
  t.regex(await client.receiveToEnd(), /^HTTP\/1\.1 400/);
  await assertStillServing(t, address);
});

test('connections above the maximum are closed, and are accepted again once another has closed', async (t) => {
  const { address } = await startServer(t, { maxConnections: 1 });
  const first = await openConnection(t, address);
  first.socket.write(HEALTH_REQUEST);
  t.regex(await first.receive(HEALTHY_RESPONSE), HEALTHY_RESPONSE);
  const second = await openConnection(t, address);
  second.socket.write(HEALTH_REQUEST);
  t.is(await second.receiveToEnd(), '');
  first.socket.write(HEALTH_REQUEST.replace('\r\n\r\n', '\r\nconnection: close\r\n\r\n'));
  t.regex(await first.receiveToEnd(), HEALTHY_RESPONSE);
  t.regex(await firstResponse(t, address), HEALTHY_RESPONSE);
});

test('drain answers the request in progress and accepts no further connection', async (t) => {
  const { address, server } = await startServer(t);
  const client = await openConnection(t, address);
  const body = JSON.stringify(submission());
  client.socket.write(
    `${REQUEST_HEAD}expect: 100-continue\r\ncontent-length: ${body.length}\r\n\r\n`,
  );
  await client.receive(/HTTP\/1\.1 100 Continue\r\n\r\n/);
  const drained = server.drain();
  client.socket.write(body);
  t.regex(await client.receive(COMPLETE_RESPONSE), /^HTTP\/1\.1 200/);
  await drained;
  const late = connect(address);
  const outcome = new Promise<string>((resolve) => {
    late.once('error', () => {
      resolve('refused');
    });
    late.once('connect', () => {
      resolve('connected');
    });
  });
  t.is(await outcome, 'refused');
});
