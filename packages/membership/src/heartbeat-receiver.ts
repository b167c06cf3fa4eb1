/** Reassembles heartbeats from the `details` and `heartbeat` notifications on a connection. */

import type { Connection } from '@bamboowell/wire/connection';
import type { Heartbeat } from './heartbeat.js';
import { parseBeat, parseDetails, type DetailsParams } from './heartbeat-schema.js';

export class HeartbeatReceiver {
  private readonly details = new WeakMap<Connection, DetailsParams>();

  /** Stores the details of a connection. Returns whether they are well-formed. */
  receiveDetails(connection: Connection, params: unknown): boolean {
    const parsed = parseDetails(params);
    if (parsed !== undefined) {
      this.details.set(connection, parsed);
    }
    return parsed !== undefined;
  }

  /**
   * Returns the complete heartbeat, or undefined if it is malformed or if the details to which it
   * refers have not arrived.
   */
  receive(connection: Connection, params: unknown): Heartbeat | undefined {
    const parsed = parseBeat(params);
    const known = this.details.get(connection);
    if (parsed === undefined || known?.number !== parsed.details) {
      return undefined;
    }
    return { ...parsed.beat, ...known.details };
  }
}
