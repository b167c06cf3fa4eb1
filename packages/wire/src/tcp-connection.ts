/** A connection over a TCP or TLS socket: json-rpc-2.0 texts, one a line, in both directions. */

import type { Socket } from 'node:net';
import {
  JSONRPCClient,
  JSONRPCErrorException,
  JSONRPCServer,
  JSONRPCServerAndClient,
  createJSONRPCErrorResponse,
  isJSONRPCRequest,
  isJSONRPCResponse,
  type JSONRPCRequest,
  type JSONRPCResponse,
} from 'json-rpc-2.0';
import type { Clock } from '@bamboowell/kernel/clock';
import { deadlineAfter, hasPassed, type Deadline } from '@bamboowell/types/time';
import { Connection, type CloseReason, type Handler, type WireAnswer } from './connection.js';
import { FrameReader, MAX_FRAME_BYTES, encodeFrame } from './frames.js';
import { Heartbeat } from './heartbeat.js';
import { DiscardingMeter, type Meter } from './meter.js';
import { Outstanding } from './outstanding.js';

/** Nothing more is sent while this many bytes wait in the send buffer. */
export const MAX_BUFFERED_BYTES = 8 * 1024 * 1024;

/** A closed connection may flush its send buffer for this long. */
const FLUSH_MILLIS = 2000;

const PING = 'ping';

/** Error code of a request that was refused because the connection drains. Its handler did not run. */
export const DRAINING_CODE = -32050;

/** Error code of a connection's own end; never sent. */
const ENDED_CODE = -32051;

export interface TcpConnectionOptions {
  readonly clock: Clock;
  readonly meter?: Meter;
  /** Longest message that is sent or taken, bytes. */
  readonly maxFrameBytes?: number;
  /** Bound of the send buffer, bytes. */
  readonly maxBufferedBytes?: number;
  /** Name in the other end's certificate; absent without TLS. */
  readonly peer?: string;
}

export class TcpConnection extends Connection {
  readonly ended: Promise<CloseReason>;
  /** Name in the other end's certificate; absent without TLS. */
  readonly peer: string | undefined;
  private readonly clock: Clock;
  private readonly meter: Meter;
  private readonly maxFrameBytes: number;
  private readonly maxBufferedBytes: number;
  private readonly rpc: JSONRPCServerAndClient;
  private readonly outstanding = new Outstanding();
  private readonly heartbeat: Heartbeat;
  private readonly reader: FrameReader;
  private frames: Buffer[] = [];
  private lastId = 0;
  private running = 0;
  private isPaused = false;
  private isDraining = false;
  private isEnded = false;
  private resolveEnded: (reason: CloseReason) => void = () => undefined;
  private resolveIdle: () => void = () => undefined;

  /** Takes over a connected socket. */
  constructor(
    private readonly socket: Socket,
    options: TcpConnectionOptions,
  ) {
    super();
    this.clock = options.clock;
    this.meter = options.meter ?? new DiscardingMeter();
    this.maxFrameBytes = options.maxFrameBytes ?? MAX_FRAME_BYTES;
    this.maxBufferedBytes = options.maxBufferedBytes ?? MAX_BUFFERED_BYTES;
    this.peer = options.peer;
    this.reader = new FrameReader(this.maxFrameBytes);
    this.ended = new Promise((resolve) => {
      this.resolveEnded = resolve;
    });
    this.rpc = this.makeRpc();
    this.heartbeat = new Heartbeat(this.clock, {
      ping: () => this.notify(PING, undefined),
      silent: () => {
        this.end('silent');
      },
    });
    this.handle(PING, () => null);
    this.listen();
  }

  request(method: string, params: unknown, deadline: Deadline): Promise<WireAnswer> {
    this.lastId += 1;
    const id = this.lastId;
    const message: JSONRPCRequest = { jsonrpc: '2.0', id, method, params };
    if (hasPassed(deadline, this.clock.now()) || this.writable(message) !== 'writable') {
      this.meter.count(`wire.not_sent.${method}`, 1);
      return Promise.resolve({ kind: 'not_sent' });
    }
    return new Promise((resolve) => {
      const alarm = this.clock.wakeAt(deadline, () => {
        this.meter.count(`wire.request_timeout.${method}`, 1);
        this.abandon(id);
      });
      this.outstanding.add(id, resolve, alarm);
      void this.rpc.requestAdvanced(message, undefined).then((response) => {
        this.outstanding.settle(id, answerOf(response));
      });
    });
  }

  notify(method: string, params: unknown): 'sent' | 'closed' | 'congested' {
    const message: JSONRPCRequest = { jsonrpc: '2.0', method, params };
    const state = this.writable(message);
    if (state !== 'writable') {
      this.meter.count(`wire.not_sent.${method}`, 1);
      return state;
    }
    this.send(message);
    return 'sent';
  }

  handle(method: string, handler: Handler): void {
    this.rpc.addMethod(method, (params: unknown) => this.run(handler, params));
  }

  close(): void {
    this.end('closed');
  }

  /**
   * Stops reading; what the other end sends waits in the network.
   * No message is handed to a handler until `resume`.
   */
  pause(): void {
    this.isPaused = true;
    this.heartbeat.pause();
    this.socket.pause();
  }

  resume(): void {
    if (!this.isPaused || this.isEnded) {
      return;
    }
    this.isPaused = false;
    this.heartbeat.resume();
    this.handleFrames();
    if (!this.isStopped()) {
      this.socket.resume();
    }
  }

  /** Refuses new requests, lets those that run end or the deadline pass, then closes. */
  async drain(deadline: Deadline): Promise<void> {
    this.isDraining = true;
    const idle = new Promise<void>((resolve) => {
      this.resolveIdle = resolve;
    });
    const alarm = this.clock.wakeAt(deadline, this.resolveIdle);
    this.checkIdle();
    await idle;
    alarm.cancel();
    this.close();
  }

