/** A connection within one process, without sockets. For tests and replay. */

import { Connection, type CloseReason, type Handler, type WireAnswer } from './connection.js';

const METHOD_NOT_FOUND = -32_601;

/** One end of a connection. What a silent end sends is lost, and its requests get no answer. */
export class MemoryConnection extends Connection {
  readonly ended: Promise<CloseReason>;
  other: MemoryConnection | undefined;
  silent = false;
  /** The latest parameters that were sent, by method. */
  readonly lastSent = new Map<string, unknown>();
  private end: (reason: CloseReason) => void = () => undefined;
  private readonly handlers = new Map<string, Handler>();

  /**
   * @param onSend gets the size of each notification, bytes.
   * @param deliver runs what arrives at this end; a process that is paused runs it later.
   */
  constructor(
    private readonly onSend: (bytes: number) => void,
    private readonly deliver: (run: () => void) => void = (run) => {
      run();
    },
  ) {
    super();
    this.ended = new Promise((resolve) => {
      this.end = resolve;
    });
  }

  request(method: string, params: unknown): Promise<WireAnswer> {
    const { other } = this;
    if (other === undefined) {
      return Promise.resolve({ kind: 'not_sent' });
    }
    const answer = new Promise<WireAnswer>((resolve) => {
      if (!this.silent) {
        other.deliver(() => {
          void other.answer(method, params).then((value) => {
            this.deliver(() => {
              resolve(value);
            });
          });
        });
      }
    });
    const lost = this.ended.then((): WireAnswer => ({ kind: 'unknown' }));
    return Promise.race([answer, lost]);
  }

  notify(method: string, params: unknown): 'sent' | 'closed' {
    const body = JSON.stringify({ jsonrpc: '2.0', method, params });
    this.onSend(Buffer.byteLength(body));
    this.lastSent.set(method, params);
    const { other } = this;
    if (other === undefined) {
      return 'closed';
    }
    if (!this.silent) {
      const received = JSON.parse(body) as { params: unknown };
      other.deliver(() => {
        void other.handlers.get(method)?.(received.params);
      });
    }
    return 'sent';
  }

  handle(method: string, handler: Handler): void {
    this.handlers.set(method, handler);
  }

  /** Silence is set by tests and never detected here. */
  setKeepAlive(): void {
    return undefined;
  }

  close(): void {
    const { other } = this;
    this.other = undefined;
    this.deliver(() => {
      this.end('closed');
    });
    other?.close();
  }

  private async answer(method: string, params: unknown): Promise<WireAnswer> {
    const handler = this.handlers.get(method);
    return handler === undefined
      ? { kind: 'failed', code: METHOD_NOT_FOUND, message: 'no such method' }
      : { kind: 'answered', value: await handler(params) };
  }
}

export function connectEnds(near: MemoryConnection, far: MemoryConnection): void {
  near.other = far;
  far.other = near;
}
