/** HTTP or HTTPS server for callers and operators, with limits on time, size and connections. */

import { createServer as createHttpServer, type Server } from 'node:http';
import { createServer as createHttpsServer } from 'node:https';
import type { AddressInfo, Socket } from 'node:net';
import { getRequestListener } from '@hono/node-server';
import type { Hono } from 'hono';
import type { Address } from '@bamboowell/types/vm';

/** A certificate and its private key in PEM format. */
export interface TlsIdentity {
  readonly cert: string;
  readonly key: string;
}

export interface HttpServerOptions {
  readonly host: string;
  readonly port: number;
  readonly tls: TlsIdentity | null;
  readonly maxConnections: number;
  /** Maximum time for the headers of a request to arrive. */
  readonly headersTimeoutMillis: number;
  /** Maximum time for a whole request to arrive. */
  readonly requestTimeoutMillis: number;
  /** How long a keep-alive connection stays open after a response without a further request. */
  readonly idleTimeoutMillis: number;
}

const MAX_HEADER_BYTES = 16 * 1024;

/** Longest interval between the server's checks for connections that exceeded their timeout. */
const MAX_CHECK_INTERVAL_MILLIS = 1_000;

export class HttpServer {
  private readonly server: Server;

  constructor(
    app: Hono,
    private readonly options: HttpServerOptions,
  ) {
    const listener = getRequestListener(app.fetch);
    const serverOptions = serverOptionsOf(options);
    this.server =
      options.tls === null
        ? createHttpServer(serverOptions, (request, response) => void listener(request, response))
        : createHttpsServer(
            { ...serverOptions, ...options.tls },
            (request, response) => void listener(request, response),
          );
    this.server.maxConnections = options.maxConnections;
    this.server.on('timeout', closeIfIdle);
  }

  listen(): Promise<Address> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.options.port, this.options.host, () => {
        const { address, port } = this.server.address() as AddressInfo;
        resolve({ host: address, port });
      });
    });
  }

  /** Replaces the certificate that new connections use. Does nothing on an HTTP server. */
  setTls(tls: TlsIdentity): void {
    if ('setSecureContext' in this.server) {
      (this.server as unknown as { setSecureContext(tls: TlsIdentity): void }).setSecureContext(
        tls,
      );
    }
  }

  /** Stops accepting connections and resolves when all requests in progress have been answered. */
  async drain(): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      this.server.close(() => {
        resolve();
      });
    });
    this.server.closeIdleConnections();
    await closed;
  }

  /** Closes all open connections immediately. */
  abort(): void {
    this.server.closeAllConnections();
  }
}

/**
 * Closes a connection whose timeout fired, unless data arrives in the current event loop iteration.
 * After the process was suspended, timers fire before sockets are read, so a request may already be
 * waiting to be read; closing the connection then would reset it.
 */
function closeIfIdle(socket: Socket): void {
  const before = socket.bytesRead;
  setImmediate(() => {
    if (socket.bytesRead === before) {
      socket.destroy();
    }
  });
}

function serverOptionsOf({
  headersTimeoutMillis: headersMillis,
  requestTimeoutMillis: requestMillis,
  idleTimeoutMillis: idleMillis,
}: HttpServerOptions) {
  return {
    headersTimeout: headersMillis,
    requestTimeout: requestMillis,
    keepAliveTimeout: idleMillis,
    connectionsCheckingInterval: Math.min(headersMillis, MAX_CHECK_INTERVAL_MILLIS),
    maxHeaderSize: MAX_HEADER_BYTES,
  };
}
