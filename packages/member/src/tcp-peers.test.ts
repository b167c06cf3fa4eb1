import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { once } from 'node:events';
import test, { type ExecutionContext } from 'ava';
import { SystemClock } from '@bamboowell/kernel/clock';
import { brandAs, type Incarnation, type MemberId } from '@bamboowell/types/ids';
import type { Term } from '@bamboowell/types/job';
import { DEFAULT_SCHEDULING } from '@bamboowell/types/scheduling';
import { deadlineAfter } from '@bamboowell/types/time';
import type { Claim } from './ownership-messages.js';
import { MemberPort } from './member-port.js';
import type { AdviceAnswer } from './ports.js';
import { TcpPeers } from './tcp-peers.js';
import { Traffic } from './traffic.js';

const HOST = '127.0.0.1';
const INCARNATION = brandAs<Incarnation>('owner-1');
const TERM = brandAs<Term>(1);

const clock = new SystemClock();
const discarding = { post: () => 'accepted' as const };

class NoAdvice extends MemberPort {
  advise(): Promise<AdviceAnswer> {
    return Promise.resolve({ kind: 'busy' });
  }

  attest(): Promise<boolean> {
    return Promise.resolve(true);
  }

  notifyTrouble(): void {
    // Not used here.
  }

  notifyServing(): void {
    // Not used here.
  }
}

function newPeers(port: number, peerPorts: number): TcpPeers {
  const settings = {
    member: brandAs<MemberId>('member-1'),
    incarnation: brandAs<Incarnation>('member-1'),
    region: 'r1',
    machine: { cores: 1, memoryMib: 100, linkMbps: 100 },
    peerAddress: { host: HOST, port },
    peerPorts,
    configurationLifetimeMillis: 2000,
    longestLeaseMillis: 6000,
    gangAssemblyMillis: 3000,
    evacuationBoundMillis: undefined,
    scheduling: DEFAULT_SCHEDULING,
    stopMillis: 6000,
  };
  const self = new NoAdvice(settings.member, settings.region, settings.incarnation);
  const options = { settings, clock, self, owner: discarding, configuration: discarding };
  return new TcpPeers(options, new Traffic());
}

/** A server that accepts a connection at once, and reads and answers only after the delay. */
async function busyOwner(t: ExecutionContext, delayMillis: number): Promise<Server> {
  const server = createServer((socket: Socket) => {
    socket.pause();
    socket.on('error', () => undefined);
    setTimeout(() => {
      socket.on('data', (bytes: Buffer) => {
        const hello = bytes
          .toString('utf8')
          .split('\n')
          .find((line) => line.includes('"hello"'));
        if (hello !== undefined) {
          const { id } = JSON.parse(hello) as { readonly id: number };
          const result = { standing: 'serving', incarnation: INCARNATION };
          socket.write(`${JSON.stringify({ jsonrpc: '2.0', id, result })}\n`);
        }
      });
      socket.resume();
    }, delayMillis);
  });
  server.listen(0, HOST);
  await once(server, 'listening');
  t.teardown(() => {
    server.close();
  });
  return server;
}

function claimAt(port: number, ports?: number): Claim {
  return {
    term: TERM,
    member: brandAs<MemberId>('owner'),
    incarnation: INCARNATION,
    address: { host: HOST, port },
    ...(ports === undefined ? {} : { ports }),
    isReleased: false,
  };
}

// Guards against members that give a busy new owner up before it has accepted their connection, dial
// again, and so fill its queue with connections that nobody waits for (incident SHORT).
test('a member waits for the greeting of an owner that is busy for two seconds', async (t) => {
  const server = await busyOwner(t, 2000);
  const { port } = server.address() as AddressInfo;
  const peers = newPeers(1, 1);
  const dialled = await peers.dial(claimAt(port), deadlineAfter(clock.now(), 500));
  t.is(dialled.kind, 'connected');
  if (dialled.kind === 'connected') {
    const listener = {
      trouble: () => undefined,
      serving: () => undefined,
      attest: () => Promise.resolve(true),
    };
    const reply = await peers.sendHello(dialled.connection, TERM, listener);
    t.like(reply, { standing: 'serving' });
    dialled.connection.close();
  }
});

/** Starts peers on consecutive ports that happen to be free. */
async function listeningPeers(ports: number): Promise<{ readonly peers: TcpPeers; port: number }> {
  for (let port = 21_000; port < 30_000; port += ports) {
    const peers = newPeers(port, ports);
    try {
      await peers.listen();
      return { peers, port };
    } catch {
      await peers.close(deadlineAfter(clock.now(), 10));
    }
  }
  throw new Error('no free ports');
}

test('a member accepts connections at all its ports, and dials an owner of an earlier build at the only one', async (t) => {
  const { peers, port } = await listeningPeers(4);
  t.teardown(() => peers.close(deadlineAfter(clock.now(), 10)));
  t.is(peers.ports, 4);
  for (let count = 0; count < 20; count += 1) {
    const claim = count % 2 === 0 ? claimAt(port, 4) : claimAt(port);
    const dialled = await peers.dial(claim, deadlineAfter(clock.now(), 500));
    t.is(dialled.kind, 'connected');
    if (dialled.kind === 'connected') {
      dialled.connection.close();
    }
  }
});
