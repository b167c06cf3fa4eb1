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
  track(partner: Endpoint, socket: CountedSocket): void {
    this.sockets.set(socket, partner);
    socket.once('close', () => {
      this.sockets.delete(socket);
      this.closed.set(partner, sum(this.closed.get(partner) ?? NO_BYTES, volumeOf(socket)));
    });
  }

  /** Returns the bytes since the last call. */
  takeCounts(): ReadonlyMap<Endpoint, ByteCount> {
    const totals = new Map(this.closed);
    for (const [socket, partner] of this.sockets) {
      totals.set(partner, sum(totals.get(partner) ?? NO_BYTES, volumeOf(socket)));
    }
    const since = new Map<Endpoint, ByteCount>();
    for (const partner of ENDPOINTS) {
      const total = totals.get(partner) ?? NO_BYTES;
      const before = this.reported.get(partner) ?? NO_BYTES;
      since.set(partner, {
        received: total.received - before.received,
        sent: total.sent - before.sent,
      });
      this.reported.set(partner, total);
    }
    return since;
  }
}

function volumeOf({ bytesRead, bytesWritten }: CountedSocket): ByteCount {
  return { received: bytesRead, sent: bytesWritten };
}

function sum(left: ByteCount, right: ByteCount): ByteCount {
  return { received: left.received + right.received, sent: left.sent + right.sent };
}