  /** Writes a frame to the socket. */
  protected write(frame: Buffer): void {
    this.socket.write(frame);
  }

  private makeRpc(): JSONRPCServerAndClient {
    const errorListener = (): void => {
      this.meter.count('wire.handler_errors', 1);
    };
    const server = new JSONRPCServer({ errorListener });
    const client = new JSONRPCClient((message: JSONRPCRequest | JSONRPCResponse) => {
      this.send(message);
    });
    return new JSONRPCServerAndClient(server, client, { errorListener });
  }

  private listen(): void {
    this.socket.setNoDelay(true);
    this.socket.on('data', (chunk: Buffer) => {
      this.read(chunk);
    });
    this.socket.on('error', () => {
      this.end('reset');
    });
    this.socket.on('end', () => {
      this.end(this.reader.hasPartialFrame ? 'reset' : 'closed');
    });
    this.socket.on('close', () => {
      this.end('reset');
    });
  }

  private read(chunk: Buffer): void {
    if (this.isEnded) {
      return;
    }
    this.meter.count('wire.bytes_in', chunk.length);
    try {
      this.frames.push(...this.reader.read(chunk));
    } catch {
      this.meter.count('wire.oversize_frames', 1);
      this.end('protocol_error');
      return;
    }
    this.handleFrames();
  }

  private handleFrames(): void {
    while (!this.isStopped()) {
      const frame = this.frames.shift();
      if (frame === undefined) {
        return;
      }
      this.handleFrame(frame);
    }
  }

  private isStopped(): boolean {
    return this.isPaused || this.isEnded;
  }

  private handleFrame(frame: Buffer): void {
    this.heartbeat.received();
    const message = parse(frame);
    if (isJSONRPCResponse(message)) {
      this.countIn('answer', frame);
      this.handleResponse(message);
    } else if (isJSONRPCRequest(message)) {
      this.countIn(this.rpc.hasMethod(message.method) ? message.method : 'unhandled', frame);
      void this.rpc.receiveAndSend(message, undefined, undefined);
    } else {
      this.meter.count('wire.malformed_frames', 1);
      this.end('protocol_error');
    }
  }

  private handleResponse(response: JSONRPCResponse): void {
    if (!this.outstanding.has(response.id)) {
      this.meter.count('wire.late_answers', 1);
      return;
    }
    this.rpc.client.receive(response);
  }

  private async run(handler: Handler, params: unknown): Promise<unknown> {
    if (this.isDraining) {
      throw new JSONRPCErrorException('the connection is draining', DRAINING_CODE);
    }
    this.running += 1;
    try {
      return await handler(params);
    } finally {
      this.running -= 1;
      // The answer is written in a later microtask than this one.
      setImmediate(() => {
        this.checkIdle();
      });
    }
  }

  private checkIdle(): void {
    if (this.isDraining && this.running === 0) {
      this.resolveIdle();
    }
  }

  /** Gives up on a request and frees what the library holds for it. */
  private abandon(id: number): void {
    this.outstanding.settle(id, { kind: 'unknown' });
    this.rpc.client.receive(createJSONRPCErrorResponse(id, ENDED_CODE, 'abandoned'));
  }

  private writable(message: JSONRPCRequest): 'writable' | 'closed' | 'congested' {
    if (this.isEnded || !this.socket.writable) {
      return 'closed';
    }
    const isFull = this.socket.writableLength > this.maxBufferedBytes;
    return isFull || encodeFrame(message).length > this.maxFrameBytes ? 'congested' : 'writable';
  }

  private send(message: JSONRPCRequest | JSONRPCResponse): void {
    if (this.isEnded || !this.socket.writable) {
      return;
    }
    const frame = encodeFrame(message);
    this.countOut('method' in message ? message.method : 'answer', frame);
    this.heartbeat.sent();
    this.write(frame);
  }

  private countIn(method: string, frame: Buffer): void {
    this.meter.count(`wire.messages_in.${method}`, 1);
    this.meter.count(`wire.message_bytes_in.${method}`, frame.length + 1);
  }

  private countOut(method: string, frame: Buffer): void {
    this.meter.count('wire.bytes_out', frame.length);
    this.meter.count(`wire.messages_out.${method}`, 1);
    this.meter.count(`wire.message_bytes_out.${method}`, frame.length);
  }

  private end(reason: CloseReason): void {
    if (this.isEnded) {
      return;
    }
    this.isEnded = true;
    this.meter.count(`wire.ended.${reason}`, 1);
    this.heartbeat.stop();
    this.outstanding.abandon();
    this.rpc.rejectAllPendingRequests('the connection has ended');
    this.resolveIdle();
    this.release(reason);
    this.resolveEnded(reason);
  }

  private release(reason: CloseReason): void {
    if (reason !== 'closed') {
      this.socket.destroy();
      return;
    }
    const alarm = this.clock.wakeAt(deadlineAfter(this.clock.now(), FLUSH_MILLIS), () => {
      this.socket.destroy();
    });
    this.socket.once('close', () => {
      alarm.cancel();
    });
    this.socket.resume();
    this.socket.destroySoon();
  }
}

/** The object that the frame holds; an empty one if it holds anything else. */
function parse(frame: Buffer): object {
  try {
    const value: unknown = JSON.parse(frame.toString('utf8'));
    return typeof value === 'object' && value !== null ? value : {};
  } catch {
    return {};
  }
}

function answerOf(response: JSONRPCResponse): WireAnswer {
  return response.error === undefined
    ? { kind: 'answered', value: response.result as unknown }
    : { kind: 'failed', code: response.error.code, message: response.error.message };
}
