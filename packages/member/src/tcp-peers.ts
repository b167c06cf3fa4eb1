/** Connects members over long-lived TCP connections. */

import type { Socket } from 'node:net';
import type { Deadline } from '@bamboowell/types/time';
import type { Address } from '@bamboowell/types/vm';
import { connect } from '@bamboowell/wire/connect';
import { Listener } from '@bamboowell/wire/listener';
import { TcpConnection } from '@bamboowell/wire/tcp-connection';
import type { Traffic } from './traffic.js';
import { Peers, type DialResult, type PeersOptions } from './peers.js';

/** A member sends a ping at least this often. */
const PING_INTERVAL_MILLIS = 300;
/**
 * A connection without data for this long counts as silent: several pings plus the pauses of a slow
 * machine.
 */
const SILENCE_TIMEOUT_MILLIS = 1100;

const KEEP_ALIVE = { pingMillis: PING_INTERVAL_MILLIS, silenceMillis: SILENCE_TIMEOUT_MILLIS };

export class TcpPeers extends Peers {
  private readonly listener: Listener;

  constructor(
    options: PeersOptions,
    private readonly traffic: Traffic,
  ) {
    super(options);
    const { settings, clock } = options;
    this.listener = new Listener({
      ...settings.peerAddress,
      clock,
      make: (socket: Socket) => {
        traffic.track('members', socket);
        return new TcpConnection(socket, { clock, keepAlive: KEEP_ALIVE });
      },
      accept: (connection) => {
        this.accept(connection);
      },
    });
  }

  async listen(): Promise<void> {
    await this.listener.listen();
  }

  async close(deadline: Deadline): Promise<void> {
    this.closeAll();
    await this.listener.close(deadline);
  }

  async dial(address: Address, deadline: Deadline): Promise<DialResult> {
    const { clock } = this.options;
    const opened = (socket: Socket): void => {
      this.traffic.track('members', socket);
    };
    const result = await connect({ address, clock, deadline, keepAlive: KEEP_ALIVE, opened });
    return result instanceof TcpConnection ? { kind: 'connected', connection: result } : result;
  }
}
