/** A connection between two processes that carries JSON-RPC 2.0 in both directions. */

import type { Deadline } from '@bamboowell/types/time';
import type { KeepAliveTimes } from './keep-alive.js';

/** Why a connection ended. `silent`: the other end sent nothing, not even pings, for too long. */
export type CloseReason = 'closed' | 'reset' | 'silent' | 'protocol_error';

/**
 * Result of a request. In terms of verdicts, `not_sent` is `not_run` and `unknown` is
 * `may_have_run`.
 */
export type WireAnswer =
  | { readonly kind: 'answered'; readonly value: unknown }
  /** The other end answered with this error: as a rule its handler threw it. */
  | { readonly kind: 'failed'; readonly code: number; readonly message: string }
  /** No byte of the request left this process. */
  | { readonly kind: 'not_sent' }
  /** The request was sent, but no answer came before the deadline or the end of the connection. */
  | { readonly kind: 'unknown' };

/** Handles a request or notification. The returned value is the answer to a request. */
export type Handler = (params: unknown) => unknown;

export abstract class Connection {
  private suspicionListener: (isSuspect: boolean) => void = () => undefined;

  /** Resolves when the connection has ended; never rejects. */
  abstract readonly ended: Promise<CloseReason>;

  /** Sends a request. Answers are matched by id; late and unknown ones are dropped and counted. */
  abstract request(method: string, params: unknown, deadline: Deadline): Promise<WireAnswer>;

  /**
   * Sends a notification. `congested`: the send buffer is over its limit, or the message is too
   * long, and nothing was sent.
   */
  abstract notify(method: string, params: unknown): 'sent' | 'closed' | 'congested';

  /** Sets the handler of a method. Messages that arrive before it is set are errors. */
  abstract handle(method: string, handler: Handler): void;

  /** Pings, and detects silence, by other times from now on; the other end must do the same. */
  abstract setKeepAlive(times: KeepAliveTimes): void;

  /**
   * Calls the listener when the other end has been silent for the `suspicionMillis` of the keep-alive, and when
   * it is heard again. Does nothing on a connection without such times.
   */
  watchSuspicion(listener: (isSuspect: boolean) => void): void {
    this.suspicionListener = listener;
  }

  protected notifySuspicion(isSuspect: boolean): void {
    this.suspicionListener(isSuspect);
  }

  /** Ends the connection. */
  abstract close(): void;
}
