/**
 * Serves a registry's metrics over HTTP as text, on the runtime's own module: the Fetch API's classes
 * would take a member's memory for this alone.
 */

import { createServer, type Server, type ServerResponse } from 'node:http';
import type { Registry } from 'prom-client';
import type { Address } from '@bamboowell/types/vm';

export const METRICS_PATH = '/metrics';

export class MetricsServer {
  private readonly server: Server;

  constructor(private readonly registry: Registry) {
    this.server = createServer((request, response) => {
      if (request.method === 'GET' && request.url?.split('?')[0] === METRICS_PATH) {
        void this.answer(response);
      } else {
        response.writeHead(404).end();
      }
    });
  }

  /**
   * Resolves to the address that it listens on; port 0 lets the system choose. Rejects if the port
   * is taken.
   */
  open({ host, port }: Address): Promise<Address> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen({ host, port }, () => {
        const address = this.server.address();
        resolve({ host, port: typeof address === 'object' ? (address?.port ?? port) : port });
      });
    });
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async answer(response: ServerResponse): Promise<void> {
    const { registry } = this;
    const text = await registry.metrics();
    response.writeHead(200, { 'content-type': registry.contentType }).end(text);
  }
}
