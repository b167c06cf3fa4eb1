import test from 'ava';
import { JSONRPCErrorCode } from 'json-rpc-2.0';
import { deadlineAfter } from '@bamboowell/types/time';
import { MAX_FRAME_BYTES } from './frames.js';
import { PING_INTERVAL_MILLIS, SILENCE_MILLIS } from './keep-alive.js';
import {
  connectedEnds,
  farDeadline,
  deferred,
  nextLines,
  endWithPlainSocket,
} from './wire.fixture.js';

test('requests go in both directions', async (t) => {
  const { clock, client, server } = await connectedEnds(t);
  client.handle('double', (params) => (params as number) * 2);
  server.handle('half', (params) => (params as number) / 2);
  const deadline = farDeadline(clock);
  t.deepEqual(await client.request('half', 8, deadline), { kind: 'answered', value: 4 });
  t.deepEqual(await server.request('double', 8, deadline), { kind: 'answered', value: 16 });
});

test('a handler that throws and a method that is unknown are failures', async (t) => {
  const { clock, client, server } = await connectedEnds(t);
  server.handle('broken', () => {
    throw new Error('out of order');
  });
  const deadline = farDeadline(clock);
  t.like(await client.request('broken', null, deadline), {
    kind: 'failed',
    message: 'out of order',
  });
  t.like(await client.request('absent', null, deadline), {
    kind: 'failed',
    code: JSONRPCErrorCode.MethodNotFound,
  });
});

test('answers out of order reach their own callers', async (t) => {
  const { clock, client, server } = await connectedEnds(t);
  const gates = [deferred<string>(), deferred<string>(), deferred<string>()];
  server.handle('wait', (params) => gates[params as number]?.value);
  const deadline = farDeadline(clock);
  const answers = [0, 1, 2].map((index) => client.request('wait', index, deadline));
  gates[2]?.resolve('third');
  t.deepEqual(await answers[2], { kind: 'answered', value: 'third' });
  gates[0]?.resolve('first');
  gates[1]?.resolve('second');
  t.deepEqual(await Promise.all(answers), [
    { kind: 'answered', value: 'first' },
    { kind: 'answered', value: 'second' },
    { kind: 'answered', value: 'third' },
  ]);
});

test('an answer after the deadline is dropped and counted', async (t) => {
  const { clock, client, server, clientMeter } = await connectedEnds(t);
  const gate = deferred<string>();
  server.handle('wait', () => gate.value);
  server.handle('now', () => 'now');
  const late = client.request('wait', null, deadlineAfter(clock.now(), 10));
  clock.advance(10);
  t.deepEqual(await late, { kind: 'unknown' });
  gate.resolve('late');
  await client.request('now', null, farDeadline(clock));
  t.is(clientMeter.read('wire.late_answers'), 1);
  t.is(clientMeter.read('wire.request_timeouts'), 1);
});

test('a request whose deadline has passed is not sent', async (t) => {
  const { clock, client, clientMeter } = await connectedEnds(t);
  const deadline = deadlineAfter(clock.now(), 0);
  t.deepEqual(await client.request('any', null, deadline), { kind: 'not_sent' });
  t.is(clientMeter.read('wire.bytes_out'), 0);
});

test('a closed connection sends nothing and says so', async (t) => {
  const { clock, client, server, clientMeter } = await connectedEnds(t);
  client.close();
  t.is(await client.ended, 'closed');
  t.is(client.notify('any', null), 'closed');
  t.deepEqual(await client.request('any', null, farDeadline(clock)), { kind: 'not_sent' });
  t.is(clientMeter.read('wire.bytes_out'), 0);
  t.is(await server.ended, 'closed');
});

test('pings are sent while nothing else is', async (t) => {
  const { clock, client, socket } = await endWithPlainSocket(t);
  clock.advance(PING_INTERVAL_MILLIS - 1);
  client.notify('news', null);
  clock.advance(PING_INTERVAL_MILLIS - 1);
  client.notify('more', null);
  clock.advance(PING_INTERVAL_MILLIS);
  const methods = (await nextLines(socket, 3)).map(
    (line) => (JSON.parse(line) as { method: string }).method,
  );
  t.deepEqual(methods, ['news', 'more', 'ping']);
});

test('a silent connection ends, and the result of its requests is unknown', async (t) => {
  const { clock, client } = await endWithPlainSocket(t);
  const answer = client.request('any', null, farDeadline(clock));
  clock.advance(SILENCE_MILLIS - 1);
  t.is(client.notify('news', null), 'sent');
  clock.advance(1);
  t.is(await client.ended, 'silent');
  t.deepEqual(await answer, { kind: 'unknown' });
});

