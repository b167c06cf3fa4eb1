/** Counts the bytes of a member's connections by where they lead. */

/** Who is at the other end of a connection. */
export type Endpoint = 'callers' | 'members' | 'store' | 'workers' | 'adviser';

export const ENDPOINTS: readonly Endpoint[] = ['callers', 'members', 'store', 'workers', 'adviser'];

/** Bytes in both directions. */
export interface ByteCount {
  readonly received: number;
  readonly sent: number;
}

/** What is needed of a socket to count its bytes. */
export interface CountedSocket {
  readonly bytesRead: number;
  readonly bytesWritten: number;
  once(event: 'close', listener: () => void): unknown;
}

const NO_BYTES: ByteCount = { received: 0, sent: 0 };

export class Traffic {
  private readonly sockets = new Map<CountedSocket, Endpoint>();
  /** Of sockets that have closed. */
  private readonly closed = new Map<Endpoint, ByteCount>();
  private readonly taken = new Map<Endpoint, ByteCount>();

  /** Counts all that the socket has carried and will carry. */
  track(partner: Endpoint, socket: CountedSocket): void {
    this.sockets.set(socket, partner);
    socket.once('close', () => {
      this.sockets.delete(socket);
      this.closed.set(partner, plus(this.closed.get(partner) ?? NO_BYTES, volumeOf(socket)));
    });
  }

  /** The bytes since the last call. */
  take(): ReadonlyMap<Endpoint, ByteCount> {
    const totals = new Map(this.closed);
    for (const [socket, partner] of this.sockets) {
      totals.set(partner, plus(totals.get(partner) ?? NO_BYTES, volumeOf(socket)));
    }
    const since = new Map<Endpoint, ByteCount>();
    for (const partner of ENDPOINTS) {
      const total = totals.get(partner) ?? NO_BYTES;
      const before = this.taken.get(partner) ?? NO_BYTES;
      since.set(partner, {
        received: total.received - before.received,
        sent: total.sent - before.sent,
      });
      this.taken.set(partner, total);
    }
    return since;
  }
}

function volumeOf({ bytesRead, bytesWritten }: CountedSocket): ByteCount {
  return { received: bytesRead, sent: bytesWritten };
}

function plus(left: ByteCount, right: ByteCount): ByteCount {
  return { received: left.received + right.received, sent: left.sent + right.sent };
}
