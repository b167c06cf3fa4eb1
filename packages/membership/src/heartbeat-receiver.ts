/** Puts heartbeats together again from their details and what follows on the same connection. */

import type { Connection } from '@bamboowell/wire/connection';
import type { Heartbeat } from './heartbeat.js';
import { parseBeat, parseDetails, type DetailsParams } from './heartbeat-schema.js';

export class HeartbeatReceiver {
  private readonly details = new WeakMap<Connection, DetailsParams>();

  /** Keeps the details. Returns whether they are well-formed. */
  receiveDetails(connection: Connection, params: unknown): boolean {
    const parsed = parseDetails(params);
    if (parsed !== undefined) {
      this.details.set(connection, parsed);
    }
    return parsed !== undefined;
  }

  /** The whole heartbeat; nothing if it is malformed or its details did not come before it. */
  receive(connection: Connection, params: unknown): Heartbeat | undefined {
    const parsed = parseBeat(params);
    const known = this.details.get(connection);
    if (parsed === undefined || known?.number !== parsed.details) {
      return undefined;
    }
    return { ...parsed.beat, ...known.details };
  }
}