test('pings of the other end keep a connection alive', async (t) => {
  const { clock, client, server, clientMeter } = await connectedEnds(t);
  for (let round = 1; round <= 10; round += 1) {
    clock.advance(PING_INTERVAL_MILLIS);
    await server.request('ping', null, farDeadline(clock));
    await client.request('ping', null, farDeadline(clock));
  }
  t.is(client.notify('news', null), 'sent');
  t.is(clientMeter.read('wire.ended.silent'), 0);
});

// Guards against a connection that ends as silent while a long message arrives over a full line, so that
// the message is discarded with it (incident CONFIG, record inc1).
test('a connection over which a long message arrives slowly does not count as silent', async (t) => {
  const { clock, client, socket } = await endWithPlainSocket(t);
  const received = deferred<unknown>();
  client.handle('news', received.resolve);
  const message = `{"jsonrpc":"2.0","method":"news","params":["${'x'.repeat(60_000)}"]}\n`;
  for (let from = 0; from < message.length; from += 10_000) {
    socket.write(message.slice(from, from + 10_000));
    await new Promise((resolve) => setTimeout(resolve, 20));
    clock.advance(SILENCE_MILLIS - 1);
  }
  const outcome = await Promise.race([received.value, client.ended]);
  t.deepEqual(outcome, ['x'.repeat(60_000)]);
});

test('a frame that is cut in the middle is not delivered', async (t) => {
  const { clock, client, socket } = await endWithPlainSocket(t);
  let count = 0;
  client.handle('news', () => {
    count += 1;
  });
  const answer = client.request('any', null, farDeadline(clock));
  await nextLines(socket, 1);
  socket.end('{"jsonrpc":"2.0","method":"news"}\n{"jsonrpc":"2.0","id":1,"result":"who');
  t.is(await client.ended, 'reset');
  t.deepEqual(await answer, { kind: 'unknown' });
  t.is(count, 1);
});

for (const junk of ['not json', 'null', '7', '[]', '{}', '{"jsonrpc":"2.0","method":5}']) {
  test(`a malformed frame ends the connection: ${junk}`, async (t) => {
    const { client, meter, socket } = await endWithPlainSocket(t);
    socket.write(`${junk}\n`);
    t.is(await client.ended, 'protocol_error');
    t.is(meter.read('wire.malformed_frames'), 1);
  });
}

test('a frame over the maximum length ends the connection', async (t) => {
  const { client, meter, socket } = await endWithPlainSocket(t);
  socket.write(Buffer.alloc(MAX_FRAME_BYTES + 1, 'x'));
  t.is(await client.ended, 'protocol_error');
  t.is(meter.read('wire.oversize_frames'), 1);
});

test('a message over the maximum length is not sent, and an answer over it is a failure', async (t) => {
  const { clock, client, server } = await connectedEnds(t);
  const large = 'x'.repeat(MAX_FRAME_BYTES);
  server.handle('large', () => large);
  const deadline = farDeadline(clock);
  t.deepEqual(await client.request('any', large, deadline), { kind: 'not_sent' });
  t.is(client.notify('any', large), 'congested');
  t.like(await client.request('large', null, deadline), {
    kind: 'failed',
    code: JSONRPCErrorCode.InternalError,
  });
});

test('a notification is refused while the send buffer is full', async (t) => {
  const { clock, client, socket } = await endWithPlainSocket(t);
  socket.pause();
  const block = 'x'.repeat(MAX_FRAME_BYTES / 4);
  const states = new Set<string>();
  for (let count = 0; count < 256 && !states.has('congested'); count += 1) {
    states.add(client.notify('block', block));
  }
  t.deepEqual([...states], ['sent', 'congested']);
  t.deepEqual(await client.request('any', null, farDeadline(clock)), { kind: 'not_sent' });
});

test('a paused connection delivers nothing, loses nothing and does not count as silent', async (t) => {
  const { clock, client, socket } = await endWithPlainSocket(t);
  const heard: unknown[] = [];
  const first = deferred<null>();
  const last = deferred<null>();
  client.handle('count', (params) => {
    heard.push(params);
    if (params === 1) {
      client.pause();
      first.resolve(null);
    }
    if (params === 3) {
      last.resolve(null);
    }
  });
  const lines = [1, 2, 3].map(
    (params) => `${JSON.stringify({ jsonrpc: '2.0', method: 'count', params })}\n`,
  );
  socket.write(lines.join(''));
  await first.value;
  clock.advance(SILENCE_MILLIS * 2);
  t.is(client.notify('still here', null), 'sent');
  t.deepEqual(heard, [1]);
  client.resume();
  await last.value;
  t.deepEqual(heard, [1, 2, 3]);
});
