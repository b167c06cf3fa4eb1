/** Serves a registry's metrics over HTTP as text. */

import type { Server } from 'node:http';
import { serve } from '@hono/node-server';
import { Hono } from 'hono';
import type { Registry } from 'prom-client';
import type { Address } from '@bamboowell/types/vm';

export const METRICS_PATH = '/metrics';

export class MetricsServer {
  private server: Server | undefined;

  constructor(private readonly registry: Registry) {}

  /**
   * Resolves to the address that it listens on; port 0 lets the system choose. Rejects if the port
   * is taken.
   */
  open({ host, port }: Address): Promise<Address> {
    const app = new Hono();
    app.get(METRICS_PATH, async (context) =>
      context.text(await this.registry.metrics(), 200, {
        'content-type': this.registry.contentType,
      }),
    );
    return new Promise((resolve, reject) => {
      this.server = serve(
        { fetch: app.fetch, hostname: host, port, overrideGlobalObjects: false },
        (info) => {
          resolve({ host, port: info.port });
        },
      ) as Server;
      this.server.once('error', reject);
    });
  }

  close(): void {
    this.server?.close();
    this.server?.closeAllConnections();
  }
}
