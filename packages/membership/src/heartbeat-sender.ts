/** Sends heartbeats, with the details only where the other end of a connection lacks them. */

import type { Connection } from '@bamboowell/wire/connection';
import { DETAILS_METHOD, HEARTBEAT_METHOD, type Beat, type Details } from './heartbeat.js';
import type { BeatParams, DetailsParams } from './heartbeat-schema.js';
import type { MembersCounter } from './members-messages.js';

/** The details that were sent last on a connection. */
interface SentDetails {
  readonly number: number;
  readonly text: string;
  /** The first beat that named them. */
  readonly firstSequence: number;
}

export class HeartbeatSender {
  private readonly sent = new WeakMap<Connection, SentDetails>();

  constructor(private readonly count: (counter: MembersCounter) => void) {}

  /**
   * Sends a beat after the details that hold with it; the connection keeps that order. Details are
   * sent again until the other end has echoed a beat that named them, as it may have set its
   * handlers too late for the first ones.
   * @param echoed the sequence of our newest beat that the other end has told of
   */
  send(connection: Connection, beat: Beat, details: Details, echoed: number): void {
    const number = this.sendDetails(connection, beat.sequence, details, echoed);
    const params = number === undefined ? undefined : ({ beat, details: number } as BeatParams);
    const sent = params !== undefined && connection.notify(HEARTBEAT_METHOD, params) === 'sent';
    this.count(sent ? 'heartbeats_sent' : 'heartbeats_congested');
  }

  /** The number under which the other end has the details; none if they could not be sent. */
  private sendDetails(
    connection: Connection,
    sequence: number,
    details: Details,
    echoed: number,
  ): number | undefined {
    const text = JSON.stringify(details);
    const last = this.sent.get(connection);
    const same = last?.text === text ? last : undefined;
    if (same !== undefined && echoed >= same.firstSequence) {
      return same.number;
    }
    const number = same?.number ?? (last?.number ?? 0) + 1;
    const params: DetailsParams = { number, details };
    if (connection.notify(DETAILS_METHOD, params) !== 'sent') {
      return undefined;
    }
    this.sent.set(connection, same ?? { number, text, firstSequence: sequence });
    this.count('details_sent');
    return number;
  }
}
