/** Measures bytes and CPU time of reading the VM list once, against the number of VMs in it. */

import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { SystemClock } from '@bamboowell/kernel/clock';
import { HttpVmList } from '@bamboowell/membership/http-vm-list';
import { brandAs, type ShardId } from '@bamboowell/types/ids';
import { deadlineAfter } from '@bamboowell/types/time';
import { fitLine, rounded, type Point } from './line-fit.js';
import { vmOf } from './owner-plan.js';
import { cpuMicrosOfAsync } from './usage.js';

const SIZES = [30, 1_000, 3_400, 6_800];
const LISTINGS = 10;
const LIST_TIMEOUT_MILLIS = 10_000;
const SHARD = brandAs<ShardId>('data-centre-1');

export async function measureVmListSlopes(): Promise<object> {
  await listMicros(bodyOf(100));
  const bytes: Point[] = [];
  const micros: Point[] = [];
  for (const x of SIZES) {
    const body = bodyOf(x);
    bytes.push({ x, y: Buffer.byteLength(body) });
    micros.push({ x, y: rounded(await listMicros(body)) });
  }
  return {
    listingBytesByVms: { points: bytes, fit: fitLine(bytes) },
    listingMicrosByVms: { points: micros, fit: fitLine(micros) },
  };
}

function bodyOf(vms: number): string {
  return JSON.stringify({
    vms: Array.from({ length: vms }, (_, number) => vmOf(SHARD, number).vm),
  });
}

/** CPU time of one listing, including the small share of the HTTP server in this process. */
async function listMicros(body: string): Promise<number> {
  const server = createServer((_, response) => {
    response.end(body);
  });
  const port = await listen(server);
  const clock = new SystemClock();
  const list = new HttpVmList(`http://127.0.0.1:${port}`, clock);
  const micros = await cpuMicrosOfAsync(async () => {
    for (let count = 0; count < LISTINGS; count += 1) {
      const listing = await list.list(deadlineAfter(clock.now(), LIST_TIMEOUT_MILLIS));
      if (listing.kind !== 'listed') {
        throw new Error(listing.detail);
      }
    }
  });
  server.closeAllConnections();
  server.close();
  return micros / LISTINGS;
}

function listen(server: Server): Promise<number> {
  return new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => {
      resolve((server.address() as AddressInfo).port);
    });
  });
}
