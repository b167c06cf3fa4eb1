/** Builds listeners, connections and plain sockets for tests, on 127.0.0.1. */

import { createServer, type Server, type Socket } from 'node:net';
import { ManualClock } from '@bamboowell/kernel/manual-clock';
import type { Clock } from '@bamboowell/kernel/clock';
import { deadlineAfter, type Deadline } from '@bamboowell/types/time';
import type { Address } from '@bamboowell/types/vm';
import { connect } from './connect.js';
import { Listener } from './listener.js';
import { MemoryMeter } from './meter.js';
import { TcpConnection } from './tcp-connection.js';
import type { TlsIdentity } from './tls-identity.js';

export const HOST = '127.0.0.1';
const FAR_MILLIS = 3_600_000;

/** The part of a test context that a fixture needs, to run something when the test ends. */
export interface Teardown {
  teardown(run: () => Promise<void> | void): void;
}

/** A deadline that no test reaches unless it advances its clock far. */
export function farDeadline(clock: Clock): Deadline {
  return deadlineAfter(clock.now(), FAR_MILLIS);
}

/** A promise and the function that resolves it. */
export function deferred<Value>() {
  let resolve: (value: Value) => void = () => undefined;
  const value = new Promise<Value>((resolveValue) => {
    resolve = resolveValue;
  });
  return { value, resolve };
}

export interface ConnectedEnds {
  readonly clock: ManualClock;
  readonly listener: Listener;
  readonly client: TcpConnection;
  readonly server: TcpConnection;
  readonly clientMeter: MemoryMeter;
  readonly serverMeter: MemoryMeter;
}

/** A listener and both ends of one connection to it. */
export async function connectedEnds(
  t: Teardown,
  tls?: { readonly server: TlsIdentity; readonly client: TlsIdentity },
): Promise<ConnectedEnds> {
  const clock = new ManualClock();
  const serverMeter = new MemoryMeter();
  const accepted = deferred<TcpConnection>();
  const listener = new Listener({
    host: HOST,
    port: 0,
    clock,
    meter: serverMeter,
    accept: accepted.resolve,
    ...(tls === undefined ? {} : { tls: tls.server }),
  });
  const address = await listener.listen();
  t.teardown(() => listener.close(clock.now() as number as Deadline));
  const clientMeter = new MemoryMeter();
  const client = await openConnection(t, clock, address, clientMeter, tls?.client);
  return { clock, listener, client, server: await accepted.value, clientMeter, serverMeter };
}

export async function openConnection(
  t: Teardown,
  clock: Clock,
  address: Address,
  meter = new MemoryMeter(),
  tls?: TlsIdentity,
): Promise<TcpConnection> {
  const deadline = farDeadline(clock);
  const result = await connect({
    address,
    clock,
    deadline,
    meter,
    ...(tls === undefined ? {} : { tls }),
  });
  if ('kind' in result) {
    throw new Error(result.detail);
  }
  t.teardown(() => {
    result.close();
  });
  return result;
}

export interface EndWithPlainSocket {
  readonly clock: ManualClock;
  readonly client: TcpConnection;
  readonly meter: MemoryMeter;
  /** The other end, as a plain socket. */
  readonly socket: Socket;
}

/** A connection whose other end is a plain socket that the test drives. */
export async function endWithPlainSocket(t: Teardown): Promise<EndWithPlainSocket> {
  const accepted = deferred<Socket>();
  const server = createServer(accepted.resolve);
  const address = await listenOnFreePort(server);
  const clock = new ManualClock();
  const meter = new MemoryMeter();
  const client = await openConnection(t, clock, address, meter);
  const socket = await accepted.value;
  socket.on('error', () => undefined);
  t.teardown(() => {
    socket.destroy();
    server.close();
  });
  return { clock, client, meter, socket };
}

export function listenOnFreePort(server: Server): Promise<Address> {
  return new Promise((resolve) => {
    server.listen(0, HOST, () => {
      const address = server.address();
      resolve({ host: HOST, port: typeof address === 'object' ? (address?.port ?? 0) : 0 });
    });
  });
}

/** The next lines that the socket receives. */
export function nextLines(socket: Socket, count: number): Promise<string[]> {
  return new Promise((resolve) => {
    let text = '';
    socket.on('data', (chunk: Buffer) => {
      text += chunk.toString('utf8');
      const lines = text.split('\n').slice(0, -1);
      if (lines.length >= count) {
        resolve(lines.slice(0, count));
      }
    });
  });
}
