/** A socket that sends and receives frames. */

import type { Socket } from 'node:net';
import type { Clock } from '@bamboowell/kernel/clock';
import { deadlineAfter } from '@bamboowell/types/time';
import type { CloseReason } from './connection.js';
import { FrameReader } from './frames.js';
import type { Traffic } from './traffic.js';

/** Maximum time for a closed socket to flush its send buffer. */
const FLUSH_TIMEOUT_MILLIS = 2000;

export interface FrameSocketOptions {
  readonly clock: Clock;
  readonly traffic: Traffic;
  /** Maximum length of a received frame, bytes. */
  readonly maxFrameBytes: number;
}

/** Callbacks of a frame socket to its owner. */
export interface FrameSocketEvents {
  /** Bytes have arrived, also only a part of a frame. */
  arrived(): void;
  frame(frame: Buffer): void;
  /** May be called more than once. */
  ended(reason: CloseReason): void;
}

export class FrameSocket {
  private readonly reader: FrameReader;
  private readonly frames: Buffer[] = [];
  private isPaused = false;
  private isClosed = false;

  constructor(
    private readonly socket: Socket,
    private readonly options: FrameSocketOptions,
    private readonly events: FrameSocketEvents,
  ) {
    this.reader = new FrameReader(options.maxFrameBytes);
    this.listen();
  }

  get isWritable(): boolean {
    return !this.isClosed && this.socket.writable;
  }

  /** Number of bytes in the send buffer. */
  get bufferedBytes(): number {
    return this.socket.writableLength;
  }

  write(frame: Buffer): void {
    this.socket.write(frame);
  }

  /** Stops reading, so that what the other end sends waits in the network. */
  pause(): void {
    this.isPaused = true;
    this.socket.pause();
  }

  resume(): void {
    this.isPaused = false;
    this.deliverFrames();
    if (!this.isStopped()) {
      this.socket.resume();
    }
  }

  /** Flushes the send buffer within a limited time, then closes. No further frame is delivered. */
  close(): void {
    this.isClosed = true;
    const { clock } = this.options;
    const alarm = clock.wakeAt(deadlineAfter(clock.now(), FLUSH_TIMEOUT_MILLIS), () => {
      this.socket.destroy();
    });
    this.socket.once('close', () => {
      alarm.cancel();
    });
    this.socket.resume();
    this.socket.destroySoon();
  }

  /** Closes at once and discards the send buffer. */
  destroy(): void {
    this.isClosed = true;
    this.socket.destroy();
  }

  private listen(): void {
    this.socket.setNoDelay(true);
    this.socket.on('data', (chunk: Buffer) => {
      this.read(chunk);
    });
    this.socket.on('error', () => {
      this.events.ended('reset');
    });
    this.socket.on('end', () => {
      this.events.ended(this.reader.hasPartialFrame ? 'reset' : 'closed');
    });
    this.socket.on('close', () => {
      this.events.ended('reset');
    });
  }

  private read(chunk: Buffer): void {
    if (this.isClosed) {
      return;
    }
    this.options.traffic.read(chunk.length);
    this.events.arrived();
    try {
      this.frames.push(...this.reader.read(chunk));
    } catch {
      this.options.traffic.event('oversize_frames');
      this.events.ended('protocol_error');
    }
    this.deliverFrames();
  }

  private deliverFrames(): void {
    while (!this.isStopped()) {
      const frame = this.frames.shift();
      if (frame === undefined) {
        return;
      }
      this.events.frame(frame);
    }
  }

  private isStopped(): boolean {
    return this.isPaused || this.isClosed;
  }
}
