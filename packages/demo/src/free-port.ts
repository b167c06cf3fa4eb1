/** Finds free ports for daemons, which must know their ports before they start. */

import { createServer } from 'node:net';

const LOOPBACK = '127.0.0.1';

/**
 * The range lies below the ports of outgoing connections, any of which the system may assign at any
 * time.
 */
const FIRST_PORT = 20_000;
const PORTS = 12_000;

/** Gives processes that look for ports at the same time different first ports. */
const PROCESS_STRIDE = 97;

let next = (process.pid * PROCESS_STRIDE) % PORTS;

/**
 * A port of the loopback address that nothing listens on. Never the same one twice in a process.
 */
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
