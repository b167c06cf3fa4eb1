/**
 * A connection over a TCP or TLS socket: JSON-RPC 2.0 messages, one per line, in both directions.
 */

import type { Socket } from 'node:net';
import {
  JSONRPCClient,
  JSONRPCErrorException,
  JSONRPCServer,
  JSONRPCServerAndClient,
  createJSONRPCErrorResponse,
  type JSONRPCRequest,
  type JSONRPCResponse,
} from 'json-rpc-2.0';
import { match } from 'ts-pattern';
import type { Clock } from '@bamboowell/kernel/clock';
import { hasPassed, type Deadline } from '@bamboowell/types/time';
import { Connection, type CloseReason, type Handler, type WireAnswer } from './connection.js';
import { FrameSocket } from './frame-socket.js';
import { MAX_FRAME_BYTES, encodeFrame } from './frames.js';
import { KeepAlive, type KeepAliveTimes } from './keep-alive.js';
import { answerOf, oversizeAnswer, parseMessage, type Message } from './message.js';
import { DiscardingMeter } from './meter.js';
import { OutstandingRequests } from './outstanding-requests.js';
import { RunningHandlers } from './running-handlers.js';
import { MAX_BUFFERED_BYTES, type TcpConnectionOptions } from './tcp-connection-options.js';
import { ANSWER, Traffic, UNHANDLED } from './traffic.js';

/**
 * Error code of a request that was refused because the connection is draining. Its handler did not
 * run.
 */
export const DRAINING_CODE = -32050;

/** Error code that releases an abandoned request inside the json-rpc-2.0 library; never sent. */
const GIVEN_UP_CODE = -32051;

const PING = 'ping';
/** Encoded once: with a hundred connections, pings are a large part of all messages. */
const PING_FRAME = encodeFrame({ jsonrpc: '2.0', method: PING });

type SendState = 'sent' | 'closed' | 'congested';

export class TcpConnection extends Connection {
  readonly ended: Promise<CloseReason>;
  /** Name in the other end's certificate; absent without TLS. */
  readonly peer: string | undefined;
  private readonly clock: Clock;
  private readonly socket: FrameSocket;
  private readonly traffic: Traffic;
  private readonly maxFrameBytes: number;
  private readonly maxBufferedBytes: number;
  private readonly rpc: JSONRPCServerAndClient;
  private readonly outstanding = new OutstandingRequests();
  private readonly handlers: RunningHandlers;
  private readonly keepAlive: KeepAlive;
  private lastId = 0;
  private isPaused = false;
  private isDraining = false;
  private isEnded = false;
  private resolveEnded: (reason: CloseReason) => void = () => undefined;

  /** Takes over a connected socket. */
  constructor(socket: Socket, options: TcpConnectionOptions) {
    super();
    this.clock = options.clock;
    this.traffic = new Traffic(options.meter ?? new DiscardingMeter());
    this.maxFrameBytes = options.maxFrameBytes ?? MAX_FRAME_BYTES;
    this.maxBufferedBytes = options.maxBufferedBytes ?? MAX_BUFFERED_BYTES;
    this.peer = options.peer;
    this.handlers = new RunningHandlers(this.clock);
    this.ended = new Promise((resolve) => {
      this.resolveEnded = resolve;
    });
    this.rpc = this.makeRpc();
    const keepAliveEvents = {
      ping: () => {
        this.ping();
      },
      silent: () => {
        this.end('silent');
      },
      suspect: (isSuspect: boolean) => {
        this.notifySuspicion(isSuspect);
      },
    };
    this.keepAlive = new KeepAlive(this.clock, keepAliveEvents, options.keepAlive);
    this.handle(PING, () => null);
    this.socket = this.makeSocket(socket);
  }

  request(method: string, params: unknown, deadline: Deadline): Promise<WireAnswer> {
    const state = hasPassed(deadline, this.clock.now()) ? 'late' : this.sendState();
    if (state !== 'sent') {
      this.traffic.notSent(method, state);
      return Promise.resolve({ kind: 'not_sent' });
    }
    this.lastId += 1;
    const id = this.lastId;
    return new Promise((resolve) => {
      const alarm = this.clock.wakeAt(deadline, () => {
        this.traffic.event('request_timeouts');
        this.giveUp(id, { kind: 'unknown' });
      });
      this.outstanding.add(id, resolve, alarm);
      void this.rpc
        .requestAdvanced({ jsonrpc: '2.0', id, method, params }, undefined)
        .then((response) => {
          this.outstanding.settle(id, answerOf(response));
        });
    });
  }

  notify(method: string, params: unknown): SendState {
    const state = this.sendState();
    const sent = state === 'sent' ? this.send({ jsonrpc: '2.0', method, params }) : state;
    if (sent !== 'sent') {
      this.traffic.notSent(method, sent);
    }
    return sent;
  }

  handle(method: string, handler: Handler): void {
    this.rpc.addMethod(method, (params: unknown) => {
      if (this.isDraining) {
        throw new JSONRPCErrorException('the connection is draining', DRAINING_CODE);
      }
      return this.handlers.run(() => handler(params));
    });
  }

