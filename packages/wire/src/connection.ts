/** A connection between two processes that speaks json-rpc-2.0 in both directions. */

import type { Deadline } from '@bamboowell/types/time';

/** Why a connection ended. `silent`: the other end's pings stopped coming. */
export type CloseReason = 'closed' | 'reset' | 'silent' | 'protocol_error';

/** What became of a request. Its verdict: `not_sent` is `not_run`, `unknown` is `may_have_run`. */
export type WireAnswer =
  | { readonly kind: 'answered'; readonly value: unknown }
  /** The other end ran the handler, which threw this. */
  | { readonly kind: 'failed'; readonly code: number; readonly message: string }
  /** Not one byte of it left this process. */
  | { readonly kind: 'not_sent' }
  /** Sent, and no answer came before the deadline or the end of the connection. */
  | { readonly kind: 'unknown' };

/** Handles a request or notification. The value returned answers a request. */
export type Handler = (params: unknown) => unknown;

export abstract class Connection {
  /** Resolves when the connection has ended; never rejects. */
  abstract readonly ended: Promise<CloseReason>;

  /** Sends a request. Answers are matched by id: late and unknown ones are dropped and counted. */
  abstract request(method: string, params: unknown, deadline: Deadline): Promise<WireAnswer>;

  /** Sends a notification. `congested`: the send buffer is over its bound and nothing was sent. */
  abstract notify(method: string, params: unknown): 'sent' | 'closed' | 'congested';

  /** Sets the handler of a method. Messages that came earlier without a handler are errors. */
  abstract handle(method: string, handler: Handler): void;

  /** Ends the connection. */
  abstract close(): void;
}
