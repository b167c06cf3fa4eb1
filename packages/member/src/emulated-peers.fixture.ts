/** In-memory connections between members. */

import type { Alarm, Clock } from '@bamboowell/kernel/clock';
import { brandAs, type MemberId } from '@bamboowell/types/ids';
import { deadlineAfter, type Deadline } from '@bamboowell/types/time';
import type { Address } from '@bamboowell/types/vm';
import {
  Connection,
  type CloseReason,
  type Handler,
  type WireAnswer,
} from '@bamboowell/wire/connection';
import type { KeepAliveTimes } from '@bamboowell/wire/keep-alive';
import type { EmulatedCuts } from './emulated-cuts.fixture.js';
import { EmulatedLines, type EmulatedLink } from './emulated-link.fixture.js';
import { MEMBER_KEEP_ALIVE } from './owner-silence.js';
import { Peers, type DialResult, type DialTarget, type PeersOptions } from './peers.js';

const ONE_WAY_MILLIS = 1;
/** The listening members by address. */
export class EmulatedNetwork {
  readonly listeners = new Map<string, EmulatedPeers>();

  constructor(
    readonly lines: EmulatedLines,
    readonly cuts: EmulatedCuts,
  ) {}
}

export class EmulatedPeers extends Peers {
  /** Delay of incoming messages at a busy process. */
  lagMillis = 0;
  private hasEnded = false;
  private readonly connectionEnds = new Set<EmulatedConnection>();

  constructor(
    options: PeersOptions,
    readonly clock: Clock,
    readonly link: EmulatedLink,
    readonly network: EmulatedNetwork,
  ) {
    super(options);
  }

  get region(): string {
    return this.options.settings.region;
  }

  get member(): MemberId {
    return this.options.settings.member;
  }

  listen(): Promise<void> {
    this.network.listeners.set(nameOf(this.options.settings.peerAddress), this);
    return Promise.resolve();
  }

  override get ports(): number {
    return 1;
  }

  dial({ address }: DialTarget, deadline: Deadline): Promise<DialResult> {
    if (this.hasEnded) {
      return this.timeOut(deadline);
    }
    if (!this.network.cuts.connects(this.member, brandAs<MemberId>(address.host))) {
      return this.timeOut(deadline);
    }
    const other = this.network.listeners.get(nameOf(address));
    if (other === undefined) {
      return Promise.resolve({ kind: 'unreachable', detail: 'nobody listens', isRefused: true });
    }
    const mine = new EmulatedConnection(this);
    const theirs = new EmulatedConnection(other);
    mine.attachPeer(theirs);
    theirs.attachPeer(mine);
    this.connectionEnds.add(mine);
    other.connectionEnds.add(theirs);
    other.accept(theirs);
    return Promise.resolve({ kind: 'connected', connection: mine });
  }

  private async timeOut(deadline: Deadline): Promise<DialResult> {
    await this.clock.sleepUntil(deadline);
    return { kind: 'unreachable', detail: 'timed out', isRefused: false };
  }

  close(): Promise<void> {
    this.closeAll();
    return Promise.resolve();
  }

  /** The process has ended, which the other ends see at once. */
  processEnded(): void {
    this.hasEnded = true;
    this.network.listeners.delete(nameOf(this.options.settings.peerAddress));
    this.terminateAll('reset');
  }

  /** The other ends have detected that this process no longer sends anything. */
  dropAsSilent(): void {
    this.terminateAll('silent');
  }

  /** The other ends have noticed that this process is silent, or hear it again. */
  suspectAsSilent(isSuspect: boolean): void {
    this.connectionEnds.forEach((end) => {
      end.suspectAtPeer(isSuspect);
    });
  }

  private terminateAll(reason: CloseReason): void {
    this.connectionEnds.forEach((end) => {
      end.terminate(reason);
    });
    this.connectionEnds.clear();
  }
}

function nameOf({ host, port }: Address): string {
  return `${host}:${port}`;
}

/** The process and machine at one end of a connection. */
interface Host {
  readonly member: MemberId;
  readonly clock: Clock;
  readonly lagMillis: number;
  readonly link: EmulatedLink;
  readonly region: string;
  readonly network: EmulatedNetwork;
}

class EmulatedConnection extends Connection {
  readonly ended: Promise<CloseReason>;
  private isEnded = false;
  /** Resolves when all that was sent to this end so far has crossed the line between the regions. */
  private crossed: Promise<unknown> = Promise.resolve();
  private peer: EmulatedConnection | undefined;
  private resolveEnded: (reason: CloseReason) => void = () => undefined;
  private readonly handlers = new Map<string, Handler>();
  private readonly pendingAborts = new Set<() => void>();
  private times: KeepAliveTimes = MEMBER_KEEP_ALIVE;
  /** Set while a cut stops what the other end sends. */
  private silenceAlarms: Alarm[] = [];
  private readonly stopWatchingCuts: () => void;

