/** Counts the bytes of a member's connections by the kind of remote endpoint. */

/** The remote end of a connection. */
export type Endpoint = 'callers' | 'members' | 'store' | 'workers' | 'adviser';

export const ENDPOINTS: readonly Endpoint[] = ['callers', 'members', 'store', 'workers', 'adviser'];

/** Bytes received and sent. */
export interface ByteCount {
  readonly received: number;
  readonly sent: number;
}

/** The part of a socket that byte counting needs. */
export interface CountedSocket {
  readonly bytesRead: number;
  readonly bytesWritten: number;
  once(event: 'close', listener: () => void): unknown;
}

const NO_BYTES: ByteCount = { received: 0, sent: 0 };

export class Traffic {
  private readonly sockets = new Map<CountedSocket, Endpoint>();
  /** Totals of sockets that have closed. */
  private readonly closed = new Map<Endpoint, ByteCount>();
  private readonly reported = new Map<Endpoint, ByteCount>();

  /** Counts all bytes of the socket until it closes. */
  track(endpoint: Endpoint, socket: CountedSocket): void {
    this.sockets.set(socket, endpoint);
    socket.once('close', () => {
      this.sockets.delete(socket);
      this.closed.set(endpoint, sum(this.closed.get(endpoint) ?? NO_BYTES, countOf(socket)));
    });
  }

  /** Returns the bytes since the last call. */
  takeCounts(): ReadonlyMap<Endpoint, ByteCount> {
    const totals = new Map(this.closed);
    for (const [socket, endpoint] of this.sockets) {
      totals.set(endpoint, sum(totals.get(endpoint) ?? NO_BYTES, countOf(socket)));
    }
    const counts = new Map<Endpoint, ByteCount>();
    for (const endpoint of ENDPOINTS) {
      const total = totals.get(endpoint) ?? NO_BYTES;
      const before = this.reported.get(endpoint) ?? NO_BYTES;
      counts.set(endpoint, {
        received: total.received - before.received,
        sent: total.sent - before.sent,
      });
      this.reported.set(endpoint, total);
    }
    return counts;
  }
}

function countOf({ bytesRead, bytesWritten }: CountedSocket): ByteCount {
  return { received: bytesRead, sent: bytesWritten };
}

function sum(left: ByteCount, right: ByteCount): ByteCount {
  return { received: left.received + right.received, sent: left.sent + right.sent };
}
