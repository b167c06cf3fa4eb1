import { createServer, type RequestListener } from 'node:http';
import type { AddressInfo } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { SystemClock } from '@bamboowell/kernel/clock';
import { ManualClock } from '@bamboowell/kernel/manual-clock';
import { deadlineAfter, NEVER } from '@bamboowell/types/time';
import { HttpVmList } from './http-vm-list.js';

const ENTRY = {
  role: 'entry',
  member: 'm1',
  region: 'r1',
  dataCentre: 'd1',
  address: { host: '127.0.0.1', port: 7001 },
  state: 'live',
};
const WORKER = {
  role: 'worker',
  worker: 'w1',
  region: 'r1',
  dataCentre: 'd1',
  rack: 'k1',
  address: { host: '127.0.0.1', port: 7002 },
  state: 'leaving',
};

/** The origin of a local server that answers with `listener`. */
async function originOf(t: ExecutionContext, listener: RequestListener): Promise<string> {
  const server = createServer(listener);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  return `http://127.0.0.1:${port}`;
}

function answering(status: number, body: string): RequestListener {
  return (request, response) => {
    response.statusCode = request.url === '/vms' ? status : 404;
    response.end(body);
  };
}

async function listingFrom(t: ExecutionContext, listener: RequestListener) {
  const origin = await originOf(t, listener);
  return new HttpVmList(origin, new SystemClock()).list(NEVER);
}

test('reads entry VMs and workers', async (t) => {
  const body = JSON.stringify({ vms: [ENTRY, WORKER] });
  const listing = await listingFrom(t, answering(200, body));
  t.deepEqual(listing, { kind: 'listed', vms: [ENTRY, WORKER] } as never);
});

const BAD: readonly [string, number, string][] = [
  ['an outage', 503, ''],
  ['no JSON', 200, 'nothing'],
  ['another shape', 200, '{"vms":[{"role":"entry"}]}'],
  ['a host name for an address', 200, JSON.stringify({ vms: [withHost('example')] })],
];

function withHost(host: string) {
  return { ...ENTRY, address: { host, port: 7001 } };
}

for (const [name, status, body] of BAD) {
  test(`${name} makes the list unavailable`, async (t) => {
    const listing = await listingFrom(t, answering(status, body));
    t.is(listing.kind, 'unavailable');
  });
}

const ODD_ENTRIES: readonly (readonly [string, string])[] = [
  [
    'a port out of range',
    JSON.stringify({ ...WORKER, address: { host: '127.0.0.1', port: 99_999 } }),
  ],
  ['no port', JSON.stringify({ ...WORKER, address: { host: '127.0.0.1', port: 0 } })],
  ['a port that is no number', '{"role":"worker","address":{"host":"127.0.0.1","port":1e999}}'],
  ['a number beyond all bounds', '9'.repeat(100_000)],
  ['deep nesting', '['.repeat(200_000) + ']'.repeat(200_000)],
  ['deep nesting of an object', '{"a":'.repeat(200_000) + '1' + '}'.repeat(200_000)],
  ['an unknown role', '{"role":"visitor"}'],
  ['nothing', 'null'],
];

// Guards against an odd entry that keeps daemons from following the list.
for (const [name, entry] of ODD_ENTRIES) {
  test(`an entry with ${name} does not hide the other VMs`, async (t) => {
    const body = `{"vms":[${JSON.stringify(ENTRY)},${entry},${JSON.stringify(WORKER)}]}`;
    const listing = await listingFrom(t, answering(200, body));
    t.like(listing, { kind: 'listed', vms: [ENTRY, WORKER] } as never);
    t.is(listing.kind === 'listed' ? listing.unreadable?.length : 0, 1);
  });
}

test('a list that does not answer is unavailable at the deadline, and so is a closed port', async (t) => {
  const clock = new ManualClock();
  const origin = await originOf(t, () => {
    clock.advance(1000);
  });
  const silent = new HttpVmList(origin, clock);
  t.is((await silent.list(deadlineAfter(clock.now(), 1000))).kind, 'unavailable');
  const closed = new HttpVmList('http://127.0.0.1:1', clock);
  t.is((await closed.list(NEVER)).kind, 'unavailable');
});
