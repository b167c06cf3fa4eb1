import test from 'ava';
import { once } from 'node:events';
import { connect as connectTcp, createServer } from 'node:net';
import { deadlineAfter } from '@bamboowell/types/time';
import {
  identityOfMember1,
  identityOfMember2,
  identityOfOtherAuthority,
} from './certificates.fixture.js';
import { connect } from './connect.js';
import { Listener } from './listener.js';
import { MemoryMeter } from './meter.js';
import { DRAINING_CODE, type TcpConnection } from './tcp-connection.js';
import { ManualClock } from '@bamboowell/kernel/manual-clock';
import {
  HOST,
  connectedEnds,
  farDeadline,
  deferred,
  listenOnFreePort,
  openConnection,
} from './wire.fixture.js';

test('a close lets requests in progress end and refuses new ones', async (t) => {
  const { clock, listener, client, server } = await connectedEnds(t);
  const gate = deferred<string>();
  const begun = deferred<null>();
  server.handle('wait', () => {
    begun.resolve(null);
    return gate.value;
  });
  const deadline = farDeadline(clock);
  const first = client.request('wait', null, deadline);
  await begun.value;
  const closed = listener.close(deadline);
  const second = await client.request('wait', null, deadline);
  gate.resolve('whole');
  t.deepEqual(await first, { kind: 'answered', value: 'whole' });
  t.like(second, { kind: 'failed', code: DRAINING_CODE });
  await closed;
  t.is(await client.ended, 'closed');
});

test('a close ends at its deadline even if handlers still run', async (t) => {
  const { clock, listener, client, server } = await connectedEnds(t);
  const begun = deferred<null>();
  server.handle('hang', () => {
    begun.resolve(null);
    return new Promise(() => undefined);
  });
  const answer = client.request('hang', null, farDeadline(clock));
  await begun.value;
  const closed = listener.close(deadlineAfter(clock.now(), 100));
  clock.advance(100);
  await closed;
  t.deepEqual(await answer, { kind: 'unknown' });
});

test('an address where nobody listens is unreachable', async (t) => {
  const server = createServer();
  const address = await listenOnFreePort(server);
  await new Promise((resolve) => server.close(resolve));
  const clock = new ManualClock();
  t.like(await connect({ address, clock, deadline: farDeadline(clock) }), {
    kind: 'unreachable',
    isRefused: true,
  });
});

test('an end that never finishes the handshake is unreachable at the deadline', async (t) => {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
  });
  const address = await listenOnFreePort(server);
  t.teardown(() => {
    server.close();
  });
  const clock = new ManualClock();
  const deadline = deadlineAfter(clock.now(), 100);
  const result = connect({ address, clock, deadline, tls: identityOfMember1() });
  clock.advance(100);
  t.deepEqual(await result, {
    kind: 'unreachable',
    detail: 'no connection before the deadline',
    isRefused: false,
  });
});

test('with TLS both ends learn the name in the certificate of the other', async (t) => {
  const tls = { server: identityOfMember1(), client: identityOfMember2() };
  const { clock, client, server } = await connectedEnds(t, tls);
  server.handle('who', () => server.peer);
  t.is(client.peer, 'member-1');
  t.deepEqual(await client.request('who', null, farDeadline(clock)), {
    kind: 'answered',
    value: 'member-2',
  });
});

function tlsListener(meter = new MemoryMeter()) {
  const clock = new ManualClock();
  const accepted: TcpConnection[] = [];
  const listener = new Listener({
    host: HOST,
    port: 0,
    clock,
    meter,
    tls: identityOfMember1(),
    accept: (connection) => {
      accepted.push(connection);
    },
  });
  return { clock, listener, accepted };
}

test('an end without a certificate of the authority is refused', async (t) => {
  const meter = new MemoryMeter();
  const { clock, listener, accepted } = tlsListener(meter);
  const address = await listener.listen();
  t.teardown(() => listener.close(farDeadline(clock)));
  const stranger = await connect({
    address,
    clock,
    deadline: farDeadline(clock),
    tls: identityOfOtherAuthority(),
  });
  // With TLS 1.3 the refusal may come after the handshake has ended on this side.
  if (!('kind' in stranger)) {
    await stranger.ended;
    t.like(await stranger.request('any', null, farDeadline(clock)), { kind: 'not_sent' });
  }
  t.is(meter.read('wire.tls_refused'), 1);
  t.deepEqual(accepted, []);
});

test('a plain connection to a TLS listener is refused and counted', async (t) => {
  const meter = new MemoryMeter();
  const { clock, listener, accepted } = tlsListener(meter);
  const address = await listener.listen();
  t.teardown(() => listener.close(farDeadline(clock)));
  const plain = await openConnection(t, clock, address);
  plain.notify('hello', null);
  t.not(await plain.ended, 'silent');
  t.deepEqual(accepted, []);
  t.is(meter.read('wire.tls_refused'), 1);
});

test('a peer with another name than expected is unreachable', async (t) => {
  const { clock, listener } = tlsListener();
  const address = await listener.listen();
  t.teardown(() => listener.close(farDeadline(clock)));
  const result = await connect({
    address,
    clock,
    deadline: farDeadline(clock),
    tls: identityOfMember2(),
    expectedPeer: 'member-3',
  });
  t.deepEqual(result, {
    kind: 'unreachable',
    detail: 'the peer is named member-1, not member-3',
    isRefused: false,
  });
});

test('a close does not wait for a handshake beyond its deadline', async (t) => {
  const meter = new MemoryMeter();
  const { clock, listener } = tlsListener(meter);
  const address = await listener.listen();
  const idle = connectTcp(address);
  await once(idle, 'connect');
  // The listener has taken the first connection when it takes the second one.
  await openConnection(t, clock, address, new MemoryMeter(), identityOfMember2());
  const closed = listener.close(deadlineAfter(clock.now(), 100));
  clock.advance(100);
  await closed;
  t.is(meter.read('wire.tls_timeouts'), 0);
});

test('a close leaves no connection open whose handshake ends during the close', async (t) => {
  const { clock, listener } = tlsListener();
  const address = await listener.listen();
  const deadline = farDeadline(clock);
  const connecting = connect({ address, clock, deadline, tls: identityOfMember2() });
  const plain = connectTcp(address);
  await once(plain, 'connect');
  plain.destroy();
  const closed = listener.close(deadline);
  const late = await connecting;
  await closed;
  t.not('kind' in late ? 'unreachable' : await late.ended, 'silent');
});

test('new keys are used without a restart, and open connections go on', async (t) => {
  const { clock, listener } = tlsListener();
  const address = await listener.listen();
  t.teardown(() => listener.close(farDeadline(clock)));
  const before = await openConnection(t, clock, address, new MemoryMeter(), identityOfMember1());
  listener.setTls(identityOfMember2());
  const after = await openConnection(t, clock, address, new MemoryMeter(), identityOfMember1());
  t.is(before.peer, 'member-1');
  t.is(after.peer, 'member-2');
  t.like(await before.request('ping', null, farDeadline(clock)), { kind: 'answered' });
});
