/** Keeps a connection alive by pings and detects that the other end is silent. */

import { deadlineAfter, earlier, hasPassed, type Deadline } from '@bamboowell/types/time';
import type { Alarm, Clock } from '@bamboowell/kernel/clock';

/** A ping is sent when nothing else was sent for this long. */
export const PING_INTERVAL_MILLIS = 1000;

/** A connection counts as silent when nothing was received for this long. */
export const SILENCE_MILLIS = 4000;

/** An alarm that is late by more than this shows that the process itself was paused. */
const LATE_ALARM_MILLIS = 500;

/** Ping interval and silence timeout of a connection. */
export interface KeepAliveTimes {
  readonly pingMillis: number;
  readonly silenceMillis: number;
  /**
   * Silence timeout until the first message: a busy process accepts few connections at a time.
   * The same as `silenceMillis` by default.
   */
  readonly firstMessageMillis?: number;
  /** The other end is reported as suspect when nothing was received for this long; never by default. */
  readonly suspicionMillis?: number;
}

export const DEFAULT_KEEP_ALIVE: KeepAliveTimes = {
  pingMillis: PING_INTERVAL_MILLIS,
  silenceMillis: SILENCE_MILLIS,
};

/** Callbacks of a keep-alive to its connection. */
export interface KeepAliveEvents {
  ping(): void;
  silent(): void;
  /** The other end has been silent for `suspicionMillis`, or is heard again. */
  suspect?(isSuspect: boolean): void;
}

export class KeepAlive {
  private pingAt: Deadline;
  private silentAt: Deadline;
  /** When the other end becomes suspect; undefined if it is already, or never does. */
  private suspectAt: Deadline | undefined;
  private isSuspect = false;
  private paused = false;
  private alarm: Alarm;

  constructor(
    private readonly clock: Clock,
    private readonly events: KeepAliveEvents,
    private times: KeepAliveTimes = DEFAULT_KEEP_ALIVE,
  ) {
    this.pingAt = deadlineAfter(clock.now(), times.pingMillis);
    this.silentAt = deadlineAfter(clock.now(), times.firstMessageMillis ?? times.silenceMillis);
    this.alarm = this.schedule();
  }

  /** Uses other times from now on. The other end must ping in time for them. */
  setTimes(times: KeepAliveTimes): void {
    this.times = times;
    this.sent();
    this.received();
    this.alarm.cancel();
    this.alarm = this.schedule();
  }

  /** Records that a message was sent. */
  sent(): void {
    this.pingAt = deadlineAfter(this.clock.now(), this.times.pingMillis);
  }

  /** Records that something was received, also only a part of a message. */
  received(): void {
    const now = this.clock.now();
    const { silenceMillis, suspicionMillis } = this.times;
    this.silentAt = deadlineAfter(now, silenceMillis);
    this.suspectAt =
      suspicionMillis === undefined ? undefined : deadlineAfter(now, suspicionMillis);
    if (this.isSuspect) {
      this.isSuspect = false;
      this.events.suspect?.(false);
    }
  }

  /** Records that reading is paused on purpose: silence proves nothing until `resume`. */
  pause(): void {
    this.paused = true;
  }

  resume(): void {
    this.paused = false;
    this.received();
  }

  stop(): void {
    this.alarm.cancel();
  }

  private schedule(): Alarm {
    const deadline = earlier(this.pingAt, earlier(this.suspectAt ?? this.silentAt, this.silentAt));
    return this.clock.wakeAt(deadline, () => {
      this.wake(deadline);
    });
  }

  private wake(deadline: Deadline): void {
    const now = this.clock.now();
    if (this.paused || now - deadline > LATE_ALARM_MILLIS) {
      this.received();
    }
    if (hasPassed(this.silentAt, now)) {
      this.events.silent();
      return;
    }
    if (this.suspectAt !== undefined && hasPassed(this.suspectAt, now)) {
      this.suspectAt = undefined;
      this.isSuspect = true;
      this.events.suspect?.(true);
    }
    if (hasPassed(this.pingAt, now)) {
      this.sent();
      this.events.ping();
    }
    this.alarm = this.schedule();
  }
}
