import { connect, type Socket } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import type { Address } from '@bamboowell/types/vm';
import { CALLER, frontHarness, MAX_BODY_BYTES, submission } from './front.fixture.js';
import { HttpServer, type HttpServerOptions } from './http-server.js';

const FAR_MILLIS = 600_000;

/** A server with bounds that no test reaches but by those given. */
async function served(t: ExecutionContext, bounds: Partial<HttpServerOptions> = {}) {
  const { app, calls: asked } = frontHarness();
  const server = new HttpServer(app, {
    host: '127.0.0.1',
    port: 0,
    tls: null,
    maxConnections: 100,
    headersTimeoutMillis: FAR_MILLIS,
    requestTimeoutMillis: FAR_MILLIS,
    idleTimeoutMillis: 5_000,
    ...bounds,
  });
  const address = await server.listen();
  t.teardown(async () => {
    server.abort();
    await server.drain();
  });
  return { address, asked, server };
}

/** A plain socket that keeps what it received. */
class Caller {
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

  /** The first text that the pattern matches; what came before the end if none does. */
  async receive(pattern: RegExp): Promise<string> {
    while (!pattern.test(this.text) && !this.isEnded) {
      await this.changed();
    }
    const [found = this.text] = pattern.exec(this.text) ?? [];
    this.text = this.text.replace(pattern, '');
    return found;
  }

  /** All that came until the other end closed. */
  async rest(): Promise<string> {
    while (!this.isEnded) {
      await this.changed();
    }
    return this.text;
  }

  private changed(): Promise<void> {
    return new Promise((resolve) => {
      this.wake = resolve;
    });
  }
}

async function called(t: ExecutionContext, address: Address): Promise<Caller> {
  const socket = connect(address);
  t.teardown(() => {
    socket.destroy();
  });
  const caller = new Caller(socket);
  await new Promise<void>((resolve) => {
    socket.once('connect', resolve);
  });
  return caller;
}

/** Node's server closes an idle connection up to this long after its time, milliseconds. */
const SERVER_MARGIN_MILLIS = 1_000;

/** Holds the whole process, timers and sockets, as a suspension does. */
function standStill(millis: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, millis);
}

const START = `POST ${CALLER}Submit HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\n`;
const HEALTH = 'GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n';
const ALIVE = /HTTP\/1\.1 200 OK[\s\S]*?alive/;
const WHOLE_ANSWER = /HTTP\/1\.1 \d+[\s\S]*?\r\n\r\n\{[^\n]*\}/;

function withLength(body: string): string {
  return `${START}content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`;
}

function inChunks(body: string): string {
  const size = Buffer.byteLength(body).toString(16);
  return `${START}transfer-encoding: chunked\r\n\r\n${size}\r\n${body}\r\n0\r\n\r\n`;
}

async function servesOn(t: ExecutionContext, address: Address): Promise<void> {
  const caller = await called(t, address);
  caller.socket.write(HEALTH);
  t.regex(await caller.receive(ALIVE), ALIVE);
}

const MAX_TRIES = 1_000;

/** The first answer to a new connection: the server may notice late that an earlier one closed. */
async function firstAnswer(t: ExecutionContext, address: Address): Promise<string> {
  for (let attempt = 0; attempt < MAX_TRIES; attempt += 1) {
    const caller = await called(t, address);
    caller.socket.write(HEALTH);
    const answer = await caller.receive(ALIVE);
    if (answer !== '') {
      return answer;
    }
  }
  return '';
}

for (const [title, write] of [
  ['of a told length', withLength],
  ['in chunks', inChunks],
] as const) {
  test(`an oversize body ${title} is refused, and its connection serves on`, async (t) => {
    const { address, asked } = await served(t);
    const caller = await called(t, address);
    caller.socket.write(write(JSON.stringify(submission({ payload: 'x'.repeat(2_000_000) }))));
    const refusal = await caller.receive(WHOLE_ANSWER);
    t.regex(refusal, /^HTTP\/1\.1 429/);
    t.true(refusal.includes(`expected a body of at most ${MAX_BODY_BYTES} bytes`));
    t.is(asked.length, 0);
    caller.socket.write(write(JSON.stringify(submission())));
    t.regex(await caller.receive(WHOLE_ANSWER), /^HTTP\/1\.1 200/);
  });
}

