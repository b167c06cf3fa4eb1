/** Sends heartbeats, with the details only where the other end of a connection lacks them. */

import type { Connection } from '@bamboowell/wire/connection';
import { DETAILS_METHOD, HEARTBEAT_METHOD, type Beat, type Details } from './heartbeat.js';
import type { BeatParams, DetailsParams } from './heartbeat-schema.js';
import type { MembersCounter } from './members-messages.js';

/** The details that were sent last on a connection. */
interface SentDetails {
  readonly number: number;
  readonly text: string;
}

export class HeartbeatSender {
  private readonly sent = new WeakMap<Connection, SentDetails>();

  constructor(private readonly count: (counter: MembersCounter) => void) {}

  /** A connection keeps the order of what it carries, so that the beat follows its details. */
  send(connection: Connection, beat: Beat, details: Details): void {
    const number = this.sendDetails(connection, details);
    const params = number === undefined ? undefined : ({ beat, details: number } as BeatParams);
    const sent = params !== undefined && connection.notify(HEARTBEAT_METHOD, params) === 'sent';
    this.count(sent ? 'heartbeats_sent' : 'heartbeats_congested');
  }

  /** The number under which the other end has the details; none if they could not be sent. */
  private sendDetails(connection: Connection, details: Details): number | undefined {
    const last = this.sent.get(connection);
    const text = JSON.stringify(details);
    if (last?.text === text) {
      return last.number;
    }
    const number = (last?.number ?? 0) + 1;
    const params: DetailsParams = { number, details };
    if (connection.notify(DETAILS_METHOD, params) !== 'sent') {
      return undefined;
    }
    this.sent.set(connection, { number, text });
    this.count('details_sent');
    return number;
  }
}
