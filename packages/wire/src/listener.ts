/** Accepts connections. */

import {
  createServer as createTcpServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';
import { Server as TlsServer, createServer as createTlsServer } from 'node:tls';
import type { Clock } from '@bamboowell/kernel/clock';
import type { Deadline } from '@bamboowell/types/time';
import type { Meter } from './meter.js';
import type { Address } from '@bamboowell/types/vm';
import { TcpConnection } from './tcp-connection.js';
import { peerNameOf, type TlsIdentity } from './tls-identity.js';

/** Connections beyond this number are refused. */
const MAX_CONNECTIONS = 4096;

/** A TLS handshake that takes longer is refused. */
const HANDSHAKE_TIMEOUT_MILLIS = 5000;

export interface ListenerOptions<Accepted extends TcpConnection = TcpConnection> {
  readonly host: string;
  /** Zero lets the system choose. */
  readonly port: number;
  readonly clock: Clock;
  readonly meter?: Meter;
  readonly tls?: TlsIdentity;
  /** Sets the handlers of a new connection. Its `peer` is the name in its certificate. */
  readonly accept: (connection: Accepted) => void;
  /** Creates the connection for a socket; a plain TcpConnection by default. */
  readonly make?: (socket: Socket, peer: string | undefined) => Accepted;
}

export class Listener<Accepted extends TcpConnection = TcpConnection> {
  private readonly server: Server;
  private isClosing = false;
  private readonly connections = new Set<Accepted>();
  /** All open sockets, including those whose TLS handshake is in progress. */
  private readonly sockets = new Set<Socket>();

  constructor(private readonly options: ListenerOptions<Accepted>) {
    this.server = this.makeServer();
    this.server.maxConnections = MAX_CONNECTIONS;
    this.server.on('connection', (socket: Socket) => {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
    });
  }

  /** Starts to accept connections. Rejects if the address is in use. */
  listen(): Promise<Address> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen({ host: this.options.host, port: this.options.port }, () => {
        this.server.off('error', reject);
        const { address, port } = this.server.address() as AddressInfo;
        resolve({ host: address, port });
      });
    });
  }

  /** Uses another certificate and key for connections that are accepted from now on. */
  setTls(tls: TlsIdentity): void {
    if (this.server instanceof TlsServer) {
      this.server.setSecureContext(secureContextOf(tls));
    }
  }

  /**
   * Stops accepting and lets requests in progress end. At the deadline, open sockets are destroyed.
   */
  async close(deadline: Deadline): Promise<void> {
    this.isClosing = true;
    const closed = new Promise<void>((resolve) => {
      this.server.close(() => {
        resolve();
      });
    });
    const alarm = this.options.clock.wakeAt(deadline, () => {
      this.sockets.forEach((socket) => socket.destroy());
    });
    await Promise.all([...this.connections].map((connection) => connection.drain(deadline)));
    await closed;
    alarm.cancel();
  }

  private makeServer(): Server {
    const { tls } = this.options;
    if (tls === undefined) {
      return createTcpServer((socket) => {
        this.accept(socket, undefined);
      });
    }
    const options = {
      ...secureContextOf(tls),
      requestCert: true,
      rejectUnauthorized: true,
      handshakeTimeout: HANDSHAKE_TIMEOUT_MILLIS,
    };
    const server = createTlsServer(options, (socket) => {
      this.accept(socket, peerNameOf(socket));
    });
    return server.on('tlsClientError', (error: NodeJS.ErrnoException, socket) => {
      socket.destroy();
      const isTimeout = error.code === 'ERR_TLS_HANDSHAKE_TIMEOUT';
      this.options.meter?.count(isTimeout ? 'wire.tls_timeouts' : 'wire.tls_refused', 1);
    });
  }

  private accept(socket: Socket, peer: string | undefined): void {
    if (this.isClosing) {
      socket.destroy();
      return;
    }
    const connection = this.make(socket, peer);
    this.connections.add(connection);
    void connection.ended.then(() => {
      this.connections.delete(connection);
    });
    this.options.accept(connection);
  }

  private make(socket: Socket, peer: string | undefined): Accepted {
    const { clock, meter, make } = this.options;
    if (make !== undefined) {
      return make(socket, peer);
    }
    return new TcpConnection(socket, {
      clock,
      ...(meter === undefined ? {} : { meter }),
      ...(peer === undefined ? {} : { peer }),
    }) as Accepted;
  }
}

function secureContextOf(tls: TlsIdentity): { ca: string; cert: string; key: string } {
  return { ca: tls.certificateAuthority, cert: tls.certificate, key: tls.privateKey };
}