  setKeepAlive(times: KeepAliveTimes): void {
    this.keepAlive.setTimes(times);
  }

  close(): void {
    this.end('closed');
  }

  /** Stops reading: what the other end sends waits, and no handler is called until `resume`. */
  pause(): void {
    this.isPaused = true;
    this.keepAlive.pause();
    this.socket.pause();
  }

  resume(): void {
    if (!this.isPaused || this.isEnded) {
      return;
    }
    this.isPaused = false;
    this.keepAlive.resume();
    this.socket.resume();
  }

  /** Refuses new messages, waits until running handlers end or the deadline passes, then closes. */
  async drain(deadline: Deadline): Promise<void> {
    this.isDraining = true;
    await this.handlers.idle(deadline);
    this.close();
  }

  /** Writes a frame to the socket. */
  protected write(frame: Buffer): void {
    this.socket.write(frame);
  }

  private makeSocket(socket: Socket): FrameSocket {
    const { clock, traffic, maxFrameBytes } = this;
    return new FrameSocket(
      socket,
      { clock, traffic, maxFrameBytes },
      {
        arrived: () => {
          this.keepAlive.received();
        },
        frame: (frame) => {
          this.handleFrame(frame);
        },
        ended: (reason) => {
          this.end(reason);
        },
      },
    );
  }

  private makeRpc(): JSONRPCServerAndClient {
    const errorListener = (): void => {
      this.traffic.event('handler_errors');
    };
    const server = new JSONRPCServer({ errorListener });
    const client = new JSONRPCClient((message: JSONRPCRequest | JSONRPCResponse) => {
      if ('method' in message) {
        this.sendRequest(message);
      } else {
        this.sendResponse(message);
      }
    });
    return new JSONRPCServerAndClient(server, client, { errorListener });
  }

  private ping(): void {
    if (this.sendState() === 'sent') {
      this.traffic.sent(PING, PING_FRAME.length);
      this.write(PING_FRAME);
    }
  }

  private handleFrame(frame: Buffer): void {
    if (isPing(frame)) {
      this.traffic.received(PING, frame.length + 1);
      return;
    }
    match(parseMessage(frame))
      .with({ kind: 'response' }, ({ response }) => {
        this.traffic.received(ANSWER, frame.length + 1);
        this.handleResponse(response);
      })
      .with({ kind: 'request' }, ({ request }) => {
        const isKnown = this.rpc.hasMethod(request.method);
        this.traffic.received(isKnown ? request.method : UNHANDLED, frame.length + 1);
        void this.rpc.receiveAndSend(request, undefined, undefined);
      })
      .with({ kind: 'malformed' }, () => {
        this.traffic.event('malformed_frames');
        this.end('protocol_error');
      })
      .exhaustive();
  }

  private handleResponse(response: JSONRPCResponse): void {
    if (this.outstanding.has(response.id)) {
      this.rpc.client.receive(response);
    } else {
      this.traffic.event('late_answers');
    }
  }

  private sendRequest(request: JSONRPCRequest): void {
    if (this.send(request) !== 'sent' && typeof request.id === 'number') {
      this.traffic.notSent(request.method, 'congested');
      this.giveUp(request.id, { kind: 'not_sent' });
    }
  }

  private sendResponse(response: JSONRPCResponse): void {
    if (this.send(response) === 'congested') {
      this.traffic.event('oversize_answers');
      this.send(oversizeAnswer(response));
    }
  }

  /** Resolves a request and releases it inside the json-rpc-2.0 library. */
  private giveUp(id: number, answer: WireAnswer): void {
    this.outstanding.settle(id, answer);
    this.rpc.client.receive(createJSONRPCErrorResponse(id, GIVEN_UP_CODE, 'given up'));
  }

  private sendState(): SendState {
    if (this.isEnded || !this.socket.isWritable) {
      return 'closed';
    }
    return this.socket.bufferedBytes > this.maxBufferedBytes ? 'congested' : 'sent';
  }

  /**
   * Sends a message, even if the send buffer is over its limit. Here `congested` means that the
   * message is too long.
   */
  private send(message: Message): SendState {
    if (this.isEnded || !this.socket.isWritable) {
      return 'closed';
    }
    const frame = encodeFrame(message);
    if (frame.length > this.maxFrameBytes) {
      return 'congested';
    }
    this.traffic.sent('method' in message ? message.method : ANSWER, frame.length);
    this.keepAlive.sent();
    this.write(frame);
    return 'sent';
  }

  private end(reason: CloseReason): void {
    if (this.isEnded) {
      return;
    }
    this.isEnded = true;
    this.traffic.event(`ended.${reason}`);
    this.keepAlive.stop();
    this.outstanding.abandon();
    this.rpc.rejectAllPendingRequests('the connection has ended');
    this.handlers.release();
    if (reason === 'closed') {
      this.socket.close();
    } else {
      this.socket.destroy();
    }
    this.resolveEnded(reason);
  }
}

/** Frames come without their line feed. */
function isPing(frame: Buffer): boolean {
  return (
    frame.length === PING_FRAME.length - 1 &&
    PING_FRAME.compare(frame, 0, frame.length, 0, frame.length) === 0
  );
}
