import test, { type ExecutionContext } from 'ava';
import { MemoryCounters } from '@bamboowell/metrics/counters';
import { SystemClock } from '@bamboowell/kernel/clock';
import { brandAs, type MemberId } from '@bamboowell/types/ids';
import { deadlineAfter } from '@bamboowell/types/time';
import type { Connection } from '@bamboowell/wire/connection';
import {
  identityOfMember1,
  identityOfMember2,
  identityOfOtherAuthority,
} from '@bamboowell/wire/certificates.fixture';
import type { TlsIdentity } from '@bamboowell/wire/tls-identity';
import { CountingMeter } from './counting-meter.js';
import { TcpTransport } from './tcp-platform.js';

const clock = new SystemClock();
const MEMBER_1 = brandAs<MemberId>('member-1');
const MEMBER_2 = brandAs<MemberId>('member-2');

function soon() {
  return deadlineAfter(clock.now(), 5_000);
}

interface Accepted {
  readonly connection: Connection;
  readonly certified: MemberId | undefined;
}

/** A transport that listens. Each call of `accepted` resolves to its next accepted connection. */
async function transportHarness(t: ExecutionContext, tls: TlsIdentity | undefined) {
  const waiting: ((accepted: Accepted) => void)[] = [];
  const arrived: Accepted[] = [];
  const details: string[] = [];
  const counters = new MemoryCounters();
  const meter = new CountingMeter('peer', counters);
  const transport = new TcpTransport({
    host: '127.0.0.1',
    port: 0,
    clock,
    tls,
    meter,
    unreachable: (_, detail) => details.push(detail),
  });
  const address = await transport.listen((connection, certified) => {
    const resolve = waiting.shift();
    if (resolve === undefined) {
      arrived.push({ connection, certified });
    } else {
      resolve({ connection, certified });
    }
  });
  t.teardown(() => transport.close(clock.now() as number as ReturnType<typeof soon>));
  const accepted = () =>
    new Promise<Accepted>((resolve) => {
      const [first] = arrived.splice(0, 1);
      if (first === undefined) {
        waiting.push(resolve);
      } else {
        resolve(first);
      }
    });
  return { transport, address, accepted, details, counters };
}

test('both ends identify each other by their certificates', async (t) => {
  const server = await transportHarness(t, identityOfMember2());
  const client = await transportHarness(t, identityOfMember1());
  const connection = await client.transport.dialler.dial(server.address, soon(), MEMBER_2);
  const { connection: serverSide, certified } = await server.accepted();
  t.is(certified, MEMBER_1);
  serverSide.handle('hello', () => 'there');
  const answer = await connection?.request('hello', null, soon());
  t.deepEqual(answer, { kind: 'answered', value: 'there' });
  const hello = { link: 'peer', kind: 'hello' };
  t.is(client.counters.count('wire.messages', { ...hello, direction: 'out' }), 1);
  t.is(server.counters.count('wire.messages', { ...hello, direction: 'in' }), 1);
  t.is(
    server.counters.count('wire.message_bytes', hello),
    client.counters.count('wire.message_bytes', hello),
  );
  connection?.close();
});

test('no connection is made to a daemon whose certificate has another name than expected', async (t) => {
  const server = await transportHarness(t, identityOfMember2());
  const client = await transportHarness(t, identityOfMember1());
  const expected = brandAs<MemberId>('member-3');
  t.is(await client.transport.dialler.dial(server.address, soon(), expected), undefined);
  t.deepEqual(client.details, ['the peer is named member-2, not member-3']);
});

test('no connection is made to a daemon with a certificate of another authority', async (t) => {
  const server = await transportHarness(t, identityOfOtherAuthority());
  const client = await transportHarness(t, identityOfMember1());
  t.is(await client.transport.dialler.dial(server.address, soon(), MEMBER_2), undefined);
  t.is(client.details.length, 1);
});

test('no connection is accepted from a daemon with a certificate of another authority', async (t) => {
  const server = await transportHarness(t, identityOfMember1());
  const stranger = await transportHarness(t, identityOfOtherAuthority());
  const connection = await stranger.transport.dialler.dial(server.address, soon(), MEMBER_1);
  await connection?.ended;
  const member2 = await transportHarness(t, identityOfMember2());
  const known = await member2.transport.dialler.dial(server.address, soon(), MEMBER_1);
  t.is((await server.accepted()).certified, MEMBER_2);
  known?.close();
});

test('a replaced identity is used for new connections in both directions', async (t) => {
  const server = await transportHarness(t, identityOfOtherAuthority());
  const client = await transportHarness(t, identityOfMember1());
  t.is(await client.transport.dialler.dial(server.address, soon(), MEMBER_2), undefined);
  server.transport.setIdentity(identityOfMember2());
  client.transport.setIdentity(identityOfMember2());
  const connection = await client.transport.dialler.dial(server.address, soon(), MEMBER_2);
  t.is((await server.accepted()).certified, MEMBER_2);
  connection?.close();
});

test('without TLS no peer is certified', async (t) => {
  const server = await transportHarness(t, undefined);
  const client = await transportHarness(t, undefined);
  const connection = await client.transport.dialler.dial(server.address, soon(), MEMBER_2);
  t.is((await server.accepted()).certified, undefined);
  connection?.close();
});
