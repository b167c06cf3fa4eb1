/** How the client classifies each answer of the log, and a missing one. */

import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { ManualClock } from '@bamboowell/kernel/manual-clock';
import { brandAs, type Offset, type StreamName } from '@bamboowell/types/ids';
import { deadlineAfter } from '@bamboowell/types/time';
import { HttpLog } from './http-log.js';
import type { LogAppendResult, Page } from './log.js';

const STREAM = brandAs<StreamName>('notes');
const NOT_TAKEN = '{"error":"not_taken"}';

type Handler = (request: IncomingMessage, response: ServerResponse) => void;

/** A server that handles each request with `handle`, and a client of it. */
async function client(t: ExecutionContext, handle: Handler) {
  const server = createServer(handle);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const clock = new ManualClock(1000);
  const log = new HttpLog({ host: '127.0.0.1', port }, clock);
  t.teardown(async () => {
    await log.close();
    server.closeAllConnections();
    server.close();
  });
  return {
    clock,
    append: () => log.append(STREAM, 'body', deadlineAfter(clock.now(), 1000)),
    read: (from: number) => log.read(STREAM, brandAs<Offset>(from), deadlineAfter(clock.now(), 0)),
    stop: () =>
      new Promise<void>((resolve) => {
        server.closeAllConnections();
        server.close(() => {
          resolve();
        });
      }),
  };
}

function answer(status: number, body: string): Handler {
  return (_, response) => {
    response.writeHead(status).end(body);
  };
}

const APPENDS: readonly (readonly [string, number, string, LogAppendResult['kind']])[] = [
  ['an offset', 200, '{"offset":7}', 'appended'],
  ['an offset below zero', 200, '{"offset":-1}', 'unknown'],
  ['success without an offset', 200, 'fine', 'unknown'],
  ['a refusal that says so', 503, NOT_TAKEN, 'refused'],
  ['a load balancer that has no back end', 503, 'Service Unavailable', 'unknown'],
  ['an error that says that nothing was appended', 500, NOT_TAKEN, 'unknown'],
  ['a gateway that timed out', 504, '', 'unknown'],
  ['a body that is too long', 413, '', 'refused'],
  ['a malformed request', 400, '', 'refused'],
];

for (const [name, status, body, expected] of APPENDS) {
  test(`append: ${name} counts as ${expected}`, async (t) => {
    const { append } = await client(t, answer(status, body));
    t.is((await append()).kind, expected);
  });
}

const READS: readonly (readonly [string, number, string, Page['kind']])[] = [
  ['a page', 200, '{"entries":[{"offset":5,"body":"a"}],"next":6,"atEnd":true}', 'entries'],
  [
    'a page with a gap',
    200,
    '{"entries":[{"offset":9,"body":"a"}],"next":10,"atEnd":true}',
    'entries',
  ],
  [
    'an entry before the offset',
    200,
    '{"entries":[{"offset":4,"body":"a"}],"next":6,"atEnd":true}',
    'unavailable',
  ],
  [
    'entries out of order',
    200,
    '{"entries":[{"offset":6,"body":"a"},{"offset":5,"body":"b"}],"next":7,"atEnd":true}',
    'unavailable',
  ],
  [
    'an entry that is not below the next offset',
    200,
    '{"entries":[{"offset":5,"body":"a"}],"next":5,"atEnd":true}',
    'unavailable',
  ],
  ['a page that is cut short', 200, '{"entries":[{"offset":5,', 'unavailable'],
  ['expired entries', 410, '{"earliest":8}', 'expired'],
  ['an expiry that does not advance the offset', 410, '{"earliest":5}', 'unavailable'],
  ['an outage', 503, NOT_TAKEN, 'unavailable'],
];

for (const [name, status, body, expected] of READS) {
  test(`read: ${name} counts as ${expected}`, async (t) => {
    const { read } = await client(t, answer(status, body));
    t.is((await read(5)).kind, expected);
  });
}

test('an append had no effect if its connection was refused, and may have had if it was cut', async (t) => {
  const cut = await client(t, (request) => {
    request.socket.destroy();
  });
  t.is((await cut.append()).kind, 'unknown');
  await cut.stop();
  t.is((await cut.append()).kind, 'refused');
  t.is((await cut.read(0)).kind, 'unavailable');
});

test('a silent connection is abandoned at the deadline, and the next request opens a new one', async (t) => {
  const ports = new Set<number | undefined>();
  let received: () => void = () => undefined;
  const arrival = new Promise<void>((resolve) => {
    received = resolve;
  });
  const { clock, append } = await client(t, (request, response) => {
    ports.add(request.socket.remotePort);
    if (ports.size > 1) {
      response.end('{"offset":0}');
    }
    received();
  });
  const silent = append();
  await arrival;
  clock.advance(999);
  clock.advance(1);
  t.is((await silent).kind, 'unknown');
  t.is((await append()).kind, 'appended');
  t.is(ports.size, 2);
});
