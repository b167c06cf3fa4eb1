/** Opens connections. */

import { connect as connectTcp, type Socket } from 'node:net';
import { TLSSocket, connect as connectTls } from 'node:tls';
import type { Clock } from '@bamboowell/kernel/clock';
import type { Deadline } from '@bamboowell/types/time';
import type { KeepAliveTimes } from './keep-alive.js';
import type { Meter } from './meter.js';
import type { Address } from '@bamboowell/types/vm';
import { TcpConnection } from './tcp-connection.js';
import { peerNameOf, type TlsIdentity } from './tls-identity.js';

export interface Target {
  readonly address: Address;
  readonly clock: Clock;
  /** Without a connection by then, the target is unreachable. */
  readonly deadline: Deadline;
  readonly meter?: Meter;
  readonly keepAlive?: KeepAliveTimes;
  readonly tls?: TlsIdentity;
  /** Called with the socket before anything is sent or received on it. */
  readonly opened?: (socket: Socket) => void;
  /** The name that the other end's certificate must have. */
  readonly expectedPeer?: string;
}

/** No connection was opened and nothing was sent. */
export interface Unreachable {
  readonly kind: 'unreachable';
  readonly detail: string;
  /** Whether the host answered that nothing listens at the address. */
  readonly isRefused: boolean;
}

/** Opens a connection. Never rejects. */
export function connect(target: Target): Promise<TcpConnection | Unreachable> {
  const socket = open(target);
  target.opened?.(socket);
  return new Promise((resolve) => {
    const giveUp = (detail: string, isRefused = false): void => {
      alarm.cancel();
      socket.destroy();
      resolve({ kind: 'unreachable', detail, isRefused });
    };
    const alarm = target.clock.wakeAt(target.deadline, () => {
      giveUp('no connection before the deadline');
    });
    socket.once('error', (error: NodeJS.ErrnoException) => {
      giveUp(error.message, error.code === 'ECONNREFUSED');
    });
    socket.once(target.tls === undefined ? 'connect' : 'secureConnect', () => {
      // The class is looked at only where TLS is in use, so that the runtime need not load it otherwise.
      const isTls = target.tls !== undefined && socket instanceof TLSSocket;
      const peer = isTls ? peerNameOf(socket) : undefined;
      if (target.expectedPeer !== undefined && peer !== target.expectedPeer) {
        giveUp(`the peer is named ${peer ?? 'nothing'}, not ${target.expectedPeer}`);
        return;
      }
      alarm.cancel();
      resolve(connectionOf(socket, target, peer));
    });
  });
}

function connectionOf(socket: Socket, target: Target, peer: string | undefined): TcpConnection {
  return new TcpConnection(socket, {
    clock: target.clock,
    ...(target.meter === undefined ? {} : { meter: target.meter }),
    ...(target.keepAlive === undefined ? {} : { keepAlive: target.keepAlive }),
    ...(peer === undefined ? {} : { peer }),
  });
}

function open({ address, tls }: Target): Socket {
  if (tls === undefined) {
    return connectTcp(address);
  }
  return connectTls({
    ...address,
    ca: tls.certificateAuthority,
    cert: tls.certificate,
    key: tls.privateKey,
    // Addresses change whenever a VM is replaced, so the name is compared with `expectedPeer`.
    checkServerIdentity: () => undefined,
  });
}
