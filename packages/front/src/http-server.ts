/** Listens for callers and operators over HTTP or HTTPS, within bounds. */

import { createServer as createHttpServer, type Server } from 'node:http';
import { createServer as createHttpsServer } from 'node:https';
import type { AddressInfo, Socket } from 'node:net';
import { getRequestListener } from '@hono/node-server';
import type { Hono } from 'hono';
import type { Address } from '@bamboowell/types/vm';

/** A certificate and its key, PEM text. */
export interface TlsIdentity {
  readonly cert: string;
  readonly key: string;
}

export interface HttpServerOptions {
  readonly host: string;
  readonly port: number;
  readonly tls: TlsIdentity | null;
  readonly maxConnections: number;
  /** Longest time that a request's headers may take, milliseconds. */
  readonly headersTimeoutMillis: number;
  /** Longest time that a whole request may take to arrive, milliseconds. */
  readonly requestTimeoutMillis: number;
  /** How long a connection stays open after an answer without a further request, milliseconds. */
  readonly idleTimeoutMillis: number;
}

/** Longest headers of one request, bytes. */
const MAX_HEADER_BYTES = 16 * 1024;

/** The server looks for connections over their time this often at least, milliseconds. */
const MAX_CHECK_MILLIS = 1_000;

export class HttpServer {
  private readonly server: Server;

  constructor(
    app: Hono,
    private readonly options: HttpServerOptions,
  ) {
    const listener = getRequestListener(app.fetch);
    const bounds = boundsOf(options);
    this.server =
      options.tls === null
        ? createHttpServer(bounds, (request, response) => void listener(request, response))
        : createHttpsServer(
            { ...bounds, ...options.tls },
            (request, response) => void listener(request, response),
          );
    this.server.maxConnections = options.maxConnections;
    this.server.on('timeout', closeIfSilent);
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

  /** Replaces the certificate for new connections. */
  setTls(tls: TlsIdentity): void {
    if ('setSecureContext' in this.server) {
      (this.server as unknown as { setSecureContext(tls: TlsIdentity): void }).setSecureContext(
        tls,
      );
    }
  }

  /** Takes no new connection and resolves once every request in hand was answered. */
  async drain(): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      this.server.close(() => {
        resolve();
      });
    });
    this.server.closeIdleConnections();
    await closed;
  }

  /** Cuts what is still open. */
  abort(): void {
    this.server.closeAllConnections();
  }
}

/**
 * Closes an idle connection unless a request waits on it. After the process stood still, its
 * timers come due before it reads what arrived meanwhile; to close then would reset a request.
 */
function closeIfSilent(socket: Socket): void {
  const before = socket.bytesRead;
  setImmediate(() => {
    if (socket.bytesRead === before) {
      socket.destroy();
    }
  });
}

function boundsOf({
  headersTimeoutMillis: headersMillis,
  requestTimeoutMillis: requestMillis,
  idleTimeoutMillis: idleMillis,
}: HttpServerOptions) {
  return {
    headersTimeout: headersMillis,
    requestTimeout: requestMillis,
    keepAliveTimeout: idleMillis,
    connectionsCheckingInterval: Math.min(headersMillis, MAX_CHECK_MILLIS),
    maxHeaderSize: MAX_HEADER_BYTES,
  };
}