test('headers that do not end in time end their connection', async (t) => {
  const { address } = await served(t, { headersTimeoutMillis: 100 });
  const caller = await called(t, address);
  caller.socket.write('POST /x HTTP/1.1\r\nhost:');
  t.regex(await caller.rest(), /^HTTP\/1\.1 408/);
  await servesOn(t, address);
});

test('a connection that says nothing is ended', async (t) => {
  const { address } = await served(t, { headersTimeoutMillis: 100 });
  const caller = await called(t, address);
  t.regex(await caller.rest(), /^HTTP\/1\.1 408/);
});

test('a body that does not end in time ends its connection and runs nothing', async (t) => {
  const { address, asked } = await served(t, {
    headersTimeoutMillis: 100,
    requestTimeoutMillis: 200,
  });
  const caller = await called(t, address);
  caller.socket.write(`${START}content-length: 1000\r\n\r\n{"queue"`);
  t.regex(await caller.rest(), /^HTTP\/1\.1 408/);
  t.is(asked.length, 0);
  await servesOn(t, address);
});

test('an idle connection is ended', async (t) => {
  const { address } = await served(t, { idleTimeoutMillis: 50 });
  const caller = await called(t, address);
  caller.socket.write(HEALTH);
  t.regex(await caller.rest(), ALIVE);
});

test('a request that arrived while the process stood still is answered', async (t) => {
  const idleMillis = 200;
  const { address } = await served(t, { idleTimeoutMillis: idleMillis });
  const caller = await called(t, address);
  caller.socket.write(HEALTH);
  t.regex(await caller.receive(ALIVE), ALIVE);
  caller.socket.write(HEALTH);
  standStill(idleMillis + 2 * SERVER_MARGIN_MILLIS);
  t.regex(await caller.receive(ALIVE), ALIVE);
});

test('headers above their bound are refused', async (t) => {
  const { address } = await served(t);
  const caller = await called(t, address);
  caller.socket.write(`${START}x-long: ${'x'.repeat(20_000)}\r\n\r\n`);
  t.regex(await caller.rest(), /^HTTP\/1\.1 431/);
  await servesOn(t, address);
});

test('what is no HTTP is refused', async (t) => {
  const { address } = await served(t);
  const caller = await called(t, address);
  caller.socket.write('\u0000\u0001 hello\r\n\r\n');
  t.regex(await caller.rest(), /^HTTP\/1\.1 400/);
  await servesOn(t, address);
});

test('connections above their bound are closed, and a closed one makes room', async (t) => {
  const { address } = await served(t, { maxConnections: 1 });
  const first = await called(t, address);
  first.socket.write(HEALTH);
  t.regex(await first.receive(ALIVE), ALIVE);
  const second = await called(t, address);
  second.socket.write(HEALTH);
  t.is(await second.rest(), '');
  first.socket.write(HEALTH.replace('\r\n\r\n', '\r\nconnection: close\r\n\r\n'));
  t.regex(await first.rest(), ALIVE);
  t.regex(await firstAnswer(t, address), ALIVE);
});

test('draining answers the request in hand and takes no further connection', async (t) => {
  const { address, server } = await served(t);
  const caller = await called(t, address);
  const body = JSON.stringify(submission());
  caller.socket.write(`${START}expect: 100-continue\r\ncontent-length: ${body.length}\r\n\r\n`);
  await caller.receive(/HTTP\/1\.1 100 Continue\r\n\r\n/);
  const drained = server.drain();
  caller.socket.write(body);
  t.regex(await caller.receive(WHOLE_ANSWER), /^HTTP\/1\.1 200/);
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