  constructor(private readonly host: Host) {
    super();
    this.ended = new Promise((resolve) => {
      this.resolveEnded = resolve;
    });
    this.stopWatchingCuts = host.network.cuts.onChange(() => {
      this.cutsChanged();
    });
  }

  attachPeer(peer: EmulatedConnection): void {
    this.peer = peer;
  }

  request(method: string, params: unknown, deadline: Deadline): Promise<WireAnswer> {
    const { peer } = this;
    if (this.isEnded || peer === undefined) {
      return Promise.resolve({ kind: 'not_sent' });
    }
    return new Promise((resolve) => {
      const settle = (answer: WireAnswer): void => {
        this.pendingAborts.delete(giveUp);
        resolve(answer);
      };
      const giveUp = (): void => {
        settle({ kind: 'unknown' });
      };
      this.pendingAborts.add(giveUp);
      this.host.clock.wakeAt(deadline, giveUp);
      peer.deliver(params, async () => {
        const value = await peer.handlers.get(method)?.(copyOf(params));
        this.deliver(value, () => {
          settle({ kind: 'answered', value: copyOf(value) });
        });
      });
    });
  }

  notify(method: string, params: unknown): 'sent' | 'closed' {
    const { peer } = this;
    if (this.isEnded || peer === undefined) {
      return 'closed';
    }
    peer.deliver(params, () => {
      peer.handlers.get(method)?.(copyOf(params));
    });
    return 'sent';
  }

  handle(method: string, handler: Handler): void {
    this.handlers.set(method, handler);
  }

  /** No pings are emulated; silence comes from cuts and `dropAsSilent`. */
  setKeepAlive(times: KeepAliveTimes): void {
    this.times = times;
  }

  suspectAtPeer(isSuspect: boolean): void {
    if (!this.isEnded) {
      this.peer?.notifySuspicion(isSuspect);
    }
  }

  close(): void {
    this.terminate('closed');
  }

  /** Ends the connection at both ends. */
  terminate(reason: CloseReason): void {
    this.endHere(reason);
    this.peer?.endedElsewhere(reason);
  }

  /** The other end has ended, which this one sees once that has arrived. */
  private endedElsewhere(reason: CloseReason): void {
    this.deliver(undefined, () => {
      this.endHere(reason);
    });
  }

  private endHere(reason: CloseReason): void {
    if (this.isEnded) {
      return;
    }
    this.isEnded = true;
    this.stopWatchingCuts();
    this.cancelSilence();
    [...this.pendingAborts].forEach((giveUp) => {
      giveUp();
    });
    this.resolveEnded(reason);
  }

  private get hearsPeer(): boolean {
    const { peer, host } = this;
    return peer === undefined || host.network.cuts.carries(peer.host.member, host.member);
  }

  private cutsChanged(): void {
    if (this.hearsPeer) {
      if (this.silenceAlarms.length > 0) {
        this.notifySuspicion(false);
      }
      this.cancelSilence();
      return;
    }
    if (this.silenceAlarms.length > 0) {
      return;
    }
    const { clock } = this.host;
    const { silenceMillis, suspicionMillis = silenceMillis } = this.times;
    this.silenceAlarms = [
      clock.wakeAt(deadlineAfter(clock.now(), suspicionMillis), () => {
        this.notifySuspicion(true);
      }),
      clock.wakeAt(deadlineAfter(clock.now(), silenceMillis), () => {
        this.endHere('silent');
        this.peer?.endedElsewhere('reset');
      }),
    ];
  }

  private cancelSilence(): void {
    this.silenceAlarms.splice(0).forEach((alarm) => {
      alarm.cancel();
    });
  }

  /** Resolves when the message has crossed the line from the other end's region, if there is one. */
  private cross(message: unknown): Promise<unknown> {
    const { region, network } = this.host;
    const line = network.lines.between(this.peer?.host.region ?? region, region);
    if (line !== undefined) {
      this.crossed = this.crossed.then(() => line.transmit(message, () => !this.isEnded));
    }
    return this.crossed;
  }

  /** Acts at this end once the message has arrived and the process is running. */
  private deliver(message: unknown, act: () => unknown): void {
    const { clock, link, lagMillis } = this.host;
    const sent = this.peer?.host.link.transmit('out', message);
    void Promise.resolve(sent).then(async () => {
      await this.cross(message);
      await clock.sleepUntil(deadlineAfter(clock.now(), ONE_WAY_MILLIS + lagMillis));
      // What was sent is sent again until it has crossed, or the connection ends.
      if (!this.hearsPeer && this.peer !== undefined) {
        await this.host.network.cuts.restored(this.peer.host.member, this.host.member);
      }
      await link.transmit('in', message);
      if (!this.isEnded) {
        act();
      }
    });
  }
}

/** Copies a value as the JSON encoding of a real connection does. */
function copyOf(value: unknown): unknown {
  return value === undefined ? undefined : (JSON.parse(JSON.stringify(value)) as unknown);
}
