/** Connects members over long-lived TCP connections. */

import type { Socket } from 'node:net';
import type { Deadline } from '@bamboowell/types/time';
import type { Address } from '@bamboowell/types/vm';
import { connect } from '@bamboowell/wire/connect';
import { Listener } from '@bamboowell/wire/listener';
import { TcpConnection } from '@bamboowell/wire/tcp-connection';
import {
  HELLO_TIMEOUT_MILLIS,
  Peers,
  type DialResult,
  type DialTarget,
  type PeersOptions,
} from './peers.js';
import { MEMBER_KEEP_ALIVE } from './owner-silence.js';
import type { Traffic } from './traffic.js';

/**
 * Maximum number of ports to listen at. Node accepts about one connection a port in each iteration of
 * its event loop, which takes a tenth of a second in an owner under full load, and all members dial
 * a new owner in the same moment.
 */
const MAX_LISTENERS = 8;

export class TcpPeers extends Peers {
  private readonly listeners: readonly Listener[];

  constructor(
    options: PeersOptions,
    private readonly traffic: Traffic,
  ) {
    super(options);
    const { host, port } = options.settings.peerAddress;
    this.listeners = Array.from({ length: this.ports }, (_, index) =>
      this.newListener({ host, port: port + index }),
    );
  }

  override get ports(): number {
    return Math.max(1, Math.min(MAX_LISTENERS, this.options.settings.peerPorts));
  }

  async listen(): Promise<void> {
    await Promise.all(this.listeners.map((listener) => listener.listen()));
  }

  async close(deadline: Deadline): Promise<void> {
    this.closeAll();
    await Promise.all(this.listeners.map((listener) => listener.close(deadline)));
  }

  async dial({ address, ports = 1 }: DialTarget, deadline: Deadline): Promise<DialResult> {
    const { clock } = this.options;
    const result = await connect({
      address: { ...address, port: address.port + Math.floor(Math.random() * ports) },
      clock,
      deadline,
      keepAlive: { ...MEMBER_KEEP_ALIVE, firstMessageMillis: HELLO_TIMEOUT_MILLIS },
      opened: (socket) => {
        this.traffic.track('members', socket);
      },
    });
    return result instanceof TcpConnection ? { kind: 'connected', connection: result } : result;
  }

  private newListener(address: Address): Listener {
    const { clock } = this.options;
    return new Listener({
      ...address,
      clock,
      make: (socket: Socket) => {
        this.traffic.track('members', socket);
        return new TcpConnection(socket, { clock, keepAlive: MEMBER_KEEP_ALIVE });
      },
      accept: (connection) => {
        this.accept(connection);
      },
    });
  }
}
