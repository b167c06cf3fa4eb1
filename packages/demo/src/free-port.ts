/** Finds ports for daemons, which must know theirs before they start. */

import { createServer } from 'node:net';

const LOOPBACK = '127.0.0.1';

/** Below the ports that the system gives to outgoing connections, which may take any of those. */
const FIRST_PORT = 20_000;
const PORTS = 12_000;

/** Spreads processes that look for ports at the same time. */
const PROCESS_STRIDE = 97;

let next = (process.pid * PROCESS_STRIDE) % PORTS;

/** A port of the loopback address that nothing listens on. Never the same one twice in a process. */
export async function freePort(): Promise<number> {
  for (let tries = 0; tries < PORTS; tries += 1) {
    const port = FIRST_PORT + next;
    next = (next + 1) % PORTS;
    if (await isFree(port)) {
      return port;
    }
  }
  throw new Error('no port is free');
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => {
      resolve(false);
    });
    server.listen(port, LOOPBACK, () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}
