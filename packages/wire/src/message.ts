/** JSON-RPC 2.0 messages. Batches are not used between our processes. */

import {
  JSONRPCErrorCode,
  createJSONRPCErrorResponse,
  isJSONRPCID,
  isJSONRPCRequest,
  isJSONRPCResponse,
  type JSONRPCRequest,
  type JSONRPCResponse,
} from 'json-rpc-2.0';
import type { WireAnswer } from './connection.js';

export type Message = JSONRPCRequest | JSONRPCResponse;

export type ReceivedMessage =
  | { readonly kind: 'request'; readonly request: JSONRPCRequest }
  | { readonly kind: 'response'; readonly response: JSONRPCResponse }
  | { readonly kind: 'malformed' };

/** Parses a frame, which is malformed unless it is one JSON-RPC 2.0 request or response. */
export function parseMessage(frame: Buffer): ReceivedMessage {
  const value = parseObject(frame);
  if (isJSONRPCResponse(value) && isJSONRPCID(value.id) && hasValidError(value)) {
    return { kind: 'response', response: value };
  }
  if (isJSONRPCRequest(value) && typeof value.method === 'string' && hasValidId(value)) {
    return { kind: 'request', request: value };
  }
  return { kind: 'malformed' };
}

function hasValidError({ error }: { readonly error?: unknown }): boolean {
  if (error === undefined) {
    return true;
  }
  const { code, message } = (error ?? {}) as { code?: unknown; message?: unknown };
  return typeof code === 'number' && typeof message === 'string';
}

function hasValidId({ id }: JSONRPCRequest): boolean {
  return id === undefined || isJSONRPCID(id);
}

/** Returns the object in the frame, or an empty one if the frame contains anything else. */
function parseObject(frame: Buffer): object {
  try {
    const value: unknown = JSON.parse(frame.toString('utf8'));
    return typeof value === 'object' && value !== null ? value : {};
  } catch {
    return {};
  }
}

/** Converts a response to the answer that the sender of the request gets. */
export function answerOf(response: JSONRPCResponse): WireAnswer {
  return response.error === undefined
    ? { kind: 'answered', value: response.result as unknown }
    : { kind: 'failed', code: response.error.code, message: response.error.message };
}

/** Returns the error that is sent instead of an answer that is too large. */
export function oversizeAnswer(response: JSONRPCResponse): JSONRPCResponse {
  return createJSONRPCErrorResponse(
    response.id,
    JSONRPCErrorCode.InternalError,
    'the answer is too large for a message',
  );
}
