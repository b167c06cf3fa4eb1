/**
 * Serves a registry's metrics over HTTP as text, on the runtime's own module: the Fetch API's classes
 * would take a member's memory for this alone.
 */

import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Registry } from 'prom-client';
import type { Address } from '@bamboowell/types/vm';
import type { OperatorEntry } from './operator-entry.js';

export const METRICS_PATH = '/metrics';
/** Longest body of a request to an operator's entry, bytes. */
const MAX_BODY_BYTES = 262_144;

export class MetricsServer {
  private readonly server: Server;

  constructor(
    private readonly registry: Registry,
    private readonly entries: readonly OperatorEntry[] = [],
  ) {
    this.server = createServer((request, response) => {
      const path = request.url?.split('?')[0];
      const entry = this.entries.find((each) => each.path === path);
      if (request.method === 'GET' && path === METRICS_PATH) {
        void this.answer(response);
      } else if (request.method === 'POST' && entry !== undefined) {
        void answerEntry(entry, request, response);
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

async function answerEntry(
  entry: OperatorEntry,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const received = await readBody(request);
  if (received === 'aborted') {
    return;
  }
  const { status, body } =
    received === 'too_long'
      ? { status: 413, body: { problem: `more than ${MAX_BODY_BYTES} bytes` } }
      : await entry.answer(received.text);
  response
    .writeHead(status, { 'content-type': 'application/json' })
    .end(`${JSON.stringify(body, undefined, 2)}\n`);
}

async function readBody(
  request: IncomingMessage,
): Promise<{ readonly text: string } | 'too_long' | 'aborted'> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      bytes += chunk.length;
      if (bytes <= MAX_BODY_BYTES) {
        chunks.push(chunk);
      }
    }
  } catch {
    return 'aborted';
  }
  return bytes > MAX_BODY_BYTES ? 'too_long' : { text: Buffer.concat(chunks).toString() };
}
