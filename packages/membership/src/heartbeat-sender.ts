/**
 * Sends heartbeats, and their details only if the other end of the connection doesn't have them
 * yet.
 */

import type { Connection } from '@bamboowell/wire/connection';
import { DETAILS_METHOD, HEARTBEAT_METHOD, type Beat, type Details } from './heartbeat.js';
import type { BeatParams, DetailsParams } from './heartbeat-schema.js';
import type { MembersCounter } from './members-messages.js';

/** The latest details that were sent on a connection. */
interface SentDetails {
  readonly number: number;
  readonly text: string;
  /** Sequence number of the first beat that referred to them. */
  readonly firstSequence: number;
}

export class HeartbeatSender {
  private readonly sent = new WeakMap<Connection, SentDetails>();

  constructor(private readonly count: (counter: MembersCounter) => void) {}

  /**
   * Sends the details, if necessary, and then the beat that refers to them; the connection
   * preserves this order. Details are sent again until the other end has echoed a beat that
   * referred to them, because it may have set its handlers after the first ones arrived.
   * @param echoed sequence number of our newest beat that the other end has echoed
   */
  send(connection: Connection, beat: Beat, details: Details, echoed: number): void {
    const number = this.sendDetails(connection, beat.sequence, details, echoed);
    const params = number === undefined ? undefined : ({ beat, details: number } as BeatParams);
    const sent = params !== undefined && connection.notify(HEARTBEAT_METHOD, params) === 'sent';
    this.count(sent ? 'heartbeats_sent' : 'heartbeats_congested');
  }

  /**
   * Returns the number of the details on this connection, or undefined if they could not be sent.
   */
  private sendDetails(
    connection: Connection,
    sequence: number,
    details: Details,
    echoed: number,
  ): number | undefined {
    const text = JSON.stringify(details);
    const last = this.sent.get(connection);
    const unchanged = last?.text === text ? last : undefined;
    if (unchanged !== undefined && echoed >= unchanged.firstSequence) {
      return unchanged.number;
    }
    const number = unchanged?.number ?? (last?.number ?? 0) + 1;
    const params: DetailsParams = { number, details };
    if (connection.notify(DETAILS_METHOD, params) !== 'sent') {
      return undefined;
    }
    this.sent.set(connection, unchanged ?? { number, text, firstSequence: sequence });
    this.count('details_sent');
    return number;
  }
}
