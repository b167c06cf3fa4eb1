/** Connections between members in memory. */

import type { Clock } from '@bamboowell/kernel/clock';
import { deadlineAfter, type Deadline } from '@bamboowell/types/time';
import type { Address } from '@bamboowell/types/vm';
import {
  Connection,
  type CloseReason,
  type Handler,
  type WireAnswer,
} from '@bamboowell/wire/connection';
import type { EmulatedLink } from './emulated-link.fixture.js';
import { Peers, type DialResult, type PeersOptions } from './peers.js';

const WAY_MILLIS = 1;

/** Who listens where. */
export class EmulatedNetwork {
  readonly listeners = new Map<string, EmulatedPeers>();
}

export class EmulatedPeers extends Peers {
  /** How long what arrives waits for this process, which has much to do, milliseconds. */
  lagMillis = 0;
  private readonly ends = new Set<EmulatedConnection>();

  constructor(
    options: PeersOptions,
    readonly clock: Clock,
    readonly link: EmulatedLink,
    private readonly network: EmulatedNetwork,
  ) {
    super(options);
  }

  listen(): Promise<void> {
    this.network.listeners.set(nameOf(this.options.settings.peerAddress), this);
    return Promise.resolve();
  }

  dial(address: Address): Promise<DialResult> {
    const other = this.network.listeners.get(nameOf(address));
    if (other === undefined) {
      return Promise.resolve({ kind: 'unreachable', detail: 'nobody listens', isRefused: true });
    }
    const mine = new EmulatedConnection(this);
    const theirs = new EmulatedConnection(other);
    mine.join(theirs);
    theirs.join(mine);
    this.ends.add(mine);
    other.ends.add(theirs);
    other.accept(theirs);
    return Promise.resolve({ kind: 'connected', connection: mine });
  }

  close(): Promise<void> {
    this.closeAll();
    return Promise.resolve();
  }

  /** The process ended: the other ends see that at once. */
  vanish(): void {
    this.network.listeners.delete(nameOf(this.options.settings.peerAddress));
    this.loseAll('reset');
  }

  /** The other ends noticed that nothing comes any more. */
  fallSilent(): void {
    this.loseAll('silent');
  }

  private loseAll(reason: CloseReason): void {
    this.ends.forEach((end) => {
      end.lose(reason);
    });
    this.ends.clear();
  }
}

function nameOf({ host, port }: Address): string {
  return `${host}:${port}`;
}

/** Where one end of a connection is. */
interface Place {
  readonly clock: Clock;
  readonly lagMillis: number;
  readonly link: EmulatedLink;
}

class EmulatedConnection extends Connection {
  readonly ended: Promise<CloseReason>;
  private isEnded = false;
  private other: EmulatedConnection | undefined;
  private resolveEnded: (reason: CloseReason) => void = () => undefined;
  private readonly handlers = new Map<string, Handler>();
  private readonly unsettled = new Set<() => void>();

  constructor(private readonly place: Place) {
    super();
    this.ended = new Promise((resolve) => {
      this.resolveEnded = resolve;
    });
  }

  join(other: EmulatedConnection): void {
    this.other = other;
  }

  request(method: string, params: unknown, deadline: Deadline): Promise<WireAnswer> {
    const { other } = this;
    if (this.isEnded || other === undefined) {
      return Promise.resolve({ kind: 'not_sent' });
    }
    return new Promise((resolve) => {
      const settle = (answer: WireAnswer): void => {
        this.unsettled.delete(giveUp);
        resolve(answer);
      };
      const giveUp = (): void => {
        settle({ kind: 'unknown' });
      };
      this.unsettled.add(giveUp);
      this.place.clock.wakeAt(deadline, giveUp);
      other.deliver(params, async () => {
        const value = await other.handlers.get(method)?.(copyOf(params));
        this.deliver(value, () => {
          settle({ kind: 'answered', value: copyOf(value) });
        });
      });
    });
  }

  notify(method: string, params: unknown): 'sent' | 'closed' {
    const { other } = this;
    if (this.isEnded || other === undefined) {
      return 'closed';
    }
    other.deliver(params, () => {
      other.handlers.get(method)?.(copyOf(params));
    });
    return 'sent';
  }

  handle(method: string, handler: Handler): void {
    this.handlers.set(method, handler);
  }

  close(): void {
    this.lose('closed');
  }

  /** Both ends learn that it is over. */
  lose(reason: CloseReason): void {
    this.endHere(reason);
    const { other } = this;
    other?.deliver(undefined, () => {
      other.endHere(reason);
    });
  }

  private endHere(reason: CloseReason): void {
    if (this.isEnded) {
      return;
    }
    this.isEnded = true;
    [...this.unsettled].forEach((giveUp) => {
      giveUp();
    });
    this.resolveEnded(reason);
  }

  /** Runs on this end's side, once the way is done and its process runs. */
  private deliver(message: unknown, act: () => unknown): void {
    const { clock, link, lagMillis } = this.place;
    const sent = this.other?.place.link.transmit('out', message);
    void Promise.resolve(sent).then(async () => {
      await clock.sleepUntil(deadlineAfter(clock.now(), WAY_MILLIS + lagMillis));
      await link.transmit('in', message);
      if (!this.isEnded) {
        act();
      }
    });
  }
}

/** What goes over the wire is text. */
function copyOf(value: unknown): unknown {
  return value === undefined ? undefined : (JSON.parse(JSON.stringify(value)) as unknown);
}
